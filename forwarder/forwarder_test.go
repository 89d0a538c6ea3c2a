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

// fault is a fault that the log injects when a command is proposed.
type fault int

const (
	faultNone       fault = iota
	faultRefuse           // not proposed
	faultLoseResult       // applied, but the proposer gets an error
	faultDelay            // applied later, after the proposer got an error
)

var errResultLost = errors.New("result was lost")

// sharedLog applies commands to one state machine and injects faults.
type sharedLog struct {
	mu      sync.Mutex
	machine *deduplicator.StateMachine
	index   uint64
	fault   fault
	// successesBeforeFault is the number of commands that succeed before the fault takes
	// effect.
	successesBeforeFault int
	delayed              []figseam.Command
}

func (l *sharedLog) setFault(f fault) { l.setFaultAfter(f, 0) }

// setFaultAfter injects a fault after a number of successful commands, so that it can occur
// between a claim and its completion.
func (l *sharedLog) setFaultAfter(f fault, successes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault, l.successesBeforeFault = f, successes
}

func (l *sharedLog) Propose(_ context.Context, c figseam.Command) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.successesBeforeFault > 0 {
		l.successesBeforeFault--
		return l.apply(c), nil
	}
	switch l.fault {
	case faultRefuse:
		return nil, figseam.ErrNotProposed
	case faultDelay:
		l.delayed = append(l.delayed, c)
		return nil, errResultLost
	case faultLoseResult:
		l.apply(c)
		return nil, errResultLost
	default:
		return l.apply(c), nil
	}
}

func (l *sharedLog) apply(c figseam.Command) []byte {
	l.index++
	return l.machine.Apply(figseam.CommittedCommand{Index: l.index, LogMillis: int64(l.index), Body: c.Body})
}

// applyDelayed applies the commands that faultDelay delayed.
func (l *sharedLog) applyDelayed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.delayed {
		l.apply(c)
	}
	l.delayed = nil
}

// restore replaces the state machine by one that is restored from its snapshot.
func (l *sharedLog) restore(t require.TestingT) {
	l.mu.Lock()
	defer l.mu.Unlock()
	data, err := l.machine.Snapshot()
	require.NoError(t, err)
	l.machine = deduplicator.NewStateMachine()
	require.NoError(t, l.machine.Restore(data))
}

// testCluster consists of two instances with a shared log and one service endpoint.
type testCluster struct {
	log              *sharedLog
	service          *emulator.Service
	server           *httptest.Server
	config           *figseam.Config
	starts           int
	lostHolders      map[figseam.InstanceID]bool
	instances        [2]*instance
	keysWithResponse map[string]bool
}

// instance is one run of an instance. A restart creates another one, with another holder.
type instance struct {
	holder    figseam.InstanceID
	forwarder *forwarder.Forwarder
	stop      context.CancelFunc
	stopped   <-chan struct{}
}

func newTestCluster(check figseam.KeyCheck, shared *emulator.IdempotencyStore) *testCluster {
	c := &testCluster{
		log:     &sharedLog{machine: deduplicator.NewStateMachine()},
		service: emulator.NewService(shared, 0), lostHolders: map[figseam.InstanceID]bool{}, keysWithResponse: map[string]bool{},
	}
	c.server = httptest.NewServer(c.service)
	c.config = &figseam.Config{
		Version:  1,
		Services: map[string]figseam.Service{"shop": {Name: "shop", KeyCheck: check, NotRunStatuses: []int{503}}},
		Endpoints: map[figseam.EndpointID]figseam.Endpoint{
			"shop-1": {Name: "shop-1", Service: "shop", Address: c.server.URL, DataCentre: "norte-a"},
		},
	}
	for i := range c.instances {
		c.start(i)
	}
	return c
}

func (c *testCluster) close() {
	for _, i := range c.instances {
		i.stop()
		<-i.stopped
	}
	c.server.Close()
}

func (c *testCluster) start(i int) {
	c.starts++
	holder := figseam.InstanceID(fmt.Sprintf("i%d#%d", i, c.starts))
	d := deduplicator.New(holder, c.log, func(h figseam.InstanceID) bool { return c.lostHolders[h] })
	f := forwarder.New("norte-a", func() *figseam.Config { return c.config }, detector.NewEndpointTracker(), d, zerolog.Nop())
	ctx, stop := context.WithCancel(context.Background())
	c.instances[i] = &instance{holder: holder, forwarder: f, stop: stop, stopped: d.Run(ctx)}
}

