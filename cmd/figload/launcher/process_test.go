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

const (
	// conditionTimeout bounds the wait for a condition. Only a failing test waits that long.
	conditionTimeout = 60 * time.Second
	pollInterval     = 50 * time.Millisecond
)

// figseamdPath is the path of the figseamd binary that TestMain builds.
var figseamdPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "figseamd-")
	if err != nil {
		panic(err)
	}
	figseamdPath = filepath.Join(dir, "figseamd")
	build := exec.Command("go", "build", "-o", figseamdPath, "github.com/figseam/figseam/cmd/figseamd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// processDeployment is a deployment whose instances run as separate figseamd processes.
// Its emulators run in the test's process. Methods identify an instance by its index in
// settings.
type processDeployment struct {
	t         *testing.T
	emulators *launcher.Deployment
	user      planner.User
	settings  []loader.Settings
	dir       string
	commands  map[figseam.InstanceID]*exec.Cmd
	// proxies are keyed by "FROM>TO", the IDs of the two instances.
	proxies map[string]*tcpProxy
}

// startProcessDeployment starts one figseamd in each data centre and publishes the
// configuration. With proxied set, the instances connect to each other through TCP
// proxies, which a test can partition.
func startProcessDeployment(t *testing.T, proxied bool) *processDeployment {
	user, _ := planner.FindUser("pilhacasa")
	// The default target would make results depend on the speed of the machine.
	user.FirstTokenTargetMillis = conditionTimeout.Milliseconds()
	emulators, err := launcher.StartEmulators([]planner.User{user})
	require.NoError(t, err)
	p := &processDeployment{t: t, emulators: emulators, user: user, dir: t.TempDir(), commands: map[figseam.InstanceID]*exec.Cmd{}, proxies: map[string]*tcpProxy{}}
	t.Cleanup(p.close)
	all := planner.InstanceSettings(user.Region, user.DataCentres, emulators.PlatformURL, p.dataDir, launcher.FreeAddress)
	for _, s := range all {
		if s.DataDir != "" {
			p.settings = append(p.settings, s)
		}
	}
	if proxied {
		p.interposeProxies()
	}
	for _, s := range p.settings {
		p.startInstance(s)
	}
	p.publishConfig()
	return p
}

func (p *processDeployment) dataDir(id figseam.InstanceID) string {
	return filepath.Join(p.dir, string(id))
}

// interposeProxies starts a proxy for each ordered pair of instances. In the settings of the
// first instance, it replaces the peer address of the second by the address of the proxy.
func (p *processDeployment) interposeProxies() {
	for i := range p.settings {
		p.settings[i].Voters = append([]loader.Voter(nil), p.settings[i].Voters...)
		var seeds []string
		for j, v := range p.settings[i].Voters {
			if v.Instance == p.settings[i].Instance {
				continue
			}
			proxy := newTCPProxy(p.t, v.Address)
			p.proxies[string(p.settings[i].Instance)+">"+string(v.Instance)] = proxy
			p.settings[i].Voters[j].Address = proxy.address()
			seeds = append(seeds, proxy.address())
		}
		p.settings[i].Seeds = seeds
	}
}

func (p *processDeployment) startInstance(s loader.Settings) {
	data, err := json.Marshal(s)
	require.NoError(p.t, err)
	file := filepath.Join(p.dir, string(s.Instance)+".json")
	require.NoError(p.t, os.WriteFile(file, data, 0o600))
	log, err := os.OpenFile(filepath.Join(p.dir, string(s.Instance)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(p.t, err)
	command := exec.Command(figseamdPath, "-settings", file)
	command.Stdout, command.Stderr = log, log
	require.NoError(p.t, command.Start())
	_ = log.Close()
	p.commands[s.Instance] = command
}

func (p *processDeployment) publishConfig() {
	body := gateway.ChangeBody{ChangeID: uuid.NewString(), Objects: p.user.ConfigObjects(p.emulators.EndpointURLs)}
	require.NoError(p.t, launcher.PublishChange(p.settings[0].OperatorAddress, body))
	for _, s := range p.settings {
		require.NoError(p.t, launcher.WaitReady(s.CallerAddress))
	}
}

func (p *processDeployment) signal(i int, s syscall.Signal) {
	require.NoError(p.t, p.commands[p.settings[i].Instance].Process.Signal(s))
}

// waitForExit waits until an instance's process ends, and returns the error of exec.Cmd.Wait.
func (p *processDeployment) waitForExit(i int) error {
	command := p.commands[p.settings[i].Instance]
	delete(p.commands, p.settings[i].Instance)
	return command.Wait()
}

func (p *processDeployment) close() {
	for _, command := range p.commands {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
	for _, proxy := range p.proxies {
		proxy.close()
	}
	_ = p.emulators.Close()
	if p.t.Failed() {
		p.printLogTails()
	}
}

func (p *processDeployment) printLogTails() {
	for _, s := range p.settings {
		data, _ := os.ReadFile(filepath.Join(p.dir, string(s.Instance)+".log"))
		lines := strings.Split(string(data), "\n")
		p.t.Logf("%s:\n%s", s.Instance, strings.Join(lines[max(0, len(lines)-25):], "\n"))
	}
}

// startLoad sends requests in the background to the addresses that callers returns. load is
// the rate of model requests as a multiple of the scenario's capacity bound. The returned
// function waits for the results.
func (p *processDeployment) startLoad(seed uint64, load float64, duration time.Duration, callers func() []string) func() []driver.Result {
	scenario := driver.Scenarios()["pilhacasa"]
	requests := scenario.Arrivals(seed, load, duration, len(p.settings), 0)
	results := make(chan []driver.Result, 1)
	go func() {
		results <- driver.New(callers, p.user.Service, conditionTimeout).Run(context.Background(), requests)
	}()
	return func() []driver.Result { return <-results }
}

// callerAddresses returns a function, as startLoad needs it, that returns the caller
// addresses of all instances except the skipped ones.
func (p *processDeployment) callerAddresses(skip ...int) func() []string {
	var addresses []string
	for i, s := range p.settings {
		included := true
		for _, k := range skip {
			included = included && k != i
		}
		if included {
			addresses = append(addresses, s.CallerAddress)
		}
	}
	return func() []string { return addresses }
}

// requireComplete fails the test unless every request received its whole, correct answer.
func requireComplete(t *testing.T, results []driver.Result) {
	t.Helper()
	failed := 0
	for _, r := range results {
		if !r.Complete {
			failed++
			t.Logf("request %d (%s, %s): %+v reason %s failed %v incorrect %v", r.Request.Number, r.ID, r.Request.Class.Name, r.Outcome, r.Reason, r.Failed, r.Incorrect)
		}
	}
	require.Zero(t, failed, "of %d requests", len(results))
}

func (p *processDeployment) requireMemoryReleased() {
	require.Eventually(p.t, func() bool { return p.emulators.Fleet.UsedPieces() == 0 }, conditionTimeout, pollInterval, "engine memory was not released")
}

// requireAtMostOnce fails the test if the service executed a call more than once for an
// idempotency key.
func (p *processDeployment) requireAtMostOnce() {
	count := map[string]int{}
	for _, dc := range p.user.DataCentres {
		for key, n := range p.emulators.Fleet.Service(p.user.ServiceEndpointID(dc)).ExecutionsByKey() {
			if key != "" {
				count[key] += n
				require.LessOrEqual(p.t, count[key], 1, "key %s", key)
			}
		}
	}
}

// TestKilledInstanceLosesNoResponsesOfOthers kills an instance under load. The other
// instances must answer all their requests, and the engine memory that the killed instance
// had reserved must be released.
func TestKilledInstanceLosesNoResponsesOfOthers(t *testing.T) {
	p := startProcessDeployment(t, false)
	others := p.startLoad(1, 0.3, 8*time.Second, p.callerAddresses(2))
	killed := p.startLoad(2, 0.1, 2*time.Second, func() []string { return []string{p.settings[2].CallerAddress} })
	time.Sleep(2 * time.Second)
	p.signal(2, syscall.SIGKILL)
	_ = p.waitForExit(2)
	_ = killed()
	requireComplete(t, others())
	p.requireMemoryReleased()
	p.requireAtMostOnce()
}

// TestSIGTERMUnderLoadCompletesAllRequests drains an instance under load, while the
// callers' load balancer, whose list is out of date, still sends requests to it.
func TestSIGTERMUnderLoadCompletesAllRequests(t *testing.T) {
	p := startProcessDeployment(t, false)
	results := p.startLoad(3, 0.3, 4*time.Second, p.callerAddresses())
	time.Sleep(time.Second)
	p.signal(1, syscall.SIGTERM)
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + p.settings[1].CallerAddress + "/readyz")
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode == http.StatusServiceUnavailable
	}, conditionTimeout, pollInterval, "a draining instance must not be ready")
	requireComplete(t, results())
	p.emulators.Fleet.SetDraining(string(p.settings[1].Instance))
	require.NoError(t, p.waitForExit(1))
	p.requireMemoryReleased()
	p.requireAtMostOnce()
}

// TestSuspendedInstanceLosesNoResponsesOfOthers suspends an instance with SIGSTOP under load
// and resumes it later. The other instances must answer all requests meanwhile, and all
// three instances must do so afterwards.
func TestSuspendedInstanceLosesNoResponsesOfOthers(t *testing.T) {
	p := startProcessDeployment(t, false)
	suspended := p.startLoad(4, 0.1, 2*time.Second, func() []string { return []string{p.settings[0].CallerAddress} })
	time.Sleep(time.Second)
	p.signal(0, syscall.SIGSTOP)
	results := p.startLoad(5, 0.3, 8*time.Second, p.callerAddresses(0))
	requireComplete(t, results())
	p.signal(0, syscall.SIGCONT)
	_ = suspended()
	p.requireMemoryReleased()
	p.requireAtMostOnce()
	requireComplete(t, p.startLoad(6, 0.2, 2*time.Second, p.callerAddresses())())
}

// TestInstanceThatLostItsDiskRejoinsAsVoter kills an instance, deletes its data directory
// and restarts it; then it does the same to another instance. The new replica of each
// must replace the lost one as a voter, and no committed change may be lost.
func TestInstanceThatLostItsDiskRejoinsAsVoter(t *testing.T) {
	p := startProcessDeployment(t, false)
	for round, i := range []int{0, 1} {
		p.signal(i, syscall.SIGKILL)
		_ = p.waitForExit(i)
		require.NoError(t, os.RemoveAll(p.settings[i].DataDir))
		p.startInstance(p.settings[i])
		require.NoError(t, launcher.WaitReady(p.settings[i].CallerAddress))
		require.Eventually(t, func() bool { return p.isVoter(i) && p.voterCount() == 3 }, conditionTimeout, pollInterval, "the new replica did not replace the lost one")
		require.Eventually(t, func() bool { return p.placeOrder(2, fmt.Sprint("repaired", round)) == http.StatusOK }, conditionTimeout, pollInterval)
	}
	require.Equal(t, uint64(1), p.configVersion(2), "the configuration was reverted")
	p.requireAtMostOnce()
}

func (p *processDeployment) status(i int) gateway.InstanceStatus {
	var s gateway.InstanceStatus
	response, err := http.Get("http://" + p.settings[i].OperatorAddress + "/v1/status")
	if err != nil {
		return s
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&s)
	return s
}

func (p *processDeployment) configVersion(i int) uint64 { return p.status(i).ConfigVersion }

// voterCount returns the number of voters that instance 2 reports, or 0 if it reports no
// replica.
func (p *processDeployment) voterCount() int {
	if s := p.status(2); s.Replica != nil {
		return len(s.Replica.Membership.Voters)
	}
	return 0
}

// isVoter reports whether the current replica of an instance is a voter in the membership
// that the instance reports.
func (p *processDeployment) isVoter(i int) bool {
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

// placeOrder makes a non-idempotent call and returns its HTTP status, or 0 if it got no
// response.
func (p *processDeployment) placeOrder(i int, key string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.settings[i].CallerAddress+"/shop-api/orders", strings.NewReader(key))
	require.NoError(p.t, err)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK {
		outcome := response.Header.Get(gateway.HeaderOutcome)
		require.NotEmpty(p.t, outcome)
	}
	return response.StatusCode
}

// TestPartitionedDataCentreServesModelsAndRefusesOrders partitions one data centre from the
// others without closing connections. It must serve models from its last configuration. It
// must refuse calls that need a quorum, with the outcome not_run. After the partition it
// must catch up.
func TestPartitionedDataCentreServesModelsAndRefusesOrders(t *testing.T) {
	p := startProcessDeployment(t, true)
	p.setPartitioned(2, true)
	require.Eventually(t, func() bool {
		start := time.Now()
		status := p.placeOrder(2, "cut")
		return status == http.StatusServiceUnavailable && time.Since(start) < 6*time.Second
	}, conditionTimeout, pollInterval, "an order in the partitioned data centre was not refused in time")
	require.Zero(t, p.emulators.Fleet.Service(p.user.ServiceEndpointID(p.user.DataCentres[2])).ExecutionsByKey()["cut"], "a refused order was executed")
	failed := p.countFailedCompletions(2, 12)
	require.Zero(t, failed, "the partitioned data centre did not serve models")
	body := gateway.ChangeBody{ChangeID: uuid.NewString(), BaseVersion: 1, Objects: []json.RawMessage{
		json.RawMessage(`{"kind":"account_class","name":"gold","requests_per_s":5,"burst":5}`),
	}}
	require.NoError(t, launcher.PublishChange(p.settings[0].OperatorAddress, body))
	require.Equal(t, uint64(1), p.configVersion(2))
	p.setPartitioned(2, false)
	require.Eventually(t, func() bool { return p.configVersion(2) == 2 }, conditionTimeout, pollInterval, "the data centre did not catch up")
	require.Eventually(t, func() bool { return p.placeOrder(2, "cut") == http.StatusOK }, conditionTimeout, pollInterval, "the refused order was not accepted when sent again")
	p.requireAtMostOnce()
}

// countFailedCompletions sends completion requests to one instance, one after another, and
// returns the number that were not answered in full.
func (p *processDeployment) countFailedCompletions(i, count int) int {
	failed := 0
	for n := range count {
		prompt := emulator.WithAnswerTokens(10, fmt.Sprint("question ", n))
		body, err := json.Marshal(map[string]any{"model": p.user.InteractiveRoute, "prompt": prompt})
		require.NoError(p.t, err)
		response, err := http.Post("http://"+p.settings[i].CallerAddress+"/v1/completions", "application/json", bytes.NewReader(body))
		if err != nil {
			failed++
			continue
		}
		data, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK || !strings.Contains(string(data), emulator.ExpectedAnswer(prompt, 10)) {
			p.t.Logf("%d %s", response.StatusCode, data)
			failed++
		}
	}
	return failed
}

// setPartitioned partitions an instance from all others or ends the partition.
func (p *processDeployment) setPartitioned(i int, partitioned bool) {
	name := string(p.settings[i].Instance)
	for link, proxy := range p.proxies {
		from, to, _ := strings.Cut(link, ">")
		if from == name || to == name {
			proxy.setPartitioned(partitioned)
		}
	}
}

// TestKillDuringDrainOfAnotherLosesNoResponses kills one instance while another drains. The
// remaining and the draining one must answer all their requests, except orders, which they
// may refuse as not run.
func TestKillDuringDrainOfAnotherLosesNoResponses(t *testing.T) {
	p := startProcessDeployment(t, false)
	remaining := p.startLoad(7, 0.2, 6*time.Second, p.callerAddresses(1, 2))
	killed := p.startLoad(8, 0.1, 2*time.Second, func() []string { return []string{p.settings[1].CallerAddress} })
	draining := p.startLoad(9, 0.1, 2*time.Second, func() []string { return []string{p.settings[2].CallerAddress} })
	time.Sleep(time.Second)
	p.signal(2, syscall.SIGTERM)
	p.signal(1, syscall.SIGKILL)
	_ = p.waitForExit(1)
	_ = killed()
	var required []driver.Result
	for _, r := range append(remaining(), draining()...) {
		// Without a quorum, orders are refused as not run.
		if r.Request.Class.NonIdempotent && r.Outcome == figseam.OutcomeNotRun {
			continue
		}
		required = append(required, r)
	}
	requireComplete(t, required)
	p.emulators.Fleet.SetDraining(string(p.settings[2].Instance))
	require.NoError(t, p.waitForExit(2))
	p.requireMemoryReleased()
	p.requireAtMostOnce()
}

// TestDecodeEngineCrashUnderLoadLosesNoResponses crashes a decode engine under load. Its
// streams must continue on other engines.
func TestDecodeEngineCrashUnderLoadLosesNoResponses(t *testing.T) {
	p := startProcessDeployment(t, false)
	results := p.startLoad(10, 0.3, 5*time.Second, p.callerAddresses())
	time.Sleep(2 * time.Second)
	for id, e := range p.emulators.Fleet.Engines() {
		if strings.Contains(string(id), "norte-b-decode-1") {
			e.SetFaults(emulator.Faults{Crashed: true})
		}
	}
	requireComplete(t, results())
	p.requireMemoryReleased()
}

// TestForeignAndDuplicateChunksAreDiscarded lets engines mix chunks of other attempts into
// their streams and send their own chunks twice. Every answer must still be correct.
func TestForeignAndDuplicateChunksAreDiscarded(t *testing.T) {
	p := startProcessDeployment(t, false)
	for _, e := range p.emulators.Fleet.Engines() {
		e.SetFaults(emulator.Faults{InjectForeignChunks: true})
	}
	requireComplete(t, p.startLoad(11, 0.2, 3*time.Second, p.callerAddresses())())
}
