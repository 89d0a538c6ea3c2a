// Package matcher finds the route of an opaque request: the route of the request's host
// with the longest path prefix.
package matcher

import (
	"math/rand/v2"
	"strings"

	"github.com/figseam/figseam"
)

// Index finds the routes of one table. It is immutable and safe for concurrent use.
type Index struct {
	table  *figseam.Table
	byHost map[string]map[string]*figseam.HostRoute
	ranks  map[string]ranking
}

// New returns an index of a table.
func New(table *figseam.Table) *Index {
	x := &Index{table: table, byHost: map[string]map[string]*figseam.HostRoute{}}
	for i := range table.Routes {
		r := &table.Routes[i]
		host := strings.ToLower(r.Host)
		if x.byHost[host] == nil {
			x.byHost[host] = map[string]*figseam.HostRoute{}
		}
		x.byHost[host][r.PathPrefix] = r
	}
	x.ranks = rankRequests(table)
	return x
}

// Table returns the table for which the index was built.
func (x *Index) Table() *figseam.Table { return x.table }

// Find returns the route of a host and path. Hosts are compared without regard to case,
// first with the port and then without it. Path prefixes end with a slash, so only the
// whole path and its prefixes that end with a slash are looked up.
func (x *Index) Find(host, path string) (*figseam.HostRoute, bool) {
	routes, ok := x.byHost[strings.ToLower(host)]
	if !ok {
		routes, ok = x.byHost[withoutPort(strings.ToLower(host))]
	}
	if !ok {
		return nil, false
	}
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if r, ok := routes[path[:end]]; ok {
			return r, true
		}
	}
	return nil, false
}

// PickService returns a random service of the route in proportion to the weights; empty
// if no weight is positive.
func PickService(r *figseam.HostRoute) string {
	total := 0
	for _, w := range r.WeightedServices {
		total += w.Weight
	}
	if total <= 0 {
		return ""
	}
	offset := rand.IntN(total)
	for _, w := range r.WeightedServices {
		if offset < w.Weight {
			return w.Service
		}
		offset -= w.Weight
	}
	return ""
}

func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		return host[:i]
	}
	return host
}
