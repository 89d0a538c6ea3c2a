package distributor

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/recoverer"
)

const (
	// callTimeoutMillis bounds a request to a voter, in addition to longPollMillis.
	callTimeoutMillis = 400
	// minRetryDelayMillis is the shortest delay after a failed request; the longest is
	// twice as long.
	minRetryDelayMillis = 50
	// localRetryIntervalMillis is the interval at which a subscriber of a voter in another
	// data centre tries one in its own.
	localRetryIntervalMillis = 5000
	// subscriberReportIntervalMillis is the interval at which a voter reports its
	// subscribers to the leader.
	subscriberReportIntervalMillis = 2000
)

// CallFunc sends a request to a voter.
type CallFunc func(ctx context.Context, to figseam.InstanceID, r PollRequest) (PollReply, error)

// Subscriber keeps an instance up to date by polling voters. A voter has a subscriber too,
// which polls the leader for the list of endpoints.
type Subscriber struct {
	self PollRequest
	call CallFunc
	// seeds returns the voters that are polled before others are known. For a voter it
	// returns the leader.
	seeds func() []figseam.InstanceID
	// held returns the configuration version and the list digest that this instance has.
	held func() (version, digest uint64)
	// onReply is called with every reply.
	onReply func(PollReply)
	// subscribers returns the subscribers of this instance. It is nil unless the instance
	// is a voter.
	subscribers func() []figseam.InstanceID
	log         zerolog.Logger

	// The fields below are used by the goroutine of Run only.
	voters []Voter
	// dataCentres holds the known data centres of voters.
	dataCentres map[figseam.InstanceID]figseam.DataCentre
	// polledContent holds the content for which voters without a quorum were polled.
	polledContent    map[figseam.InstanceID]content
	current          figseam.InstanceID
	currentIsLocal   bool
	connected        bool
	nextReportAt     time.Time
	nextLocalRetryAt time.Time

	// publishedCurrent is a copy of current for concurrent calls of CurrentVoter.
	publishedCurrent atomic.Pointer[figseam.InstanceID]
	// localVoter is the voter of this data centre that last replied without a quorum, nil
	// for none.
	localVoter atomic.Pointer[figseam.InstanceID]
}

// NewSubscriber returns a subscriber. self describes this instance; seeds returns the
// voters that are polled before others are known, or for a voter the leader; held returns
// the configuration version and the list digest that the instance has; onReply is called
// with every reply; subscribers returns the instance's own subscribers and may be nil.
func NewSubscriber(self PollRequest, call CallFunc, seeds func() []figseam.InstanceID, held func() (version, digest uint64),
	onReply func(PollReply), subscribers func() []figseam.InstanceID, log zerolog.Logger,
) *Subscriber {
	return &Subscriber{
		self: self, call: call, seeds: seeds, held: held, onReply: onReply, subscribers: subscribers, log: log,
		dataCentres: map[figseam.InstanceID]figseam.DataCentre{}, polledContent: map[figseam.InstanceID]content{},
	}
}

// CurrentVoter returns the voter that is polled, empty for none.
func (f *Subscriber) CurrentVoter() figseam.InstanceID {
	if id := f.publishedCurrent.Load(); id != nil {
		return *id
	}
	return ""
}

// ReportVoter returns the voter to which this instance reports what it shares with others:
// the voter that is polled, or without one a voter of its data centre, which may have no
// quorum; empty for none.
func (f *Subscriber) ReportVoter() figseam.InstanceID {
	if id := f.CurrentVoter(); id != "" {
		return id
	}
	if id := f.localVoter.Load(); id != nil {
		return *id
	}
	return ""
}

// Run polls until ctx ends. It returns a channel that is closed when polling has ended.
func (f *Subscriber) Run(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			err := recoverer.Call(f.log, "poll of a voter", func() error {
				f.step(ctx)
				return nil
			})
			if err != nil {
				f.waitBeforeRetry(ctx)
			}
		}
	}()
	return ended
}

// step polls the selected voter once, or searches for one.
func (f *Subscriber) step(ctx context.Context) {
	to := f.selectVoter()
	if to == "" {
		if !f.searchVoters(ctx) {
			f.waitBeforeRetry(ctx)
		}
		return
	}
	reply, err := f.poll(ctx, to, f.newRequest())
	if err != nil || !reply.HasQuorum {
		f.clearCurrent(to, err)
	}
	if err != nil {
		f.waitBeforeRetry(ctx)
		return
	}
	f.applyReply(to, reply)
}

// selectVoter returns the voter to poll: for a voter the leader, otherwise the current
// voter. If that is in another data centre, selectVoter returns, at most once every
// localRetryIntervalMillis, a voter that is or may be in this data centre instead. It
// returns "" if there is no voter to poll.
func (f *Subscriber) selectVoter() figseam.InstanceID {
	if f.self.IsVoter {
		return f.leader()
	}
	if f.current == "" || f.currentIsLocal || time.Now().Before(f.nextLocalRetryAt) {
		return f.current
	}
	f.nextLocalRetryAt = time.Now().Add(localRetryIntervalMillis * time.Millisecond)
	for _, id := range f.candidates() {
		if dataCentre := f.dataCentres[id]; dataCentre == "" || dataCentre == f.self.DataCentre {
			return id
		}
	}
	return f.current
}

