package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["12"] = manyFields }

// The crowd and the ordinary callers of the case.
const (
	crowdConnections = 250
	crowdTime        = 25 * time.Second
	ordinaryCallers  = 10
	ordinaryEvery    = 300 * time.Millisecond
	ordinaryTimeout  = 800 * time.Millisecond
	leastTrying      = 7
	// crowdRecorded is the number of channels of the crowd that stand in the record.
	crowdRecorded = 1000
)

// crowdFields are the numbers of fields of the crowd's heads. The longest head stays below
// max_header_bytes.
var crowdFields = []int{2200, 2200, 2200, 700, 200, 60, 20, 6, 0, 0}

// attempt is an attempt of an ordinary caller on a channel of its own.
type attempt struct {
	caller   int
	at       time.Time
	answered bool
}

// manyFields has a small crowd send requests of legal size whose heads consist of short fields and
// whose bodies stop short of their end, to one entry, beside ordinary callers of it.
func manyFields(r *recorder, trouble bool) (bool, error) {
	const kvTokens = 57728
	d, err := newDeployment(shape{voters: 3, entries: 2, entryMemory: 134, voterMemory: 280, prefillers: 2, decoders: 4, serviceEndpoints: 3, kvTokens: kvTokens}, r)
	if err != nil {
		return false, err
	}
	defer d.end()
	if err := d.start(configuration(1, kvTokens)); err != nil {
		return false, err
	}
	target := d.entries[0]
	var (
		mu       sync.Mutex
		attempts []attempt
		notReady int
		tasks    sync.WaitGroup
		crowdEnd = time.Now().Add(5*time.Second + crowdTime)
		end      = crowdEnd.Add(6 * time.Second)
		opened   atomic.Int64
	)
	for caller := range ordinaryCallers {
		tasks.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				began := time.Now()
				id := newID("50")
				o := d.call(target, id, "GET", "/status/x", "", ordinaryTimeout)
				mu.Lock()
				attempts = append(attempts, attempt{caller: caller, at: began, answered: o.status != 0})
				mu.Unlock()
				r.add("client", "caller %d %s: status %d, %v, %d ms", caller, id, o.status, o.err, o.took.Milliseconds())
				time.Sleep(time.Until(began.Add(ordinaryEvery)))
			}
		})
	}
	tasks.Go(func() {
		for ; time.Now().Before(end); time.Sleep(time.Second) {
			if !d.ready(target) {
				mu.Lock()
				notReady++
				mu.Unlock()
			}
		}
	})
	time.Sleep(5 * time.Second)
	crowdAt := time.Now()
	if trouble {
		for n := range number(os.Getenv("CROWD"), crowdConnections) {
			tasks.Go(func() {
				for time.Now().Before(crowdEnd) {
					fields, began := crowdFields[n%len(crowdFields)], time.Now()
					d.stopShort(target, fields, crowdEnd)
					if opened.Add(1) <= crowdRecorded {
						r.add("crowd", "a channel with %d fields and a body short of its last byte was closed after %d ms", fields, time.Since(began).Milliseconds())
					}
					time.Sleep(time.Duration(number(os.Getenv("PAUSE"), 100)) * time.Millisecond)
				}
			})
		}
	}
	tasks.Wait()
	now, peak := residentMegabytes(target.pid())
	r.say("%s: %.0f MB, %.0f MB at its peak, ended by itself %d times, not ready %d times; the crowd opened %d channels", target.name, now, peak, target.unwantedExits(), notReady, opened.Load())
	return judgeChannels(r, attempts, crowdAt, crowdEnd, notReady), nil
}

// stopShort sends a head of short fields and a body but for its last byte, and keeps the channel
// open until the entry closes it.
func (d *deployment) stopShort(p *process, fields int, end time.Time) {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", p.ip, callerPort), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(end)
	var b strings.Builder
	fmt.Fprintf(&b, "POST /order/x HTTP/1.1\r\nHost: %s\r\nX-Figseam-Request-Id: %s\r\nContent-Length: 10\r\n", host, newID("c0"))
	for i := range fields {
		fmt.Fprintf(&b, "a%x:\r\n", i)
	}
	b.WriteString("\r\n123456789")
	if b.Len() > 16384 {
		panic("the head is longer than max_header_bytes")
	}
	if _, err := io.WriteString(c, b.String()); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c)
}

// judgeChannels looks for a contact window in which the ready entry answered nobody on a new
// channel although enough callers tried.
func judgeChannels(r *recorder, attempts []attempt, from, to time.Time, notReady int) bool {
	answered, of := 0, 0
	for _, a := range attempts {
		if a.at.After(from) && a.at.Before(to) {
			of++
			if a.answered {
				answered++
			}
		}
	}
	r.say("beside the crowd: %d of %d attempts of ordinary callers on new channels were answered", answered, of)
	longest, callers := time.Duration(0), 0
	for _, first := range attempts {
		if first.answered {
			continue
		}
		next := to
		trying := map[int]bool{}
		for _, a := range attempts {
			if a.answered && a.at.After(first.at) && a.at.Before(next) {
				next = a.at
			}
		}
		for _, a := range attempts {
			if !a.at.Before(first.at) && a.at.Before(next) {
				trying[a.caller] = true
			}
		}
		if span := next.Sub(first.at); span > longest {
			longest, callers = span, len(trying)
		}
	}
	r.say("RECOVER: the longest time without an answer on a new channel was %.1f s, in which %d callers tried; not ready %d times", longest.Seconds(), callers, notReady)
	return longest >= contactWindow && callers >= leastTrying && notReady == 0
}
