package matcher

import (
	"cmp"
	"slices"

	"github.com/figseam/figseam"
)

// priorities are the priorities of a request's account and of its route.
type priorities struct{ account, route int }

// ranking holds the priorities of all requests for the engines of a service, the most urgent
// first. The position of a request's priorities is its rank.
type ranking []priorities

// rankRequests returns the rankings of all services with model routes.
func rankRequests(t *figseam.Table) map[string]ranking {
	accounts := map[int]bool{}
	for _, a := range t.Accounts {
		accounts[a.Priority] = true
	}
	if len(accounts) == 0 {
		accounts[0] = true
	}
	all := map[string]ranking{}
	for _, r := range t.Routes {
		if !r.IsModelRoute {
			continue
		}
		for _, s := range r.WeightedServices {
			for account := range accounts {
				all[s.Service] = append(all[s.Service], priorities{account: account, route: r.Priority})
			}
		}
	}
	for service, list := range all {
		slices.SortFunc(list, func(a, b priorities) int {
			return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.route, b.route))
		})
		all[service] = slices.Compact(list)
	}
	return all
}

// Rank returns the rank of a request among the requests for the engines of a service: 0 for the
// most urgent ones. All instances with the same table return the same rank.
func (x *Index) Rank(service string, accountPriority, routePriority int) int {
	return max(0, slices.Index(x.ranks[service], priorities{account: accountPriority, route: routePriority}))
}

// RankCount returns the number of ranks of a service.
func (x *Index) RankCount(service string) int { return len(x.ranks[service]) }
