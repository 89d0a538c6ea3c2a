package scheduler_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/scheduler"
)

// singleMember is a membership that consists of one instance.
type singleMember struct{ self figseam.Member }

func (m singleMember) Self() figseam.Member { return m.self }

func (m singleMember) Members() []figseam.Member { return []figseam.Member{m.self} }

// BenchmarkPlace measures the placement and the end of one job, in a pool with as many
// running jobs as engines.
func BenchmarkPlace(b *testing.B) {
	for _, engines := range []int{12, 120, 1200} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) { benchmarkPlace(b, engines) })
	}
}

func benchmarkPlace(b *testing.B, engines int) {
	config := &figseam.Config{
		Version: 1, Endpoints: map[figseam.EndpointID]figseam.Endpoint{},
		Pools: map[string]figseam.Pool{"lm": testPool(0.5)},
	}
	for i := range engines {
		role := figseam.RoleDecode
		if i%3 == 0 {
			role = figseam.RolePrefill
		}
		id := figseam.EndpointID(fmt.Sprintf("e%04d", i))
		config.Endpoints[id] = figseam.Endpoint{Name: id, Pool: "lm", DataCentre: "a", Role: role, MemoryPieces: 40}
	}
	config = config.WithPoolIndex()
	s := &endpointStates{state: map[figseam.EndpointID]figseam.EndpointState{}}
	m := singleMember{figseam.Member{ID: "i", DataCentre: "a", State: figseam.InstanceAlive}}
	h := scheduler.NewCellHost(m, s, newFakeEngines(), func(figseam.InstanceID) bool { return false })
	h.Configure(config)
	r := scheduler.NewRouter(m, func() *figseam.Config { return config }, h, nil)
	ctx, stop := context.WithCancel(context.Background())
	done := h.Run(ctx)
	place := func(i int) figseam.Placement {
		job := figseam.Job{
			Request: figseam.RequestID(fmt.Sprint("r", i)), Attempt: figseam.AttemptID(fmt.Sprint("a", i)), Pool: "lm",
			PromptTokens: 900, OutputTokens: 60, FirstTokenDeadline: figseam.DeadlineAfterMillis(60_000),
		}
		p, err := r.Place(ctx, job)
		if err != nil {
			b.Fatal(err)
		}
		r.ReportProgress(ctx, figseam.Progress{Grant: p.Grant, Cell: p.Cell, Stage: figseam.JobStageDecoding})
		return p
	}
	for i := range engines {
		place(i)
	}
	b.ResetTimer()
	for i := range b.N {
		p := place(engines + i)
		r.ReportProgress(ctx, figseam.Progress{Grant: p.Grant, Cell: p.Cell, Stage: figseam.JobStageEnded})
	}
	b.StopTimer()
	stop()
	<-done
}
