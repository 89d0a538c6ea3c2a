package main

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["silent-engine"] = silentEngine }

const (
	// preemptedStreams run while their entry is stopped. They are not more than three.
	preemptedStreams = 3
	// preemptedTokens is their length: three seconds without the pause.
	preemptedTokens = 60
	// termAfter and silentAfter are the times from the start of the streams to the SIGTERM
	// and to the pause.
	termAfter   = time.Second
	silentAfter = 1500 * time.Millisecond
	// silentFor is the pause: shorter than the gap after which clients abandon a stream.
	silentFor = 2500 * time.Millisecond
	// listLead is the time from the listing of the leaving engine to the start of the streams.
	listLead = 2 * time.Second
	// clientGap is that gap: two seconds, four times the objective (900 ms) or eight times the
	// pause of the sheet (300 ms), whichever is longest.
	clientGap = 3600 * time.Millisecond
)

// silentEngine stops an entry while resumable streams run on one decode engine. That engine is
// sound; it preempts the streams for a while and then goes on with them. The other decode engine
// is leaving.
func silentEngine(b *bed) (bool, error) {
	var mu sync.Mutex
	var arrivals []arrival
	var engines []*engine
	for i, spec := range []struct{ id, stage, zone string }{
		{"i-prefill-1", "prefill", "zone-a"},
		{"i-prefill-2", "prefill", "zone-b"},
		{"i-decode-1", "decode", "zone-a"},
		{"i-decode-2", "decode", "zone-b"},
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
	serving, leaving := engines[2], engines[3]
	s, err := b.startSmall(2, entriesOf(engines, nil)...)
	if err != nil {
		return false, err
	}
	// The share of the retry budget grows with the age of an entry.
	time.Sleep(retryWindow + time.Second)
	s.list.set(entriesOf(engines, leaving)...)
	b.notef("platform: %s is listed as draining; it goes on serving", leaving.id)
	time.Sleep(listLead)
	stopped := s.entries[0]
	beganAt := time.Now()
	if b.trouble {
		serving.pause = func() (from, to time.Time) {
			return beganAt.Add(silentAfter), beganAt.Add(silentAfter + silentFor)
		}
	}
	var clients sync.WaitGroup
	cut := 0
	for range preemptedStreams {
		id := newID()
		clients.Go(func() {
			r := b.send(context.Background(), stopped, http.MethodPost, "/digest/x", id, 14*time.Second, preemptedTokens)
			b.notef("client: request %s at %s: %d, complete %v, %d bytes, longest gap %d ms, ended %d ms after the start", id, stopped.name, r.status, r.complete, len(r.body), r.gap.Milliseconds(), time.Since(beganAt).Milliseconds())
			mu.Lock()
			defer mu.Unlock()
			if !r.complete {
				cut++
			}
		})
	}
	time.Sleep(time.Until(beganAt.Add(termAfter)))
	b.notef("%s gets SIGTERM", stopped.name)
	s.running[stopped.name].signal(syscall.SIGTERM)
	time.Sleep(time.Until(beganAt.Add(silentAfter)))
	if b.trouble {
		b.notef("engine %s preempts its streams for %v; clients wait for %v", serving.id, silentFor, clientGap)
	}
	clients.Wait()
	s.running[stopped.name].wait()
	b.notef("%s ended %d ms after the SIGTERM; %d of %d streams ended without a complete answer", stopped.name, time.Since(beganAt.Add(termAfter)).Milliseconds(), cut, preemptedStreams)
	return cut > 0, nil
}