func (c *testCluster) call(i int, key string) (forwarder.Response, error) {
	r := forwarder.Request{
		Service:        c.config.Services["shop"],
		Route:          figseam.Route{Name: "orders", Service: "shop", TimeoutMillis: 5000},
		IdempotencyKey: key,
		Call:           dialer.ServiceCall{Method: http.MethodPost, Path: "/orders", Header: http.Header{}, Body: []byte("one crate " + key)},
	}
	return c.instances[i].forwarder.Forward(context.Background(), r)
}

// callAndVerify makes a call and compares its result with the executions by the service.
func (c *testCluster) callAndVerify(t *rapid.T, i int, key string) {
	executionsBefore := c.service.ExecutionsByKey()[key]
	response, err := c.call(i, key)
	executions := c.service.ExecutionsByKey()[key]
	require.LessOrEqual(t, executions, 1, "key %s ran twice", key)
	if err == nil {
		require.Equal(t, 1, executions, "key %s got a response and did not run", key)
		require.Equal(t, http.StatusOK, response.Status)
		require.True(t, strings.Contains(string(response.Body), key), "response of another call")
		c.keysWithResponse[key] = true
		return
	}
	refusal := figseam.AsRefusal(err)
	require.NotNil(t, refusal, "%v", err)
	if refusal.Outcome == figseam.OutcomeNotRun {
		require.Equal(t, executionsBefore, executions, "refused as not run, but ran")
	}
}

// TestClaimedCallsRunAtMostOnce makes calls through two instances while the log and the
// service fail and instances are restarted. It guards against a call that the service
// executes twice and against a refusal with the outcome not_run for a call that ran.
func TestClaimedCallsRunAtMostOnce(t *testing.T) {
	for _, check := range []figseam.KeyCheck{figseam.KeyCheckNone, figseam.KeyCheckShared} {
		t.Run(string(check), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkClaimedCalls(t, check) })
		})
	}
}

func checkClaimedCalls(t *rapid.T, check figseam.KeyCheck) {
	var shared *emulator.IdempotencyStore
	if check == figseam.KeyCheckShared {
		shared = emulator.NewIdempotencyStore()
	}
	c := newTestCluster(check, shared)
	defer c.close()
	key := rapid.SampledFrom([]string{"k1", "k2", "k3"})
	index := rapid.IntRange(0, 1)
	t.Repeat(map[string]func(*rapid.T){
		"call": func(t *rapid.T) { c.callAndVerify(t, index.Draw(t, "at"), key.Draw(t, "key")) },
		"log": func(t *rapid.T) {
			f := rapid.SampledFrom([]fault{faultNone, faultNone, faultRefuse, faultLoseResult, faultDelay}).Draw(t, "fault")
			c.log.setFaultAfter(f, rapid.IntRange(0, 2).Draw(t, "sound"))
		},
		"late":    func(*rapid.T) { c.log.applyDelayed() },
		"restore": func(t *rapid.T) { c.log.restore(t) },
		"service": func(t *rapid.T) {
			c.service.SetFaults(rapid.SampledFrom([]emulator.ServiceFaults{
				{}, {}, {CloseBeforeExecution: true}, {CloseAfterExecution: true}, {RejectCalls: true},
			}).Draw(t, "fault"))
		},
		"kill": func(t *rapid.T) {
			i := index.Draw(t, "at")
			c.instances[i].stop()
			<-c.instances[i].stopped
			c.lostHolders[c.instances[i].holder] = true
			c.start(i)
		},
	})
	c.log.setFault(faultNone)
	c.log.applyDelayed()
	c.service.SetFaults(emulator.ServiceFaults{})
	for k, n := range c.service.ExecutionsByKey() {
		require.LessOrEqual(t, n, 1, "key %s", k)
	}
}

