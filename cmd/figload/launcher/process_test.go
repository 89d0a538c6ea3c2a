package launcher_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/cmd/figload/driver"
	"github.com/figseam/figseam/cmd/figload/launcher"
	"github.com/figseam/figseam/cmd/figload/planner"
	"github.com/figseam/figseam/emulator"
	"github.com/figseam/figseam/gateway"
	"github.com/figseam/figseam/loader"
)

// How long a condition may take to come true; it bounds a failure and no pass.
const (
	eventually = 60 * time.Second
	poll       = 50 * time.Millisecond
)

// daemon is the built figseamd.
var daemon string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "figseamd-")
	if err != nil {
		panic(err)
	}
	daemon = filepath.Join(dir, "figseamd")
	build := exec.Command("go", "build", "-o", daemon, "github.com/figseam/figseam/cmd/figseamd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// processes is a deployment whose instances are processes of their own.
type processes struct {
	t        *testing.T
	d        *launcher.Deployment
	user     planner.User
	settings []loader.Settings
	folder   string
	running  map[figseam.InstanceID]*exec.Cmd
	relays   map[string]*relay
}

// startProcesses starts one figseamd in each data centre, joined by relays when
// a test wants to cut them.
func startProcesses(t *testing.T, relayed bool) *processes {
	user, _ := planner.FindUser("pilhacasa")
	// No verdict may hang on the speed of the machine.
	user.FirstTokenTargetMillis = eventually.Milliseconds()
	d, err := launcher.StartEmulators([]planner.User{user})
	require.NoError(t, err)
	p := &processes{t: t, d: d, user: user, folder: t.TempDir(), running: map[figseam.InstanceID]*exec.Cmd{}, relays: map[string]*relay{}}
	t.Cleanup(p.close)
	all := planner.InstanceSettings(user.Region, user.DataCentres, d.PlatformURL, p.dataFolder, launcher.FreeAddress)
	for _, s := range all {
		if s.DataDir != "" {
			p.settings = append(p.settings, s)
		}
	}
	if relayed {
		p.relay()
	}
	for _, s := range p.settings {
		p.start(s)
	}
	p.publish()
	return p
}

func (p *processes) dataFolder(id figseam.InstanceID) string {
	return filepath.Join(p.folder, string(id))
}

// relay gives every instance an address of its own for each peer, behind which a
// relay passes bytes on until it is cut.
func (p *processes) relay() {
	for i := range p.settings {
		p.settings[i].Voters = append([]loader.Voter(nil), p.settings[i].Voters...)
		var seeds []string
		for j, v := range p.settings[i].Voters {
			if v.Instance == p.settings[i].Instance {
				continue
			}
			r := newRelay(p.t, v.Address)
			p.relays[string(p.settings[i].Instance)+">"+string(v.Instance)] = r
			p.settings[i].Voters[j].Address = r.address()
			seeds = append(seeds, r.address())
		}
		p.settings[i].Seeds = seeds
	}
}

func (p *processes) start(s loader.Settings) {
	text, err := json.Marshal(s)
	require.NoError(p.t, err)
	file := filepath.Join(p.folder, string(s.Instance)+".json")
	require.NoError(p.t, os.WriteFile(file, text, 0o600))
	log, err := os.OpenFile(filepath.Join(p.folder, string(s.Instance)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(p.t, err)
	command := exec.Command(daemon, "-settings", file)
	command.Stdout, command.Stderr = log, log
	require.NoError(p.t, command.Start())
	_ = log.Close()
	p.running[s.Instance] = command
}

func (p *processes) publish() {
	body := gateway.ChangeBody{ChangeID: uuid.NewString(), Objects: p.user.ConfigObjects(p.d.EndpointAddresses)}
	require.NoError(p.t, launcher.PublishChange(p.settings[0].OperatorAddress, body))
	for _, s := range p.settings {
		require.NoError(p.t, launcher.WaitReady(s.CallerAddress))
	}
}

func (p *processes) signal(i int, s syscall.Signal) {
	require.NoError(p.t, p.running[p.settings[i].Instance].Process.Signal(s))
}

// wait waits for a process to end.
func (p *processes) wait(i int) error {
	command := p.running[p.settings[i].Instance]
	delete(p.running, p.settings[i].Instance)
	return command.Wait()
}

func (p *processes) close() {
	for _, command := range p.running {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
	for _, r := range p.relays {
		r.close()
	}
	_ = p.d.Close()
	if p.t.Failed() {
		p.showLogs()
	}
}

func (p *processes) showLogs() {
	for _, s := range p.settings {
		text, _ := os.ReadFile(filepath.Join(p.folder, string(s.Instance)+".log"))
		lines := strings.Split(string(text), "\n")
		p.t.Logf("%s:\n%s", s.Instance, strings.Join(lines[max(0, len(lines)-25):], "\n"))
	}
}

// load sends requests in the background and returns their results at the end.
func (p *processes) load(seed uint64, share float64, length time.Duration, callers func() []string) func() []driver.Result {
	scenario := driver.Scenarios()["pilhacasa"]
	requests := scenario.Arrivals(seed, share, length, len(p.settings), 0)
	results := make(chan []driver.Result, 1)
	go func() {
		results <- driver.New(callers, p.user.Service, eventually).Run(context.Background(), requests)
	}()
	return func() []driver.Result { return <-results }
}

func (p *processes) callers(skip ...int) func() []string {
	var up []string
	for i, s := range p.settings {
		keep := true
		for _, k := range skip {
			keep = keep && k != i
		}
		if keep {
			up = append(up, s.CallerAddress)
		}
	}
	return func() []string { return up }
}

// requireWhole holds that every request was answered in full and right.
func requireWhole(t *testing.T, results []driver.Result) {
	t.Helper()
	bad := 0
	for _, r := range results {
		if !r.Complete {
			bad++
			t.Logf("request %d (%s, %s): %+v reason %s failed %v wrong %v", r.Request.Number, r.ID, r.Request.Class.Name, r.Outcome, r.Reason, r.Failed, r.Incorrect)
		}
	}
	require.Zero(t, bad, "of %d requests", len(results))
}

func (p *processes) requireNothingHeld() {
	require.Eventually(p.t, func() bool { return p.d.Fleet.UsedPieces() == 0 }, eventually, poll, "engine memory stays held")
}

func (p *processes) requireOnce() {
	count := map[string]int{}
	for _, dc := range p.user.DataCentres {
		for key, n := range p.d.Fleet.Service(p.user.ServiceEndpointID(dc)).ExecutionsByKey() {
			if key != "" {
				count[key] += n
				require.LessOrEqual(p.t, count[key], 1, "key %s", key)
			}
		}
	}
}

// TestKillLosesNoOtherAnswer kills an instance under load. Callers of the others
// lose nothing, and what it held is freed.
func TestKillLosesNoOtherAnswer(t *testing.T) {
	p := startProcesses(t, false)
	others := p.load(1, 0.3, 8*time.Second, p.callers(2))
	own := p.load(2, 0.1, 2*time.Second, func() []string { return []string{p.settings[2].CallerAddress} })
	time.Sleep(2 * time.Second)
	p.signal(2, syscall.SIGKILL)
	_ = p.wait(2)
	_ = own()
	requireWhole(t, others())
	p.requireNothingHeld()
	p.requireOnce()
}

// TestTermFinishesEverything lets an instance leave under load, while a lagging
// balancer goes on sending to it for a while.
func TestTermFinishesEverything(t *testing.T) {
	p := startProcesses(t, false)
	results := p.load(3, 0.3, 4*time.Second, p.callers())
	time.Sleep(time.Second)
	p.signal(1, syscall.SIGTERM)
	require.Eventually(t, func() bool {
		answer, err := http.Get("http://" + p.settings[1].CallerAddress + "/readyz")
		if err != nil {
			return false
		}
		defer func() { _ = answer.Body.Close() }()
		return answer.StatusCode == http.StatusServiceUnavailable
	}, eventually, poll, "a leaving instance must not be ready")
	requireWhole(t, results())
	p.d.Fleet.SetLeaving(string(p.settings[1].Instance))
	require.NoError(t, p.wait(1))
	p.requireNothingHeld()
	p.requireOnce()
}

// TestFrozenInstanceDoesNoHarm stops an instance for a while and lets it go on.
func TestFrozenInstanceDoesNoHarm(t *testing.T) {
	p := startProcesses(t, false)
	own := p.load(4, 0.1, 2*time.Second, func() []string { return []string{p.settings[0].CallerAddress} })
	time.Sleep(time.Second)
	p.signal(0, syscall.SIGSTOP)
	results := p.load(5, 0.3, 8*time.Second, p.callers(0))
	requireWhole(t, results())
	p.signal(0, syscall.SIGCONT)
	_ = own()
	p.requireNothingHeld()
	p.requireOnce()
	requireWhole(t, p.load(6, 0.2, 2*time.Second, p.callers())())
}

// TestLostDiskIsReplaced kills an instance, deletes its data folder, starts it
// again, and then does the same to another.
func TestLostDiskIsReplaced(t *testing.T) {
	p := startProcesses(t, false)
	for round, i := range []int{0, 1} {
		p.signal(i, syscall.SIGKILL)
		_ = p.wait(i)
		require.NoError(t, os.RemoveAll(p.settings[i].DataDir))
		p.start(p.settings[i])
		require.NoError(t, launcher.WaitReady(p.settings[i].CallerAddress))
		require.Eventually(t, func() bool { return p.isVoter(i) && p.voters() == 3 }, eventually, poll, "the new replica replaces the lost one")
		require.Eventually(t, func() bool { return p.order(2, fmt.Sprint("repaired", round)) == http.StatusOK }, eventually, poll)
	}
	require.Equal(t, uint64(1), p.version(2), "nothing reverted")
	p.requireOnce()
}

func (p *processes) status(i int) gateway.InstanceStatus {
	var s gateway.InstanceStatus
	answer, err := http.Get("http://" + p.settings[i].OperatorAddress + "/v1/status")
	if err != nil {
		return s
	}
	defer func() { _ = answer.Body.Close() }()
	_ = json.NewDecoder(answer.Body).Decode(&s)
	return s
}

func (p *processes) version(i int) uint64 { return p.status(i).ConfigVersion }

func (p *processes) voters() int {
	if s := p.status(2); s.Replica != nil {
		return len(s.Replica.Membership.Voters)
	}
	return 0
}

func (p *processes) isVoter(i int) bool {
	s := p.status(i)
	if s.Replica == nil {
		return false
	}
	for _, v := range s.Replica.Membership.Voters {
		if v.Identity == s.Replica.Self.Identity {
			return true
		}
	}
	return false
}

// order makes a call that must not be repeated and returns its status.
func (p *processes) order(i int, key string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.settings[i].CallerAddress+"/shop-api/orders", strings.NewReader(key))
	require.NoError(p.t, err)
	request.Header.Set("Idempotency-Key", key)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, answer.Body)
	if answer.StatusCode != http.StatusOK {
		outcome := answer.Header.Get(gateway.HeaderOutcome)
		require.NotEmpty(p.t, outcome)
	}
	return answer.StatusCode
}

// TestCutOffDataCentreGoesOn cuts one data centre off without a sign: it serves
// models from its last configuration, refuses what needs agreement as not run,
// and catches up after.
func TestCutOffDataCentreGoesOn(t *testing.T) {
	p := startProcesses(t, true)
	p.cut(2, true)
	require.Eventually(t, func() bool {
		began := time.Now()
		status := p.order(2, "cut")
		return status == http.StatusServiceUnavailable && time.Since(began) < 6*time.Second
	}, eventually, poll, "an order in the cut-off data centre is refused")
	require.Zero(t, p.d.Fleet.Service(p.user.ServiceEndpointID(p.user.DataCentres[2])).ExecutionsByKey()["cut"], "refused as not run")
	models := p.models(2, 12)
	require.Zero(t, models, "models are served on")
	body := gateway.ChangeBody{ChangeID: uuid.NewString(), BaseVersion: 1, Objects: []json.RawMessage{
		json.RawMessage(`{"kind":"account_class","name":"gold","requests_per_s":5,"burst":5}`),
	}}
	require.NoError(t, launcher.PublishChange(p.settings[0].OperatorAddress, body))
	require.Equal(t, uint64(1), p.version(2))
	p.cut(2, false)
	require.Eventually(t, func() bool { return p.version(2) == 2 }, eventually, poll, "it catches up")
	require.Eventually(t, func() bool { return p.order(2, "cut") == http.StatusOK }, eventually, poll, "the refused order can be sent again")
	p.requireOnce()
}

// models sends model requests to one instance, one after another, and returns
// how many were not answered in full.
func (p *processes) models(i, count int) int {
	bad := 0
	for n := range count {
		prompt := emulator.WithAnswerTokens(10, fmt.Sprint("question ", n))
		body, err := json.Marshal(map[string]any{"model": p.user.InteractiveRoute, "prompt": prompt})
		require.NoError(p.t, err)
		answer, err := http.Post("http://"+p.settings[i].CallerAddress+"/v1/completions", "application/json", bytes.NewReader(body))
		if err != nil {
			bad++
			continue
		}
		text, _ := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if answer.StatusCode != http.StatusOK || !strings.Contains(string(text), emulator.ExpectedAnswer(prompt, 10)) {
			p.t.Logf("%d %s", answer.StatusCode, text)
			bad++
		}
	}
	return bad
}

// cut cuts an instance off from all others, or joins it again.
func (p *processes) cut(i int, cut bool) {
	name := string(p.settings[i].Instance)
	for link, r := range p.relays {
		from, to, _ := strings.Cut(link, ">")
		if from == name || to == name {
			r.setCut(cut)
		}
	}
}

// TestKillAndLeaveTogether kills one instance while another leaves.
func TestKillAndLeaveTogether(t *testing.T) {
	p := startProcesses(t, false)
	results := p.load(7, 0.2, 6*time.Second, p.callers(1, 2))
	own := p.load(8, 0.1, 2*time.Second, func() []string { return []string{p.settings[1].CallerAddress} })
	leaving := p.load(9, 0.1, 2*time.Second, func() []string { return []string{p.settings[2].CallerAddress} })
	time.Sleep(time.Second)
	p.signal(2, syscall.SIGTERM)
	p.signal(1, syscall.SIGKILL)
	_ = p.wait(1)
	_ = own()
	var models []driver.Result
	for _, r := range append(results(), leaving()...) {
		// Without a majority, orders are refused as not run.
		if r.Request.Class.NonIdempotent && r.Outcome == figseam.OutcomeNotRun {
			continue
		}
		models = append(models, r)
	}
	requireWhole(t, models)
	p.d.Fleet.SetLeaving(string(p.settings[2].Instance))
	require.NoError(t, p.wait(2))
	p.requireNothingHeld()
	p.requireOnce()
}

// TestEngineDiesUnderLoad kills a decode engine; its answers go on elsewhere.
func TestEngineDiesUnderLoad(t *testing.T) {
	p := startProcesses(t, false)
	results := p.load(10, 0.3, 5*time.Second, p.callers())
	time.Sleep(2 * time.Second)
	for id, e := range p.d.Fleet.Engines() {
		if strings.Contains(string(id), "norte-b-decode-1") {
			e.SetFaults(emulator.Faults{Crashed: true})
		}
	}
	requireWhole(t, results())
	p.requireNothingHeld()
}

// TestCrossedChunksAreDiscarded lets engines mix chunks of other attempts into
// their streams and double their own.
func TestCrossedChunksAreDiscarded(t *testing.T) {
	p := startProcesses(t, false)
	for _, e := range p.d.Fleet.Engines() {
		e.SetFaults(emulator.Faults{InjectForeignChunks: true})
	}
	requireWhole(t, p.load(11, 0.2, 3*time.Second, p.callers())())
}