// searchVoters requests the status of all known voters concurrently, selects the first
// that replies with a quorum, and reports whether there was one. Only the status is
// requested: the configuration and the list of all voters at once could exceed the
// capacity of the link, so that no reply would arrive in time. A voter polls no other voter
// than the leader and does not search.
func (f *Subscriber) searchVoters(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	candidates := f.candidates()
	if f.self.IsVoter {
		candidates = nil
	}
	request := f.newRequest()
	request.StatusOnly = true
	results := make(chan searchResult, len(candidates))
	for _, to := range candidates {
		go func() {
			reply, err := f.poll(ctx, to, request)
			results <- searchResult{from: to, reply: reply, err: err}
		}()
	}
	for range candidates {
		r := <-results
		if r.err != nil {
			f.forgetLocalVoter(r.from)
			continue
		}
		f.applyReply(r.from, r.reply)
		if r.reply.HasQuorum {
			return true
		}
		if r.reply.DataCentre == f.self.DataCentre {
			f.localVoter.Store(&r.from)
		}
		f.pollWithoutQuorum(ctx, r)
	}
	return false
}

// forgetLocalVoter forgets a voter of this data centre that does not reply any more.
func (f *Subscriber) forgetLocalVoter(id figseam.InstanceID) {
	if local := f.localVoter.Load(); local != nil && *local == id {
		f.localVoter.Store(nil)
	}
}

// searchResult is the reply of one voter to a search.
type searchResult struct {
	from  figseam.InstanceID
	reply PollReply
	err   error
}

// content identifies what a voter can send.
type content struct {
	configVersion, listDigest uint64
}

// pollWithoutQuorum polls a voter that has no quorum if it has something that this instance
// lacks, once for each content: in a partitioned data centre it has the newest
// configuration that can be reached.
// Voters are polled one after the other, so that the same content is not sent by all.
func (f *Subscriber) pollWithoutQuorum(ctx context.Context, r searchResult) {
	version, digest := f.held()
	offered := content{configVersion: r.reply.ConfigVersion, listDigest: r.reply.List.Digest}
	held := offered.configVersion <= version && offered.listDigest == digest
	if held || f.polledContent[r.from] == offered {
		return
	}
	reply, err := f.poll(ctx, r.from, f.newRequest())
	if err != nil {
		f.log.Debug().Err(err).Str("keeper", string(r.from)).Msg("poll of a voter without a quorum failed")
		return
	}
	f.polledContent[r.from] = offered
	f.applyReply(r.from, reply)
}

// applyReply passes a reply to onReply, records the voters that it names, and makes its
// sender the current voter if the sender has a quorum.
func (f *Subscriber) applyReply(from figseam.InstanceID, reply PollReply) {
	f.onReply(reply)
	if len(reply.Voters) > 0 {
		f.voters = reply.Voters
	}
	for _, v := range reply.Voters {
		if v.DataCentre != "" {
			f.dataCentres[v.Instance] = v.DataCentre
		}
	}
	f.dataCentres[from] = reply.DataCentre
	if reply.HasQuorum {
		f.setCurrent(from, reply)
	}
}

// leader returns the voter that a voter polls, empty if it is the leader itself.
func (f *Subscriber) leader() figseam.InstanceID {
	for _, id := range f.seeds() {
		if id != f.self.Instance {
			return id
		}
	}
	return ""
}

// candidates returns the known voters, then the seeds, without this instance.
func (f *Subscriber) candidates() []figseam.InstanceID {
	var all []figseam.InstanceID
	for _, v := range f.voters {
		if v.Instance != f.self.Instance {
			all = append(all, v.Instance)
		}
	}
	for _, id := range f.seeds() {
		if id != f.self.Instance && !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return all
}

// newRequest returns a request with the held versions and, at intervals, the subscribers.
func (f *Subscriber) newRequest() PollRequest {
	r := f.self
	r.AcceptsChanges = true
	r.ConfigVersion, r.ListDigest = f.held()
	if now := time.Now(); f.subscribers != nil && now.After(f.nextReportAt) {
		f.nextReportAt = now.Add(subscriberReportIntervalMillis * time.Millisecond)
		r.Subscribers = f.subscribers()
	}
	return r
}

func (f *Subscriber) poll(ctx context.Context, to figseam.InstanceID, r PollRequest) (PollReply, error) {
	ctx, cancel := context.WithTimeout(ctx, (longPollMillis+callTimeoutMillis)*time.Millisecond)
	defer cancel()
	return f.call(ctx, to, r)
}

func (f *Subscriber) setCurrent(id figseam.InstanceID, r PollReply) {
	if !f.connected {
		f.log.Info().Str("keeper", string(id)).Msg("keeper regained")
	}
	f.connected, f.current, f.currentIsLocal = true, id, r.DataCentre == f.self.DataCentre
	f.publishedCurrent.Store(&id)
}

// clearCurrent ends the subscription to a voter if that is the current one.
func (f *Subscriber) clearCurrent(id figseam.InstanceID, err error) {
	if id != f.current {
		return
	}
	f.log.Warn().Err(err).Str("keeper", string(id)).Msg("keeper lost")
	f.current, f.connected = "", false
	f.publishedCurrent.Store(nil)
}

func (f *Subscriber) waitBeforeRetry(ctx context.Context) {
	timer := time.NewTimer(minRetryDelayMillis*time.Millisecond + rand.N(minRetryDelayMillis*time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
