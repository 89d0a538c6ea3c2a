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

const placements = 20_000

// alone is a membership of one instance.
type alone struct{ self figseam.Member }

func (a alone) Self() figseam.Member { return a.self }

func (a alone) Members() []figseam.Member { return []figseam.Member{a.self} }

type live struct{}

func (live) State(figseam.EndpointID) figseam.EndpointState { return figseam.EndpointLive }

type noCanceller struct{}

func (noCanceller) Cancel(_ figseam.Endpoint, _ figseam.AttemptID, confirmed func()) {
	if confirmed != nil {
		confirmed()
	}
}

func pool() figseam.Pool {
	return figseam.Pool{
		Name: "lm", PieceTokens: 1000, PrefillResultTTLMillis: 800, PrefillTokensPerSecond: 9000, DecodeStepMillis: 19,
		TransferTokensPerSecond: 60_000, Slots: 20, EarlyStart: 0.5,
	}
}

func engines(n int) *figseam.Config {
	config := &figseam.Config{
		Version: 1, Endpoints: map[figseam.EndpointID]figseam.Endpoint{}, Pools: map[string]figseam.Pool{"lm": pool()},
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

// placer is a router with its host, without other instances.
type placer struct {
	router *scheduler.Router
	ctx    context.Context
	stop   func()
	next   int
}

func newPlacer(config *figseam.Config) *placer {
	m := alone{figseam.Member{ID: "i", DataCentre: "a", State: figseam.InstanceAlive}}
	h := scheduler.NewCellHost(m, live{}, noCanceller{}, func(figseam.InstanceID) bool { return false })
	h.Configure(config)
	ctx, cancel := context.WithCancel(context.Background())
	done := h.Run(ctx)
	return &placer{
		router: scheduler.NewRouter(m, func() *figseam.Config { return config }, h, nil), ctx: ctx,
		stop: func() {
			cancel()
			<-done
		},
	}
}

func (p *placer) place() (figseam.Placement, error) {
	p.next++
	job := figseam.Job{
		Request: figseam.RequestID(fmt.Sprint("request-", p.next)), Attempt: figseam.NewAttemptID(), Pool: "lm",
		PromptTokens: 900, OutputTokens: 60, FirstTokenDeadline: figseam.DeadlineAfterMillis(120_000),
	}
	placement, err := p.router.Place(p.ctx, job)
	if err == nil {
		p.report(placement, figseam.JobStageDecoding)
	}
	return placement, err
}

func (p *placer) report(placement figseam.Placement, stage figseam.JobStage) {
	p.router.ReportProgress(p.ctx, figseam.Progress{Grant: placement.Grant, Cell: placement.Cell, Stage: stage})
}

// ledger measures one placement with size engines of one data centre in view.
func ledger(size int) (map[string]float64, error) {
	p := newPlacer(engines(size))
	defer p.stop()
	if _, err := p.place(); err != nil {
		return nil, err
	}
	// Every cell waits once for holders to announce what they have.
	for range min(size, 400) {
		if _, err := p.place(); err != nil {
			return nil, err
		}
	}
	cpu, began := cpuSeconds(), time.Now()
	for range placements {
		placement, err := p.place()
		if err != nil {
			return nil, err
		}
		p.report(placement, figseam.JobStageEnded)
	}
	return map[string]float64{
		"microseconds_per_placement": time.Since(began).Seconds() * 1e6 / placements,
		"core_us_per_placement":      (cpuSeconds() - cpu) * 1e6 / placements,
	}, nil
}

// grants measures the memory of live grants.
func grants(size int) (map[string]float64, error) {
	p := newPlacer(engines(64))
	defer p.stop()
	if _, err := p.place(); err != nil {
		return nil, err
	}
	size = min(size, 64*2/3*20-20)
	before := heapBytes()
	for range size {
		if _, err := p.place(); err != nil {
			return nil, err
		}
	}
	return map[string]float64{"heap_bytes_per_grant": (heapBytes() - before) / float64(size)}, nil
}

// loadReports measures the bytes of one engine's load report.
func loadReports(size int) (map[string]float64, error) {
	body := dialer.LoadResponse{FreePieces: 12, TotalPieces: 48, Running: size}
	for range size {
		body.Attempts = append(body.Attempts, figseam.NewAttemptID())
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return map[string]float64{"bytes_per_report": float64(len(text))}, nil
}
