package benchmarker

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/dialer"
	"github.com/figseam/figseam/scheduler"
)

// placementCount is the number of placements over which the cost is averaged.
const placementCount = 20_000

// soleMembership implements [figseam.Membership] for a single instance.
type soleMembership struct{ self figseam.Member }

func (m soleMembership) Self() figseam.Member { return m.self }

func (m soleMembership) Members() []figseam.Member { return []figseam.Member{m.self} }

// liveEndpoints reports every endpoint as live.
type liveEndpoints struct{}

func (liveEndpoints) State(figseam.EndpointID) figseam.EndpointState { return figseam.EndpointLive }

// immediateCanceller confirms every cancellation at once and sends nothing.
type immediateCanceller struct{}

func (immediateCanceller) Cancel(_ figseam.Endpoint, _ figseam.AttemptID, confirmed func()) {
	if confirmed != nil {
		confirmed()
	}
}

func enginePool() figseam.Pool {
	return figseam.Pool{
		Name: "lm", PieceTokens: 1000, PrefillResultTTLMillis: 800, PrefillTokensPerSecond: 9000, DecodeStepMillis: 19,
		TransferTokensPerSecond: 60_000, Slots: 20, EarlyStart: 0.5,
	}
}

// configWithEngines returns a configuration with n engines, of which every third is a
// prefill engine and the others are decode engines.
func configWithEngines(n int) *figseam.Config {
	config := &figseam.Config{
		Version: 1, Endpoints: map[figseam.EndpointID]figseam.Endpoint{}, Pools: map[string]figseam.Pool{"lm": enginePool()},
	}
	for i := range n {
		role := figseam.RoleDecode
		if i%3 == 0 {
			role = figseam.RolePrefill
		}
		id := figseam.EndpointID(fmt.Sprintf("engine-%05d", i))
		config.Endpoints[id] = figseam.Endpoint{Name: id, Pool: "lm", DataCentre: "a", Role: role, MemoryPieces: 48}
	}
	return config.WithPoolIndex()
}

// localPlacer places jobs through the router and cell host of a single instance.
type localPlacer struct {
	router       *scheduler.Router
	ctx          context.Context
	stop         func()
	requestCount int
}

func newLocalPlacer(config *figseam.Config) *localPlacer {
	membership := soleMembership{figseam.Member{ID: "i", DataCentre: "a", State: figseam.InstanceAlive}}
	host := scheduler.NewCellHost(membership, liveEndpoints{}, immediateCanceller{}, func(figseam.InstanceID) bool { return false })
	host.Configure(config)
	ctx, cancel := context.WithCancel(context.Background())
	hostExit := host.Run(ctx)
	return &localPlacer{
		router: scheduler.NewRouter(membership, func() *figseam.Config { return config }, host, nil), ctx: ctx,
		stop: func() {
			cancel()
			<-hostExit
		},
	}
}

// place places a new job and reports that its decoding has begun. The job holds its
// grant until its end is reported.
func (p *localPlacer) place() (figseam.Placement, error) {
	p.requestCount++
	job := figseam.Job{
		Request: figseam.RequestID(fmt.Sprint("request-", p.requestCount)), Attempt: figseam.NewAttemptID(), Pool: "lm",
		PromptTokens: 900, OutputTokens: 60, FirstTokenDeadline: figseam.DeadlineAfterMillis(120_000),
	}
	placement, err := p.router.Place(p.ctx, job)
	if err == nil {
		p.report(placement, figseam.JobStageDecoding)
	}
	return placement, err
}

func (p *localPlacer) report(placement figseam.Placement, stage figseam.JobStage) {
	p.router.ReportProgress(p.ctx, figseam.Progress{Grant: placement.Grant, Cell: placement.Cell, Stage: stage})
}

// measurePlacement measures a placement in a data centre with size engines.
func measurePlacement(size int) (map[string]float64, error) {
	p := newLocalPlacer(configWithEngines(size))
	defer p.stop()
	if _, err := p.place(); err != nil {
		return nil, err
	}
	// Every cell delays its first decisions so that holders can announce the grants of an
	// earlier owner. Placements before the measurement keep these delays out of it.
	for range min(size, 400) {
		if _, err := p.place(); err != nil {
			return nil, err
		}
	}
	cpuBefore, start := cpuSeconds(), time.Now()
	for range placementCount {
		placement, err := p.place()
		if err != nil {
			return nil, err
		}
		p.report(placement, figseam.JobStageEnded)
	}
	return map[string]float64{
		"microseconds_per_placement": time.Since(start).Seconds() * 1e6 / placementCount,
		"core_us_per_placement":      (cpuSeconds() - cpuBefore) * 1e6 / placementCount,
	}, nil
}

// measureGrants measures the heap used by size live grants. The 64 engines are 22
// prefill and 42 decode engines with 20 slots each, so size is limited to 820 grants;
// with the grant of the first placement, 19 of the 840 decode slots stay free.
func measureGrants(size int) (map[string]float64, error) {
	p := newLocalPlacer(configWithEngines(64))
	defer p.stop()
	if _, err := p.place(); err != nil {
		return nil, err
	}
	size = min(size, 64*2/3*20-20)
	heapBefore := heapBytes()
	for range size {
		if _, err := p.place(); err != nil {
			return nil, err
		}
	}
	return map[string]float64{"heap_bytes_per_grant": (heapBytes() - heapBefore) / float64(size)}, nil
}

// measureLoadReport measures the encoded size of the load report of an engine that
// runs size attempts.
func measureLoadReport(size int) (map[string]float64, error) {
	report := dialer.LoadResponse{FreePieces: 12, TotalPieces: 48, Running: size}
	for range size {
		report.Attempts = append(report.Attempts, figseam.NewAttemptID())
	}
	data, err := json.Marshal(report)
	if err != nil {
		return nil, err
	}
	return map[string]float64{"bytes_per_report": float64(len(data))}, nil
}
