package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["unreadable-entry"] = unreadableEntry }

// unreadable is an entry of another writer with bytes that cannot be read.
const unreadable = "{\"id\":\"\x00\x1b\xff\xfe\x02\",\"service\":\"\x9c\x01\"}"

// replacedEvery is the time from the start of a new engine to the end of the one that it
// replaces, which is listed as draining meanwhile.
const replacedEvery = drainTimeout + 2*time.Second

// unreadableEntry replaces the three engines of a service one after the other, while an entry of
// another writer that cannot be read stands in the list.
func unreadableEntry(b *bed) (bool, error) {
	var mu sync.Mutex
	var arrivals []arrival
	zones := []string{"zone-a", "zone-b", "zone-c"}
	start := func(i int, name string) (*engine, error) {
		e, err := b.startEngine(name, "shop", zones[i%len(zones)], "", firstEngineHost+i)
		if err != nil {
			return nil, err
		}
		e.onArrival = func(a arrival) {
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, a)
			b.notef("engine %s: request %s arrives", a.engine.id, a.id)
		}
		return e, nil
	}
	var engines []*engine
	for i := range zones {
		e, err := start(i, fmt.Sprintf("i-shop-old-%d", i+1))
		if err != nil {
			return false, err
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
	served, lastServed := map[bool]int{}, time.Time{}
	clients.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			entry, id := s.entries[i%len(s.entries)], newID()
			clients.Go(func() {
				r := b.send(context.Background(), entry, http.MethodPost, "/order/x", id, time.Second, 0)
				b.notef("client: order %s at %s: %d, complete %v, %d ms", id, entry.name, r.status, r.complete, r.took.Milliseconds())
				mu.Lock()
				defer mu.Unlock()
				served[r.status == http.StatusOK]++
				if r.status == http.StatusOK {
					lastServed = time.Now()
				}
			})
			time.Sleep(orderPause)
		}
	})
	show := func(leaving *engine) {
		entries := entriesOf(engines, leaving)
		if b.trouble {
			entries = append(entries, unreadable)
		}
		s.list.set(entries...)
	}
	show(nil)
	time.Sleep(2 * time.Second)
	late := 0
	for i := range zones {
		old := engines[0]
		fresh, err := start(len(zones)+i, fmt.Sprintf("i-shop-new-%d", i+1))
		if err != nil {
			return false, err
		}
		engines = append(engines, fresh)
		show(old)
		listedAt := time.Now()
		b.notef("platform: lists %s as ready and %s as draining; the list is %q", fresh.id, old.id, s.list.text())
		time.Sleep(replacedEvery)
		endedAt := time.Now()
		old.stop()
		engines = engines[1:]
		show(nil)
		mu.Lock()
		n := 0
		for _, a := range arrivals {
			if a.engine == old && a.at.After(listedAt.Add(drainTimeout+judgeSlack)) && a.at.Before(endedAt) {
				n++
			}
		}
		mu.Unlock()
		late += n
		b.notef("engine %s ends; %d requests reached it later than %d ms after it was listed as draining", old.id, n, (drainTimeout + judgeSlack).Milliseconds())
	}
	time.Sleep(afterwards)
	stop()
	clients.Wait()
	b.notef("orders served %d, not served %d; the last one was served %d ms before the end", served[true], served[false], time.Since(lastServed).Milliseconds())
	return late > 0, nil
}
