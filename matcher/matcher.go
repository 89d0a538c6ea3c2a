// Package matcher finds the route of an opaque request: the route of the request's host
// with the longest path prefix.
//
// Two routes conflict if a request cannot tell them apart. [New] detects that by the same
// lookup with which [Index.Find] finds a route, so that a configuration cannot be valid
// by one comparison of hosts and be served by another.
package matcher

import (
	"math/rand/v2"
	"strings"

	"github.com/figseam/figseam"
)

// Index finds the routes of one table. It is immutable and safe for concurrent use.
type Index struct {
	table     *figseam.Table
	byHost    map[string]map[string]*figseam.HostRoute
	ranks     map[string]ranking
	conflicts []Conflict
}

// Conflict is a pair of routes of one table with the same host and path prefix.
type Conflict struct {
	// Hidden precedes Found in the table. [Index.Find] never returns it.
	Hidden, Found *figseam.HostRoute
}

// New returns an index of a table. Of two routes that conflict, it finds the later one.
func New(table *figseam.Table) *Index {
	x := &Index{table: table, byHost: map[string]map[string]*figseam.HostRoute{}}
	for i := range table.Routes {
		x.add(&table.Routes[i])
	}
	x.ranks = rankRequests(table)
	return x
}

// add enters a route under its host and prefix.
func (x *Index) add(r *figseam.HostRoute) {
	key := hostKey(r.Host)
	if x.byHost[key] == nil {
		x.byHost[key] = map[string]*figseam.HostRoute{}
	}
	if other, ok := x.byHost[key][r.PathPrefix]; ok {
		x.conflicts = append(x.conflicts, Conflict{Hidden: other, Found: r})
	}
	x.byHost[key][r.PathPrefix] = r
}

// Table returns the table for which the index was built.
func (x *Index) Table() *figseam.Table { return x.table }

// Conflicts returns the pairs of routes between which requests cannot choose, in the order
// of the table.
func (x *Index) Conflicts() []Conflict { return x.conflicts }

// Find returns the route of a host and path. The host is looked up by its key first with
// the port and then without it. Paths are compared byte by byte, as they are sent on: a
// percent-encoded letter differs from the letter. Path prefixes end with a slash, so only the
// whole path and its prefixes that end with a slash are looked up.
func (x *Index) Find(host, path string) (*figseam.HostRoute, bool) {
	key := hostKey(host)
	routes, ok := x.byHost[key]
	if !ok {
		name, _ := splitPort(key)
		routes, ok = x.byHost[name]
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
