package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// shortStreams run beside the stream that breaks: one of them is one in fifty or less.
	shortStreams = 60
	// longTokens is the length of the streams that still run when their engine has been
	// leaving for longer than the drain timeout.
	longTokens  = 200
	shortTokens = 5
	longStreams = 3
	// lingerFor is the time for which the leaving engine serves its streams.
	lingerFor = 12 * time.Second
	// breakLag is the time after the end of the drain timeout at which the stream breaks.
	breakLag = 2 * time.Second
	// judgeSlack is the time beyond the drain timeout from which a request counts.
	judgeSlack = 500 * time.Millisecond
)

func init() { cases["leaving-engine"] = leavingEngine }

// leavingEngine lists a decode engine as leaving. It goes on serving its streams. After the drain
// timeout it breaks off one resumable stream in the middle of an event.
func leavingEngine(b *bed) (bool, error) {
	var mu sync.Mutex
	var arrivals []arrival
	var engines []*engine
	for i, spec := range []struct{ id, stage, zone string }{
		{"i-prefill-1", "prefill", "zone-a"},
		{"i-prefill-2", "prefill", "zone-b"},
		{"i-decode-1", "decode", "zone-a"},
		{"i-decode-2", "decode", "zone-b"},
		{"i-decode-3", "decode", "zone-c"},
	} {
		e, err := b.startEngine(spec.id, "pool", spec.zone, spec.stage, firstEngineHost+i)
		if err != nil {
			return false, err
		}
		e.onArrival = func(a arrival) {
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, a)
			b.notef("engine %s: request %s arrives, stage %q, Last-Event-Id %q", a.engine.id, a.id, a.stage, a.last)
		}
		engines = append(engines, e)
	}
	s, err := b.startSmall(1, entriesOf(engines, nil)...)
	if err != nil {
		return false, err
	}
	time.Sleep(contactWindow + time.Second)
	var clients sync.WaitGroup
	sendStream := func(tokens int) string {
		id := newID()
		clients.Go(func() {
			r := b.send(context.Background(), s.entries[0], http.MethodPost, "/digest/x", id, 14*time.Second, tokens)
			b.notef("client: request %s: %d, complete %v, %d bytes, %d ms", id, r.status, r.complete, len(r.body), r.took.Milliseconds())
		})
		return id
	}
	long := map[string]bool{}
	for range longStreams {
		long[sendStream(longTokens)] = true
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	mu.Lock()
	var leaving *engine
	broken := ""
	for _, a := range arrivals {
		if long[a.id] && a.stage == "" {
			leaving, broken = a.engine, a.id
		}
	}
	mu.Unlock()
	listedAt := time.Now()
	s.list.set(entriesOf(engines, leaving)...)
	b.notef("platform: %s is listed as draining; it goes on serving", leaving.id)
	breakAt := listedAt.Add(drainTimeout + breakLag)
	var breakOnce sync.Once
	leaving.breaks = func(id string) (breaks bool) {
		if b.trouble && id == broken && time.Now().After(breakAt) {
			breakOnce.Do(func() {
				breaks = true
				b.notef("engine %s: breaks off the stream of request %s in the middle of an event", leaving.id, id)
			})
		}
		return breaks
	}
	for range shortStreams {
		sendStream(shortTokens)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Until(listedAt.Add(lingerFor)))
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, a := range arrivals {
		if a.engine == leaving && a.at.After(listedAt.Add(drainTimeout+judgeSlack)) {
			late++
			b.notef("request %s reached %s %d ms after it was listed as draining", a.id, leaving.id, a.at.Sub(listedAt).Milliseconds())
		}
	}
	return late > 0, nil
}

// entriesOf returns the entries of engines for the platform's list. One of them may be leaving.
func entriesOf(engines []*engine, leaving *engine) []string {
	var entries []string
	for _, e := range engines {
		state := "ready"
		if e == leaving {
			state = "draining"
		}
		entries = append(entries, e.entry(state))
	}
	return entries
}
