package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["15"] = forgottenPart }

// Times and sizes of the case.
const (
	smallBatch      = 4
	smallBatchEvery = 6 * time.Second
	batchesBefore   = 5
	batchesAfter    = 5
	downTime        = 700 * time.Millisecond
)

// forgottenPart sends small batches of requests with a part that crashes engines until the part is
// quarantined, kills all processes at once, starts them again and goes on with the batches.
func forgottenPart(r *recorder, trouble bool) (bool, error) {
	const kvTokens = 57979
	d, err := newDeployment(shape{voters: 3, entries: 3, entryMemory: 284, voterMemory: 280, prefillers: 4, decoders: 8, serviceEndpoints: 3, kvTokens: kvTokens}, r)
	if err != nil {
		return false, err
	}
	defer d.end()
	if err := d.start(configuration(1, kvTokens)); err != nil {
		return false, err
	}
	d.fleet.deadlyPart = deadlyPart
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var (
		tasks sync.WaitGroup
		mu    sync.Mutex
		cut   int
	)
	end := time.Now().Add((batchesBefore + batchesAfter) * smallBatchEvery)
	tasks.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			p := d.entries[i%len(d.entries)]
			g := generation{id: newID("50"), path: "/audit/x", input: promptTokens, output: answerTokens, timeout: 14 * time.Second}
			g.prefix = fmt.Sprintf("%s:60,%s:%d", sharedPart, g.id, promptTokens-60)
			tasks.Go(func() {
				o := d.generate(ctx, p, g)
				if o.status == 502 || o.began && !o.complete {
					mu.Lock()
					cut++
					mu.Unlock()
				}
				r.add("client", "sound %s to %s: status %d, began %t, complete %t, %v", g.id, p.name, o.status, o.began, o.complete, o.err)
			})
			time.Sleep(soundEvery)
		}
	})
	batch := func() {
		p := d.entries[rand.IntN(len(d.entries))]
		for range smallBatch {
			tasks.Go(func() {
				g := generation{id: newID("de"), path: "/audit/x", input: promptTokens, output: answerTokens, timeout: 5 * time.Second}
				g.prefix = fmt.Sprintf("%s:60,%s:30,%s:%d", sharedPart, deadlyPart, g.id, promptTokens-90)
				o := d.generate(ctx, p, g)
				r.add("client", "deadly %s to %s: status %d, began %t, %v", g.id, p.name, o.status, o.began, o.err)
			})
		}
		time.Sleep(smallBatchEvery)
		d.fleet.mu.Lock()
		crashes, arrivals := len(d.fleet.crashes), distinct(d.fleet.deadlyArrivals, always)
		d.fleet.mu.Unlock()
		r.say("%d crashes, %d requests with the deadly part at engines so far", crashes, arrivals)
	}
	for range batchesBefore {
		batch()
	}
	var killedAt, inTouchAt time.Time
	if trouble {
		killedAt = time.Now()
		r.say("all processes are killed at once and start again %v later", downTime)
		for _, p := range d.all() {
			p.signal(syscall.SIGKILL)
		}
		time.Sleep(downTime)
		for _, p := range d.all() {
			p.kill()
			if err := p.start(); err != nil {
				return false, err
			}
		}
		for _, p := range d.entries {
			if err := d.awaitReady(p, 10*time.Second); err != nil {
				return false, err
			}
		}
		inTouchAt = time.Now().Add(contactWindow)
		time.Sleep(contactWindow + time.Second)
	}
	for range batchesAfter {
		batch()
	}
	cancel()
	tasks.Wait()
	f := d.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	r.say("engines crashed %d times, %d requests with the deadly part reached engines, %d sound requests were accepted and lost", len(f.crashes), distinct(f.deadlyArrivals, always), cut)
	if len(f.crashes) < 5 {
		return false, nil
	}
	late := distinct(f.deadlyArrivals, func(at time.Time) bool {
		outOfTouch := trouble && at.After(killedAt) && at.Before(inTouchAt)
		return at.After(f.crashes[4].Add(contactWindow)) && !outOfTouch
	})
	r.say("BUDGET: %d requests with the deadly part reached engines later than %v after the fifth crash, sent by machines in touch (at most %d)", late, contactWindow, mostDeadlySent)
	return late > mostDeadlySent, nil
}
