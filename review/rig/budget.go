package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["budget"] = budgetCase }

const (
	// The bounds of the deployment: retry_budget_ratio, budget_slack and budget_window_s.
	retryRatio   = 0.2
	retrySlack   = 56
	retryWindow  = 10 * time.Second
	budgetRate   = 30
	budgetFronts = 8
	// ordinaryFailures is the share of requests that fail on a calm day, greyFailures that of the
	// other requests while the servers are grey.
	ordinaryFailures = 0.14
	greyFailures     = 0.45
	greyTime         = 13 * time.Second
	// settleTime is the time from the start to the trouble.
	settleTime = 30 * time.Second
)

// arrivals records when requests were sent and when they arrived at servers.
type arrivals struct {
	mu      sync.Mutex
	sent    []time.Time
	arrived map[string]int
	extra   []time.Time
}

// budgetCase has all servers of a service fail a part of their requests.
func budgetCase(r *caseRun) (int, error) {
	var grey atomic.Bool
	a := &arrivals{arrived: map[string]int{}}
	for i := range 3 {
		if err := r.startGreyServer(serverHost+i, fmt.Sprintf("i-%d", i), &grey, a); err != nil {
			return 0, err
		}
	}
	config := configuration(1, []map[string]any{route("r-1", "shop.example", "/lohu/", "idempotent", "desk", map[string]any{"max_attempts": 2})}, "desk")
	if _, err := r.startZones([]string{"za", "zb", "zc", "zd"}, budgetFronts, config); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	go func() {
		ticker := time.NewTicker(time.Second / budgetRate)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			a.mu.Lock()
			a.sent = append(a.sent, time.Now())
			a.mu.Unlock()
			go func() {
				id := fmt.Sprintf("q-%d", i)
				got := r.send(i%budgetFronts, http.MethodGet, "shop.example", "/lohu/2f", id, time.Second)
				r.note("client sent %s to front-%d: %d %v", id, i%budgetFronts, got.status, got.err)
			}()
		}
	}()
	time.Sleep(settleTime)
	if r.trouble {
		grey.Store(true)
		r.note("the servers fail %.2f of their requests", greyFailures)
	}
	time.Sleep(greyTime)
	grey.Store(false)
	r.note("the servers are sound again")
	time.Sleep(retryWindow / 2)
	close(stop)
	time.Sleep(time.Second)
	return a.judge(r), nil
}

// judge compares the arrivals beyond the first with the limit in each window.
func (a *arrivals) judge(r *caseRun) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := func(times []time.Time, from time.Time) int {
		n := 0
		for _, t := range times {
			if !t.Before(from) && t.Before(from.Add(retryWindow)) {
				n++
			}
		}
		return n
	}
	slices.SortFunc(a.extra, time.Time.Compare)
	worst, worstLimit, worstAt := 0, 0.0, time.Time{}
	broken := 0
	for _, from := range a.extra {
		requests := max(count(a.sent, from), count(a.sent, from.Add(-retryWindow)), count(a.sent, from.Add(-retryWindow/2)))
		limit := retryRatio*float64(requests) + retrySlack
		extra := count(a.extra, from)
		if float64(extra) > limit {
			broken++
		}
		if worstAt.IsZero() || float64(extra)-limit > float64(worst)-worstLimit {
			worst, worstLimit, worstAt = extra, limit, from
		}
	}
	if worstAt.IsZero() {
		return exitHeld
	}
	r.note("in the window from %.3f s, %d arrivals beyond the first of a request; the limit is %.1f; windows over the limit: %d", worstAt.Sub(r.began).Seconds(), worst, worstLimit, broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// startGreyServer starts a server that fails a part of its requests and lists it.
func (r *caseRun) startGreyServer(host int, id string, grey *atomic.Bool, a *arrivals) error {
	l, err := net.Listen("tcp", r.address(host, serverPort))
	if err != nil {
		return err
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("X-Figseam-Server-Load", "1,0,6")
		request := q.Header.Get("X-Figseam-Request-Id")
		if request == "" {
			return
		}
		a.mu.Lock()
		a.arrived[request]++
		if a.arrived[request] > 1 {
			a.extra = append(a.extra, time.Now())
		}
		a.mu.Unlock()
		time.Sleep(30 * time.Millisecond)
		w.Header().Set("X-Figseam-Request-Id", request)
		w.Header().Set("X-Figseam-Response-Signature", "sig-"+request)
		failed := rand.Float64() < ordinaryFailures || (grey.Load() && rand.Float64() < greyFailures)
		r.note("server %s runs %s, fails it: %v", id, request, failed)
		if failed {
			w.WriteHeader(http.StatusInternalServerError)
		}
		_, _ = io.WriteString(w, "answer\n")
	})
	go func() { _ = (&http.Server{Handler: handler}).Serve(l) }()
	r.list(id, "desk", r.address(host, serverPort), "za", "", 6)
	return nil
}
