package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/deduplicator"
	"github.com/figseam/figseam/detector"
	"github.com/figseam/figseam/dialer"
	"github.com/figseam/figseam/emulator"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/forwarder"
)

// fault is what a log does with a command.
type fault int

const (
	faultNone       fault = iota
	faultRefuse           // not proposed
	faultLoseResult       // applied, but the proposer never learns
	faultLate             // applied after the proposer gave up
)

var errLost = errors.New("result was lost")

// sharedLog applies commands to one claims machine, with faults.
type sharedLog struct {
	mu      sync.Mutex
	machine *deduplicator.StateMachine
	index   uint64
	fault   fault
	// sound is how many commands go well before the fault sets in.
	sound int
	late  []figseam.Command
}

func (l *sharedLog) set(f fault) { l.setAfter(f, 0) }

// setAfter lets a fault set in after a number of commands, so that it can come
// between a claim and its settlement.
func (l *sharedLog) setAfter(f fault, sound int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault, l.sound = f, sound
}

func (l *sharedLog) Propose(_ context.Context, c figseam.Command) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sound > 0 {
		l.sound--
		return l.apply(c), nil
	}
	switch l.fault {
	case faultRefuse:
		return nil, figseam.ErrNotProposed
	case faultLate:
		l.late = append(l.late, c)
		return nil, errLost
	case faultLoseResult:
		l.apply(c)
		return nil, errLost
	default:
		return l.apply(c), nil
	}
}

func (l *sharedLog) apply(c figseam.Command) []byte {
	l.index++
	return l.machine.Apply(figseam.CommittedCommand{Index: l.index, LogMillis: int64(l.index), Body: c.Body})
}

// applyLate applies the commands that were under way.
func (l *sharedLog) applyLate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.late {
		l.apply(c)
	}
	l.late = nil
}

// restore replaces the machine by one made of its snapshot.
func (l *sharedLog) restore(t require.TestingT) {
	l.mu.Lock()
	defer l.mu.Unlock()
	data, err := l.machine.Snapshot()
	require.NoError(t, err)
	l.machine = deduplicator.NewStateMachine()
	require.NoError(t, l.machine.Restore(data))
}

// world is two instances before one service, joined by a log.
type world struct {
	log       *sharedLog
	service   *emulator.Service
	server    *httptest.Server
	config    *figseam.Config
	runs      int
	dead      map[figseam.InstanceID]bool
	instances [2]*instance
	answered  map[string]bool
}

type instance struct {
	holder figseam.InstanceID
	f      *forwarder.Forwarder
	stop   context.CancelFunc
	ended  <-chan struct{}
}

func newWorld(check figseam.KeyCheck, shared *emulator.IdempotencyStore) *world {
	w := &world{
		log:     &sharedLog{machine: deduplicator.NewStateMachine()},
		service: emulator.NewService(shared, 0), dead: map[figseam.InstanceID]bool{}, answered: map[string]bool{},
	}
	w.server = httptest.NewServer(w.service)
	w.config = &figseam.Config{
		Version:  1,
		Services: map[string]figseam.Service{"shop": {Name: "shop", KeyCheck: check, NotRunStatuses: []int{503}}},
		Endpoints: map[figseam.EndpointID]figseam.Endpoint{
			"shop-1": {Name: "shop-1", Service: "shop", Address: w.server.URL, DataCentre: "norte-a"},
		},
	}
	for i := range w.instances {
		w.start(i)
	}
	return w
}

func (w *world) close() {
	for _, i := range w.instances {
		i.stop()
		<-i.ended
	}
	w.server.Close()
}

func (w *world) start(i int) {
	w.runs++
	holder := figseam.InstanceID(fmt.Sprintf("i%d#%d", i, w.runs))
	d := deduplicator.New(holder, w.log, func(h figseam.InstanceID) bool { return w.dead[h] })
	f := forwarder.New("norte-a", func() *figseam.Config { return w.config }, detector.NewEndpointTracker(), d, zerolog.Nop())
	ctx, stop := context.WithCancel(context.Background())
	w.instances[i] = &instance{holder: holder, f: f, stop: stop, ended: d.Run(ctx)}
}

