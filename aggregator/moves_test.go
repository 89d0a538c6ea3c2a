package aggregator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/aggregator"
)

// exchangeInterval is the interval of the exchange between instances and voters.
const exchangeInterval = 50 * time.Millisecond

// voterPair is two voters that send each other their sums.
type voterPair struct {
	stores  [2]*aggregator.Store
	senders [2]*aggregator.PeerSender
	stopped [2]bool
}

func newVoterPair() *voterPair {
	p := &voterPair{}
	p.restart(0)
	p.restart(1)
	return p
}

func (p *voterPair) restart(v int) {
	p.stores[v] = aggregator.New()
	p.senders[v], p.stopped[v] = aggregator.NewPeerSender(p.stores[v].Epoch()), false
}

func voterName(v int) figseam.InstanceID { return figseam.InstanceID([]string{"v0", "v1"}[v]) }

func (p *voterPair) share() {
	for v := range p.stores {
		if p.stopped[v] {
			continue
		}
		message, changesOnly, send := p.senders[v].Next(voterName(v), p.stores[v].LocalSum())
		switch {
		case !send || p.stopped[1-v]:
		case changesOnly:
			p.stores[1-v].MergePeerChanges(message)
		default:
			p.stores[1-v].MergePeer(message)
		}
	}
}

// movingInstance reports 100 tokens to one voter at a time.
type movingInstance struct {
	voter int
	log   aggregator.ReportLog
}

func (i *movingInstance) report(p *voterPair) {
	load := newLoad(100)
	sum := p.stores[i.voter].ExchangeReport(aggregator.Report{Instance: "moving", Load: load, Earlier: i.log.Earlier(voterName(i.voter))})
	i.log.Record(voterName(i.voter), sum.Epoch, load)
}

// run exchanges loads for a time. It returns the number of exchanges in which the sum at the
// instance's voter was too low, and in which it was too high.
func (p *voterPair) run(i *movingInstance, duration time.Duration) (low, high int) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(exchangeInterval) {
		i.report(p)
		p.share()
		switch tokens := p.stores[i.voter].Total().EndpointUsage("e").MemoryTokens; {
		case tokens < 100:
			low++
		case tokens > 100:
			high++
		}
	}
	return low, high
}

// maxWrongSums is the number of exchanges until both voters know that a report has expired.
const maxWrongSums = 3

// TestInstanceThatChangesItsVoterCountsOnce guards against load that is counted at two voters
// until the older report has expired: engines seemed full, and requests were refused.
func TestInstanceThatChangesItsVoterCountsOnce(t *testing.T) {
	tests := []struct {
		name   string
		change func(p *voterPair, i *movingInstance)
	}{
		{"to the other voter", func(_ *voterPair, i *movingInstance) { i.voter = 1 }},
		{"since its voter stopped", func(p *voterPair, i *movingInstance) { i.voter, p.stopped[0] = 1, true }},
		{"and back", func(p *voterPair, i *movingInstance) {
			i.voter = 1
			p.run(i, 300*time.Millisecond)
			i.voter = 0
		}},
		{"since its voter started anew", func(p *voterPair, i *movingInstance) {
			p.restart(0)
			p.share()
			i.voter = 1
		}},
		{"whose voter starts anew afterwards", func(p *voterPair, i *movingInstance) {
			i.voter = 1
			p.run(i, 300*time.Millisecond)
			p.restart(0)
			p.share()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, i := newVoterPair(), &movingInstance{}
				p.run(i, time.Second)
				tt.change(p, i)
				low, high := p.run(i, 4*time.Second)
				require.LessOrEqual(t, low, maxWrongSums)
				require.LessOrEqual(t, high, maxWrongSums)
			})
		})
	}
}
