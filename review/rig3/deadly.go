package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"
)

func init() { cases["11"] = deadlyBatches }

// Times and sizes of the case. The contact window and the bounds of the rules are those of the
// pages for a small deployment.
const (
	contactWindow  = 3 * time.Second
	soundEvery     = 100 * time.Millisecond
	calmTime       = 12 * time.Second
	troubleTime    = 32 * time.Second
	batchEvery     = time.Second
	batchSize      = 30
	sharedPart     = "5c1e07a2"
	deadlyPart     = "dead0bad"
	promptTokens   = 150
	answerTokens   = 66
	leastOfEach    = 20
	mostDeadlySent = 3
)

// soundRequest is a sound request with the time at which it was sent.
type soundRequest struct {
	sentAt time.Time
	began  bool
	// lost is true if its answer broke off, or if it failed after it had been passed on.
	lost bool
}

// deadlyBatches sends batches of requests whose prompts share a part that crashes each engine that
// begins to write an answer on it, beside sound requests of the same route with the same first
// part.
func deadlyBatches(r *recorder, trouble bool) (bool, error) {
	const kvTokens = 57979
	d, err := newDeployment(shape{voters: 3, entries: 3, entryMemory: 284, voterMemory: 280, prefillers: 4, decoders: 8, serviceEndpoints: 3, kvTokens: kvTokens}, r)
	if err != nil {
		return false, err
	}
	defer d.end()
	if err := d.start(configuration(1, kvTokens)); err != nil {
		return false, err
	}
	size := number(os.Getenv("BATCH"), batchSize)
	every := time.Duration(number(os.Getenv("EVERY"), int(batchEvery/time.Millisecond))) * time.Millisecond
	d.fleet.deadlyPart = deadlyPart
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var (
		mu    sync.Mutex
		sound []*soundRequest
		tasks sync.WaitGroup
	)
	sendSound := func(i int) {
		p := d.entries[i%len(d.entries)]
		g := generation{id: newID("50"), path: "/audit/x", input: promptTokens, output: answerTokens, timeout: 14 * time.Second}
		g.prefix = fmt.Sprintf("%s:60,%s:%d", sharedPart, g.id, promptTokens-60)
		s := &soundRequest{sentAt: time.Now()}
		mu.Lock()
		sound = append(sound, s)
		mu.Unlock()
		o := d.generate(ctx, p, g)
		mu.Lock()
		s.began = o.began
		s.lost = o.status == 502 || o.status == 504 || o.began && !o.complete
		mu.Unlock()
		r.add("client", "sound %s to %s: status %d, began %t, complete %t, %v, %d ms", g.id, p.name, o.status, o.began, o.complete, o.err, o.took.Milliseconds())
	}
	// A batch is one caller's, so that all its requests come to one entry; callers of all
	// entries take turns.
	sendDeadly := func(p *process) {
		g := generation{id: newID("de"), path: "/audit/x", input: promptTokens, output: answerTokens, timeout: 14 * time.Second}
		g.prefix = fmt.Sprintf("%s:60,%s:30,%s:%d", sharedPart, deadlyPart, g.id, promptTokens-90)
		o := d.generate(ctx, p, g)
		r.add("client", "deadly %s to %s: status %d, began %t, %v, %d ms", g.id, p.name, o.status, o.began, o.err, o.took.Milliseconds())
	}
	began := time.Now()
	troubleAt := began.Add(calmTime)
	end := troubleAt.Add(troubleTime)
	nextBatch, batches := troubleAt, 0
	for i := 0; time.Now().Before(end); i++ {
		tasks.Go(func() { sendSound(i) })
		if trouble && !time.Now().Before(nextBatch) {
			nextBatch = nextBatch.Add(every)
			p := d.entries[batches%len(d.entries)]
			batches++
			for range size {
				tasks.Go(func() { sendDeadly(p) })
			}
		}
		time.Sleep(soundEvery)
	}
	stopped := time.Now()
	time.Sleep(4 * time.Second)
	cancel()
	tasks.Wait()
	for _, p := range d.all() {
		if p.unwantedExits() > 0 {
			r.say("%s ended by itself", p.name)
		}
	}
	return judgeDeadly(r, d.fleet, sound, began, troubleAt, stopped), nil
}

// judgeDeadly applies the two rules of the news page on parts that crash engines.
func judgeDeadly(r *recorder, f *fleet, sound []*soundRequest, began, troubleAt, stopped time.Time) bool {
	share := func(from, to time.Time) (n, of int) {
		for _, s := range sound {
			if !s.sentAt.Before(from) && s.sentAt.Before(to) {
				of++
				if s.began {
					n++
				}
			}
		}
		return n, of
	}
	calm, calmOf := share(began, troubleAt.Add(-2*time.Second))
	r.say("calm: %d of %d sound requests began at the first attempt", calm, calmOf)
	f.mu.Lock()
	crashes, deadly := f.crashes, f.deadlyArrivals
	f.mu.Unlock()
	r.say("engines crashed %d times, %d requests with the deadly part reached engines", len(crashes), distinct(deadly, always))
	if len(crashes) == 0 {
		n, of := share(troubleAt, stopped)
		r.say("no crash: %d of %d sound requests began after %v", n, of, calmTime)
		return 2*n*calmOf < of*calm
	}
	lost := 0
	for _, s := range sound {
		if s.lost {
			lost++
		}
	}
	r.say("%d sound requests were accepted and lost with an engine", lost)
	last := crashes[min(len(crashes), 5)-1]
	broken := false
	if len(crashes) >= 5 {
		late := distinct(deadly, func(at time.Time) bool { return at.After(last.Add(contactWindow)) })
		r.say("BUDGET: %d requests with the deadly part reached engines later than %v after the fifth crash (at most %d)", late, contactWindow, mostDeadlySent)
		broken = late > mostDeadlySent
	}
	n, of := share(last.Add(2*contactWindow), stopped)
	r.say("LOST: from %v after crash %d, %d of %d sound requests began at the first attempt", 2*contactWindow, min(len(crashes), 5), n, of)
	if of >= leastOfEach && calmOf >= leastOfEach && 2*n*calmOf < of*calm {
		broken = true
		r.say("LOST: that is less than half as often as in the calm")
	}
	return broken
}
