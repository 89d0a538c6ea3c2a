package relayer

import (
	"net/http"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/queuer"
)

// identify finds the account of the request by its API key. If it reports false, it has
// refused the request: before the body is read, since nothing of the request is used.
func (t *task) identify(table *figseam.Table) bool {
	if !table.RequiresAccounts() {
		return true
	}
	t.key = figseam.DigestKey(t.request.Credential)
	t.account = table.Keys[t.key]
	if t.account == nil && !t.route.Public {
		t.refuse(http.StatusUnauthorized, explainer.KeyRejected)
		return false
	}
	t.request = t.Codec.WithAccount(t.request, t.accountName())
	return true
}

// takeQuota takes the request from the quota of its account. If it reports false, it has
// refused the request.
func (t *task) takeQuota() bool {
	if t.account == nil || t.account.Quota == nil {
		return true
	}
	claim, retryMillis, ok := t.Quotas.Take(t.account, t.account.Quota.Cost(t.request.Prompt), t.contended())
	if !ok {
		t.retryAfterMillis = retryMillis
		t.refuse(http.StatusTooManyRequests, explainer.AccountLimitExceeded)
		return false
	}
	t.claim = claim
	return true
}

// contentionShare is the share of a route's latency target from which on the expected wait
// for an engine counts as contention.
const contentionShare = 0.25

// contended reports whether the request would take engines from others that wait for them, here
// or at other instances.
func (t *task) contended() bool {
	if !t.route.IsModelRoute {
		return false
	}
	load, engines := t.decodeLoad(t.queues.forService(t.service))
	startBy := t.began.Add(time.Duration(t.route.LatencyTargetMillis) * time.Millisecond)
	wait := queuer.ExpectedWaitMillis(load, t.expectedTokens(), t.began, startBy)
	return engines > 0 && wait > contentionShare*float64(t.route.LatencyTargetMillis)
}

// returnUnused returns what the request took from the quota of its account, unless it may have
// run.
func (t *task) returnUnused() {
	if !t.mayHaveRun {
		t.Quotas.Return(t.claim)
	}
}

// accountName returns the name of the request's account; empty for none.
func (t *task) accountName() figseam.Account {
	if t.account == nil {
		return ""
	}
	return t.account.Name
}

// accountPriority returns the priority of the request's account; that of the most urgent
// accounts if there is none.
func (t *task) accountPriority() int {
	if t.account == nil {
		return 0
	}
	return t.account.Priority
}

// keyWithdrawn reports whether the request's API key was withdrawn, or given to another
// account, since the request was admitted. A request that may have run keeps its account.
func (t *task) keyWithdrawn() bool {
	if t.account == nil || t.route.Public || t.mayHaveRun {
		return false
	}
	table := t.index.Load().Table()
	if table.Version == t.version || !table.RequiresAccounts() {
		return false
	}
	holder := table.Keys[t.key]
	return holder == nil || holder.Name != t.account.Name
}
