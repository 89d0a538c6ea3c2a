package connector

import (
	"hash/maphash"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// defaultIdleTimeoutMillis applies to endpoints that send no Keep-Alive timeout.
	defaultIdleTimeoutMillis = 4000
	// idleTimeoutShare is the fraction of the endpoint's Keep-Alive timeout during which
	// an idle connection may be reused.
	idleTimeoutShare  = 0.7
	maxIdlePerAddress = 16
	// maxRequestsPerConnection bounds the requests with an ID on one connection, which remembers
	// their IDs.
	maxRequestsPerConnection = 512
)

// idleKey identifies the idle connections that a request may use.
type idleKey struct {
	address string
	// matched is true for requests with an ID.
	matched bool
}

func (r Request) idleKey() idleKey { return idleKey{address: r.Address, matched: r.IDHeader != ""} }

// needsNewConnection reports whether the request must not use a kept connection. Responses to
// requests with an empty ID cannot be distinguished.
func (r Request) needsNewConnection() bool { return r.SingleUse || (r.IDHeader != "" && r.ID == "") }

// popIdle returns an idle connection that the request may use, or nil, and closes those that no
// request can use any more.
func (x *exchange) popIdle() *conn {
	if x.request.needsNewConnection() {
		return nil
	}
	for {
		k := x.connector.popNewest(x.request)
		if k == nil {
			return nil
		}
		if time.Now().Before(k.idleDeadline) && k.reader.Buffered() == 0 && stateOf(k.Conn) == socketQuiet {
			return k
		}
		k.drop()
	}
}

// popNewest returns the idle connection that a request may use and that was used last, or
// nil. A request with an ID may also use a connection without one: it can tell the
// responses apart. That a connection has just carried a reservation shows that it works.
func (c *Connector) popNewest(r Request) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := r.idleKey()
	i := c.newestWithout(key, r.ID)
	if key.matched {
		unmatched := idleKey{address: key.address}
		j := c.newestWithout(unmatched, r.ID)
		if j >= 0 && (i < 0 || c.idle[unmatched][j].idleDeadline.After(c.idle[key][i].idleDeadline)) {
			key, i = unmatched, j
		}
	}
	if i < 0 {
		return nil
	}
	k := c.idle[key][i]
	c.idle[key] = slices.Delete(c.idle[key], i, i+1)
	return k
}

// newestWithout returns the index of the connection that was used last and did not carry an ID,
// or -1. The caller holds mu.
func (c *Connector) newestWithout(key idleKey, id string) int {
	all := c.idle[key]
	for i := len(all) - 1; i >= 0; i-- {
		if !key.matched || !slices.Contains(all[i].carried, hashID(id)) {
			return i
		}
	}
	return -1
}

// idSeed is the seed of the hashes of IDs. Two IDs with the same hash only cost a connection.
var idSeed = maphash.MakeSeed()

func hashID(id string) uint64 { return maphash.String(idSeed, id) }

// idleTimeout returns the longest time for which a connection may be idle and still be
// reused. It is shorter than the endpoint's own timeout, so that no request is sent on a
// connection that the endpoint is closing.
func idleTimeout(keepAlive string) time.Duration {
	for field := range strings.SplitSeq(keepAlive, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseFloat(value, 64); err == nil {
			return time.Duration(seconds * idleTimeoutShare * float64(time.Second))
		}
	}
	return defaultIdleTimeoutMillis * time.Millisecond
}

// mayKeep reports whether another request may use the connection, provided that the exchange
// ended well.
func (x *exchange) mayKeep() bool {
	return !x.request.needsNewConnection() && len(x.conn.carried) < maxRequestsPerConnection &&
		(x.connector.keepsRefusing || x.accepted())
}

// accepted reports whether the response is a success.
func (x *exchange) accepted() bool {
	return x.status >= http.StatusOK && x.status < http.StatusMultipleChoices
}

// pushIdle keeps a connection for further requests, unless there are enough to its address or a
// request waits for its place.
func (c *Connector) pushIdle(key idleKey, k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[key]) >= c.maxIdlePerAddress || c.waiting.Load() > 0 {
		_ = k.Close()
		return
	}
	c.idle[key] = append(c.idle[key], k)
}

// CloseIdle closes the idle connections whose timeout has passed, those to addresses for which
// keep returns false, and those on which a late response has arrived.
func (c *Connector) CloseIdle(keep func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for key, all := range c.idle {
		keepAddress := keep(key.address)
		kept := all[:0]
		for _, k := range all {
			if keepAddress && now.Before(k.idleDeadline) && !k.hasLate() {
				kept = append(kept, k)
				continue
			}
			k.drop()
		}
		if len(kept) == 0 {
			delete(c.idle, key)
			continue
		}
		c.idle[key] = kept
	}
}
