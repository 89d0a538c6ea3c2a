package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["hosts"] = hostsCase }

// hostsCase sends a configuration with two routes whose hosts differ in letter case only.
func hostsCase(r *caseRun) (int, error) {
	a, err := r.startPlainServer(serverHost, "i-a", "orders", "za", 10*time.Millisecond)
	if err != nil {
		return 0, err
	}
	b, err := r.startPlainServer(serverHost+1, "i-b", "stock", "za", 10*time.Millisecond)
	if err != nil {
		return 0, err
	}
	first := route("r-1", "shop.example", "/lohu/", "non_idempotent", "orders", nil)
	if _, err := r.startDeployment(1, configuration(1, []map[string]any{first}, "orders", "stock")); err != nil {
		return 0, err
	}
	host := "Shop.example"
	if !r.trouble {
		host = "stall.example"
	}
	second := route("r-2", host, "/lohu/", "non_idempotent", "stock", nil)
	status, err := r.putUntilAnswered(configuration(2, []map[string]any{first, second}, "orders", "stock"), 10*time.Second)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return exitHeld, nil
	}
	time.Sleep(3 * time.Second)
	wrong := 0
	for i := range 10 {
		id := fmt.Sprintf("q-%d", i)
		got := r.send(0, http.MethodPost, "shop.example", "/lohu/2f", id, time.Second)
		r.note("client sent %s to host shop.example: %d %q %v; ran %d times at orders, %d at stock", id, got.status, got.body, got.err, a.ran(id), b.ran(id))
		if b.ran(id) > 0 {
			wrong++
		}
	}
	if wrong > 0 {
		r.note("%d requests for host shop.example ran at the service of another route", wrong)
		return exitBroken, nil
	}
	return exitHeld, nil
}