// refusalCases lists faults and the code and outcome of the refusal that they must cause.
var refusalCases = []struct {
	name       string
	log        fault
	service    emulator.ServiceFaults
	check      figseam.KeyCheck
	code       figseam.Code
	outcome    figseam.Outcome
	executions int
}{
	{"no majority", faultRefuse, emulator.ServiceFaults{}, figseam.KeyCheckNone, explainer.NoQuorum, figseam.OutcomeNotRun, 0},
	{"claim is applied without a result", faultLoseResult, emulator.ServiceFaults{}, figseam.KeyCheckNone, explainer.NoQuorum, figseam.OutcomeNotRun, 0},
	{"endpoint rejects the call", faultNone, emulator.ServiceFaults{RejectCalls: true}, figseam.KeyCheckNone, explainer.ServiceCallFailed, figseam.OutcomeNotRun, 0},
	{"connection closes before execution", faultNone, emulator.ServiceFaults{CloseBeforeExecution: true}, figseam.KeyCheckNone, explainer.ServiceCallFailed, figseam.OutcomeUnknown, 0},
	{"connection closes after execution", faultNone, emulator.ServiceFaults{CloseAfterExecution: true}, figseam.KeyCheckNone, explainer.ServiceCallFailed, figseam.OutcomeUnknown, 1},
}

// TestRefusalReportsWhetherCallRan guards against a refusal with the outcome not_run for a
// call that may have run.
func TestRefusalReportsWhetherCallRan(t *testing.T) {
	for _, tc := range refusalCases {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestCluster(tc.check, nil)
			defer c.close()
			c.log.setFault(tc.log)
			c.service.SetFaults(tc.service)
			_, err := c.call(0, "k")
			refusal := figseam.AsRefusal(err)
			require.NotNil(t, refusal, "%v", err)
			require.Equal(t, tc.code, refusal.Code)
			require.Equal(t, tc.outcome, refusal.Outcome)
			require.Equal(t, tc.executions, c.service.ExecutionsByKey()["k"])
		})
	}
}

// TestRefusedCallCanBeRetried checks that a call that was refused as not run is executed
// when it is retried with the same key. It guards against a claim command that is applied
// after the refusal and blocks the key.
func TestRefusedCallCanBeRetried(t *testing.T) {
	for _, f := range []fault{faultRefuse, faultLoseResult, faultDelay} {
		t.Run(fmt.Sprint(f), func(t *testing.T) {
			c := newTestCluster(figseam.KeyCheckNone, nil)
			defer c.close()
			c.log.setFault(f)
			_, err := c.call(0, "k")
			require.Equal(t, figseam.OutcomeNotRun, figseam.AsRefusal(err).Outcome)
			c.log.setFault(faultNone)
			c.log.applyDelayed()
			require.Eventually(t, func() bool {
				_, err := c.call(1, "k")
				return err == nil
			}, waitTimeout, pollInterval)
			require.Equal(t, 1, c.service.ExecutionsByKey()["k"])
		})
	}
}

// TestKeyReusedForAnotherCallIsRefused makes two different calls with the same key, through
// different instances.
func TestKeyReusedForAnotherCallIsRefused(t *testing.T) {
	c := newTestCluster(figseam.KeyCheckNone, nil)
	defer c.close()
	_, err := c.call(0, "k")
	require.NoError(t, err)
	r := forwarder.Request{
		Service: c.config.Services["shop"], Route: figseam.Route{Service: "shop", TimeoutMillis: 5000}, IdempotencyKey: "k",
		Call: dialer.ServiceCall{Method: http.MethodPost, Path: "/orders", Header: http.Header{}, Body: []byte("another")},
	}
	_, err = c.instances[1].forwarder.Forward(context.Background(), r)
	require.Equal(t, explainer.IdempotencyKeyReused, figseam.AsRefusal(err).Code)
}

// TestSharedKeyCheckServesCallsWithoutMajority checks that calls to a service whose
// endpoints share a check of keys succeed without a majority, and run once.
func TestSharedKeyCheckServesCallsWithoutMajority(t *testing.T) {
	c := newTestCluster(figseam.KeyCheckShared, emulator.NewIdempotencyStore())
	defer c.close()
	c.log.setFault(faultRefuse)
	for range 2 {
		_, err := c.call(0, "k")
		require.NoError(t, err)
	}
	require.Equal(t, 1, c.service.ExecutionsByKey()["k"])
}

// TestKeylessCallIsSentOnce checks that a call without a key is not sent again when its
// connection breaks.
func TestKeylessCallIsSentOnce(t *testing.T) {
	c := newTestCluster(figseam.KeyCheckNone, nil)
	defer c.close()
	c.service.SetFaults(emulator.ServiceFaults{CloseAfterExecution: true})
	_, err := c.call(0, "")
	require.Equal(t, figseam.OutcomeUnknown, figseam.AsRefusal(err).Outcome)
	require.Equal(t, 1, c.service.TotalExecutions())
}