func (w *world) call(i int, key string) (forwarder.Response, error) {
	r := forwarder.Request{
		Service:        w.config.Services["shop"],
		Route:          figseam.Route{Name: "orders", Service: "shop", TimeoutMillis: 5000},
		IdempotencyKey: key,
		Call:           dialer.ServiceCall{Method: http.MethodPost, Path: "/orders", Header: http.Header{}, Body: []byte("one crate " + key)},
	}
	return w.instances[i].f.Forward(context.Background(), r)
}

// check makes a call and holds its answer against what the service carried out.
func (w *world) check(t *rapid.T, i int, key string) {
	before := w.service.ExecutionsByKey()[key]
	answer, err := w.call(i, key)
	ran := w.service.ExecutionsByKey()[key]
	require.LessOrEqual(t, ran, 1, "key %s ran twice", key)
	if err == nil {
		require.Equal(t, 1, ran, "key %s was answered and did not run", key)
		require.Equal(t, http.StatusOK, answer.Status)
		require.True(t, strings.Contains(string(answer.Body), key), "answer of another call")
		w.answered[key] = true
		return
	}
	refusal := figseam.AsRefusal(err)
	require.NotNil(t, refusal, "%v", err)
	if refusal.Outcome == figseam.OutcomeNotRun {
		require.Equal(t, before, ran, "refused as not run, and ran")
	}
}

// TestClaimedCallsRunAtMostOnce drives two instances through faults of the log,
// the service and themselves, and counts what the service carried out.
func TestClaimedCallsRunAtMostOnce(t *testing.T) {
	for _, check := range []figseam.KeyCheck{figseam.KeyCheckNone, figseam.KeyCheckShared} {
		t.Run(string(check), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { claimedCalls(t, check) })
		})
	}
}

func claimedCalls(t *rapid.T, check figseam.KeyCheck) {
	var shared *emulator.IdempotencyStore
	if check == figseam.KeyCheckShared {
		shared = emulator.NewIdempotencyStore()
	}
	w := newWorld(check, shared)
	defer w.close()
	key := rapid.SampledFrom([]string{"k1", "k2", "k3"})
	at := rapid.IntRange(0, 1)
	t.Repeat(map[string]func(*rapid.T){
		"call": func(t *rapid.T) { w.check(t, at.Draw(t, "at"), key.Draw(t, "key")) },
		"log": func(t *rapid.T) {
			f := rapid.SampledFrom([]fault{faultNone, faultNone, faultRefuse, faultLoseResult, faultLate}).Draw(t, "fault")
			w.log.setAfter(f, rapid.IntRange(0, 2).Draw(t, "sound"))
		},
		"late":    func(*rapid.T) { w.log.applyLate() },
		"restore": func(t *rapid.T) { w.log.restore(t) },
		"service": func(t *rapid.T) {
			w.service.SetFaults(rapid.SampledFrom([]emulator.ServiceFaults{
				{}, {}, {CloseBeforeExecution: true}, {CloseAfterExecution: true}, {RejectCalls: true},
			}).Draw(t, "fault"))
		},
		"kill": func(t *rapid.T) {
			i := at.Draw(t, "at")
			w.instances[i].stop()
			<-w.instances[i].ended
			w.dead[w.instances[i].holder] = true
			w.start(i)
		},
	})
	w.log.set(faultNone)
	w.log.applyLate()
	w.service.SetFaults(emulator.ServiceFaults{})
	for k, n := range w.service.ExecutionsByKey() {
		require.LessOrEqual(t, n, 1, "key %s", k)
	}
}

