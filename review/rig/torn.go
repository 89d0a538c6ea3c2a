package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["torn"] = tornCase }

const (
	// contactWindow is contact_window_ms, drainTimeout drain_timeout_ms and listLag max_lag_ms of
	// the deployment.
	contactWindow = 3 * time.Second
	drainTimeout  = 3 * time.Second
	listLag       = 800 * time.Millisecond
	// serveAfterDrain is the time for which a server that leaves goes on serving: drain_timeout_ms
	// and a little longer.
	serveAfterDrain = 6 * time.Second
	// releaseGap is the time between the replacements of two servers.
	releaseGap = 2 * time.Second
	// deskWork is the time that an order takes.
	deskWork = 150 * time.Millisecond
)

// order is a request of a client with its answer.
type order struct {
	id     string
	sentAt time.Time
	got    answer
}

// tornCase replaces the three servers of a service one after the other while the list holds an
// entry that is cut short.
func tornCase(r *caseRun) (int, error) {
	servers := map[string]*plainServer{}
	start := func(i int) error {
		id := fmt.Sprintf("i-%d", i)
		s, err := r.startPlainServer(serverHost+i, id, "desk", "za", deskWork)
		servers[id] = s
		return err
	}
	for i := range 3 {
		if err := start(i); err != nil {
			return 0, err
		}
	}
	config := configuration(1, []map[string]any{route("r-1", "shop.example", "/lohu/", "non_idempotent", "desk", nil)}, "desk")
	if _, err := r.startDeployment(2, config); err != nil {
		return 0, err
	}
	time.Sleep(contactWindow + time.Second)
	stop := make(chan struct{})
	orders := r.sendOrders(stop)
	time.Sleep(2 * time.Second)
	if r.trouble {
		torn := `{"service":"desk","address":"` + r.address(serverHost+9, serverPort) + `","zone":"za","version":"v1","slots":6`
		r.setTorn(torn)
		r.note("the list holds an entry that is cut short: %s", torn)
	}
	time.Sleep(2 * time.Second)
	shownAt := map[string]time.Time{}
	var ends sync.WaitGroup
	for i := range 3 {
		if err := start(i + 3); err != nil {
			return 0, err
		}
		id := fmt.Sprintf("i-%d", i)
		r.relist(id, "draining")
		shownAt[id] = time.Now()
		r.note("the list shows i-%d as ready and %s as draining", i+3, id)
		ends.Go(func() {
			time.Sleep(serveAfterDrain)
			r.note("%s ends with %d orders at work", id, servers[id].working())
			servers[id].stop()
			r.relist(id, "")
		})
		time.Sleep(releaseGap)
	}
	ends.Wait()
	allGone := time.Now()
	time.Sleep(3 * time.Second)
	close(stop)
	late, lost, unserved := 0, 0, 0
	for _, o := range <-orders {
		at := "no server"
		for id, s := range servers {
			if s.ran(o.id) == 0 {
				continue
			}
			at = id
			if shown, ok := shownAt[id]; ok && o.sentAt.Sub(shown) > drainTimeout+listLag {
				at = fmt.Sprintf("%s, shown as draining %.3f s before", id, o.sentAt.Sub(shown).Seconds())
				late++
			}
		}
		if at != "no server" && o.got.status != http.StatusOK {
			lost++
		}
		if o.sentAt.After(allGone) && o.got.status != http.StatusOK {
			unserved++
		}
		r.note("client sent %s at %.3f s: run by %s; answer %d %v", o.id, o.sentAt.Sub(r.began).Seconds(), at, o.got.status, o.got.err)
	}
	r.note("%d orders reached a server later than %v after the list showed it as draining", late, drainTimeout+listLag)
	r.note("%d orders had run and got no success; %d orders were not served after the old servers had ended, with three new ones ready", lost, unserved)
	if late > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// sendOrders sends 20 orders a second to two entries in turn until stop is closed, and then
// returns them.
func (r *caseRun) sendOrders(stop <-chan struct{}) <-chan []order {
	done := make(chan []order, 1)
	go func() {
		var (
			mu  sync.Mutex
			all []order
			wg  sync.WaitGroup
		)
		ticker := time.NewTicker(50 * time.Millisecond)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				wg.Wait()
				done <- all
				return
			case <-ticker.C:
			}
			wg.Go(func() {
				o := order{id: fmt.Sprintf("q-%d", i), sentAt: time.Now()}
				o.got = r.send(i%2, http.MethodPost, "shop.example", "/lohu/2f", o.id, time.Second)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, o)
			})
		}
	}()
	return done
}
