package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["incomplete-entry"] = func(b *bed) (bool, error) { return foreignEntry(b, incompleteEntry) }
}

const (
	// orderPause is the pause between two requests.
	orderPause = 50 * time.Millisecond
	// servesFor is the time for which the leaving engine serves after it is listed as draining.
	servesFor = 8 * time.Second
	// afterwards is the time for which requests go on after the engine has ended.
	afterwards = 3 * time.Second
)

// incompleteEntry returns an entry of another writer for an engine: version, slots and
// cold_remaining_ms are missing.
func incompleteEntry(e *engine) string {
	return fmt.Sprintf(`{"id":%q,"service":%q,"address":%q,"zone":%q,"state":"ready"}`, e.id, e.service, e.addr, e.zone)
}

// foreignEntry lists one of three plain engines as draining, while another writer's entry stands
// in the list as well. The engine serves for a while and ends.
func foreignEntry(b *bed, foreign func(*engine) string) (bool, error) {
	var mu sync.Mutex
	var arrivals []arrival
	var engines []*engine
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		e, err := b.startEngine(fmt.Sprintf("i-shop-%d", i+1), "shop", zone, "", firstEngineHost+i)
		if err != nil {
			return false, err
		}
		e.onArrival = func(a arrival) {
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, a)
			b.notef("engine %s: request %s arrives", a.engine.id, a.id)
		}
		engines = append(engines, e)
	}
	s, err := b.startSmall(2, entriesOf(engines, nil)...)
	if err != nil {
		return false, err
	}
	time.Sleep(contactWindow + time.Second)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var clients sync.WaitGroup
	clients.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			entry, id := s.entries[i%len(s.entries)], newID()
			clients.Go(func() {
				r := b.send(context.Background(), entry, http.MethodPost, "/order/x", id, time.Second, 0)
				b.notef("client: order %s at %s: %d, complete %v, %d ms", id, entry.name, r.status, r.complete, r.took.Milliseconds())
			})
			time.Sleep(orderPause)
		}
	})
	time.Sleep(2 * time.Second)
	leaving := engines[0]
	entries := entriesOf(engines, leaving)
	if b.trouble {
		entries = append(entries, foreign(leaving))
	}
	s.list.set(entries...)
	listedAt := time.Now()
	b.notef("platform: lists %s as draining; the list is %q", leaving.id, s.list.text())
	time.Sleep(servesFor)
	leaving.stop()
	endedAt := time.Now()
	b.notef("engine %s ends", leaving.id)
	time.Sleep(afterwards)
	stop()
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, a := range arrivals {
		if a.engine == leaving && a.at.After(listedAt.Add(drainTimeout+judgeSlack)) && a.at.Before(endedAt) {
			late++
		}
	}
	b.notef("%d requests reached %s later than %d ms after it was listed as draining", late, leaving.id, (drainTimeout + judgeSlack).Milliseconds())
	return late > 0, nil
}