// refusals holds what a call must be told, by what happens to it.
var refusals = []struct {
	name    string
	log     fault
	service emulator.ServiceFaults
	check   figseam.KeyCheck
	code    figseam.Code
	outcome figseam.Outcome
	ran     int
}{
	{"no majority", faultRefuse, emulator.ServiceFaults{}, figseam.KeyCheckNone, explainer.NoQuorum, figseam.OutcomeNotRun, 0},
	{"claim's fate unknown", faultLoseResult, emulator.ServiceFaults{}, figseam.KeyCheckNone, explainer.NoQuorum, figseam.OutcomeNotRun, 0},
	{"endpoint refuses", faultNone, emulator.ServiceFaults{RejectCalls: true}, figseam.KeyCheckNone, explainer.ServiceCallFailed, figseam.OutcomeNotRun, 0},
	{"breaks before it runs", faultNone, emulator.ServiceFaults{CloseBeforeExecution: true}, figseam.KeyCheckNone, explainer.ServiceCallFailed, figseam.OutcomeUnknown, 0},
	{"breaks after it ran", faultNone, emulator.ServiceFaults{CloseAfterExecution: true}, figseam.KeyCheckNone, explainer.ServiceCallFailed, figseam.OutcomeUnknown, 1},
}

func TestRefusalsTellTheTruth(t *testing.T) {
	for _, c := range refusals {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(c.check, nil)
			defer w.close()
			w.log.set(c.log)
			w.service.SetFaults(c.service)
			_, err := w.call(0, "k")
			refusal := figseam.AsRefusal(err)
			require.NotNil(t, refusal, "%v", err)
			require.Equal(t, c.code, refusal.Code)
			require.Equal(t, c.outcome, refusal.Outcome)
			require.Equal(t, c.ran, w.service.ExecutionsByKey()["k"])
		})
	}
}

// TestRefusedCallCanBeRetried holds that a call that was refused as not run runs
// when the same key comes again, also when its claim reaches the log late.
func TestRefusedCallCanBeRetried(t *testing.T) {
	for _, f := range []fault{faultRefuse, faultLoseResult, faultLate} {
		t.Run(fmt.Sprint(f), func(t *testing.T) {
			w := newWorld(figseam.KeyCheckNone, nil)
			defer w.close()
			w.log.set(f)
			_, err := w.call(0, "k")
			require.Equal(t, figseam.OutcomeNotRun, figseam.AsRefusal(err).Outcome)
			w.log.set(faultNone)
			w.log.applyLate()
			require.Eventually(t, func() bool {
				_, err := w.call(1, "k")
				return err == nil
			}, eventually, poll)
			require.Equal(t, 1, w.service.ExecutionsByKey()["k"])
		})
	}
}

// TestKeyOfAnotherCall holds that a key cannot be used for two different calls.
func TestKeyOfAnotherCall(t *testing.T) {
	w := newWorld(figseam.KeyCheckNone, nil)
	defer w.close()
	_, err := w.call(0, "k")
	require.NoError(t, err)
	r := forwarder.Request{
		Service: w.config.Services["shop"], Route: figseam.Route{Service: "shop", TimeoutMillis: 5000}, IdempotencyKey: "k",
		Call: dialer.ServiceCall{Method: http.MethodPost, Path: "/orders", Header: http.Header{}, Body: []byte("another")},
	}
	_, err = w.instances[1].f.Forward(context.Background(), r)
	require.Equal(t, explainer.IdempotencyKeyReused, figseam.AsRefusal(err).Code)
}

// TestCutOffDataCentreServesSharedKeys holds that a service whose endpoints share
// a check of keys is served on without a majority.
func TestCutOffDataCentreServesSharedKeys(t *testing.T) {
	w := newWorld(figseam.KeyCheckShared, emulator.NewIdempotencyStore())
	defer w.close()
	w.log.set(faultRefuse)
	for range 2 {
		_, err := w.call(0, "k")
		require.NoError(t, err)
	}
	require.Equal(t, 1, w.service.ExecutionsByKey()["k"])
}

// TestKeylessCallIsSentOnce holds that a call without a key is never sent again.
func TestKeylessCallIsSentOnce(t *testing.T) {
	w := newWorld(figseam.KeyCheckNone, nil)
	defer w.close()
	w.service.SetFaults(emulator.ServiceFaults{CloseAfterExecution: true})
	_, err := w.call(0, "")
	require.Equal(t, figseam.OutcomeUnknown, figseam.AsRefusal(err).Outcome)
	require.Equal(t, 1, w.service.TotalExecutions())
}
