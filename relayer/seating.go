package relayer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/queuer"
	"github.com/figseam/figseam/selector"
)

const (
	// startMillis is what passes between the start of a prefill and the first event,
	// beside the reading of the prompt.
	startMillis = 190
	// longestWaitMillis is how long after its arrival a request may start: its
	// caller gives up when the first event does not come.
	longestWaitMillis = 2500
	// stayWeight is the weight of one request in the mean stay on a decode engine,
	// firstStayMillis the mean before the first one.
	stayWeight      = 0.05
	firstStayMillis = 2500
	// returnSlackMillis is how much earlier than there is room a refused caller may
	// come back: others give up meanwhile.
	returnSlackMillis = 300
	// hintFactor times the caller's hint is what is expected to be generated: the
	// hint is right at the median only.
	hintFactor = 1.3
	// holdCallMillis bounds the call that sets memory aside.
	holdCallMillis = 150
	// expectedShare of the most that is generated is what is expected of it.
	expectedShare = 0.6
)

// seat is a promised place on a decode engine.
type seat struct {
	choice selector.Choice
	work   *selector.Work
	// hold names the memory that the engine set aside; empty for none.
	hold string
}

// leave gives the seat back unused.
func (t *task) leave(s *seat) {
	s.work.End(selector.Neutral)
	if s.hold != "" {
		t.tell(s.choice.Candidate.Endpoint, t.Wire.DropHoldPath(s.hold))
	}
}

// rooms are the queues for the decode engines of each service.
type rooms struct {
	changed func() <-chan struct{}

	// mu guards queues.
	mu     sync.Mutex
	queues map[string]*queuer.Queue
}

func (r *rooms) queue(service string) *queuer.Queue {
	r.mu.Lock()
	defer r.mu.Unlock()
	q, ok := r.queues[service]
	if !ok {
		q = queuer.New(r.changed)
		r.queues[service] = q
	}
	return q
}

// Waiting returns the memory for which requests wait, by service, as uses of an
// endpoint that stands for the queue.
func (r *Relayer) Waiting() []figseam.EndpointUse {
	r.rooms.mu.Lock()
	defer r.rooms.mu.Unlock()
	var all []figseam.EndpointUse
	for service, q := range r.rooms.queues {
		if n := q.Tokens(); n > 0 {
			all = append(all, figseam.EndpointUse{Endpoint: figseam.HashEndpoint(queueName(service)), Tokens: n})
		}
	}
	return all
}

// queueName names the endpoint that stands for a service's queue.
func queueName(service string) string { return "queue/" + service }

// stays is the mean time that requests keep their memory on a decode engine.
type stays struct {
	// mu guards millis.
	mu     sync.Mutex
	millis float64
}

func (s *stays) note(stay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.millis = s.mean() + stayWeight*(float64(stay.Milliseconds())-s.mean())
}

func (s *stays) mean() float64 {
	if s.millis == 0 {
		return firstStayMillis
	}
	return s.millis
}

func (s *stays) get() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mean()
}

// takeSeat waits for a place on a decode engine and has the engine set the memory
// aside, since what other instances placed there may not be known yet. Without a
// place the code says why.
func (t *task) takeSeat(ctx context.Context) (*seat, figseam.Code) {
	for {
		s, code := t.waitForSeat(ctx)
		if s == nil {
			return nil, code
		}
		e := s.choice.Candidate.Endpoint
		began := time.Now()
		code = t.hold(ctx, s)
		if code == "" {
			return s, ""
		}
		t.note(e, "hold", s.choice, code, began)
		switch code {
		case explainer.EndpointRefused:
			s.work.End(selector.Neutral)
			t.Board.Full(e)
		case explainer.CallerGone, explainer.DeadlinePassed:
			s.work.End(selector.Neutral)
			return nil, code
		default:
			s.work.End(selector.Bad)
		}
	}
}

// waitForSeat waits until an engine seems to have room.
func (t *task) waitForSeat(ctx context.Context) (*seat, figseam.Code) {
	need := t.expectedTokens()
	queue := t.rooms.queue(t.service)
	var taken *seat
	take := func() bool {
		choice, ok := t.choose(figseam.StageForDecode, t.DataCentre, need)
		if !ok {
			return false
		}
		taken = &seat{choice: choice, work: t.Board.Begin(choice.Candidate.Endpoint, 0, need)}
		return true
	}
	load, engines := t.load(queue)
	if engines == 0 {
		return nil, explainer.NoEndpoint
	}
	wait := queuer.ExpectedWaitMillis(load, need)
	began := time.Now()
	// A caller that has a part of its stream counts the gap, not the whole.
	from := t.began
	if t.wroteHead {
		from = began
	}
	since := float64(began.Sub(from).Milliseconds())
	if since+wait > longestWaitMillis {
		t.retryMillis = max(0, wait-returnSlackMillis)
		return nil, explainer.NoRoom
	}
	startBy := from.Add(time.Duration(float64(t.route.TargetMillis)-t.startMillis()) * time.Millisecond)
	waiting := queuer.Waiting{Priority: t.route.Priority, StartBy: startBy, Arrived: t.began, Tokens: need}
	until := figseam.DeadlineAt(from.Add(longestWaitMillis * time.Millisecond)).WithEarlier(t.request.Deadline)
	ok := queue.Wait(ctx, waiting, until, take)
	t.waited += time.Since(began)
	if ok {
		return taken, ""
	}
	if code := codeOfEnd(ctx); code != "" {
		return nil, code
	}
	t.retryMillis = wait
	return nil, explainer.NoRoom
}

// startMillis returns what is expected to pass until the first event once there is
// room.
func (t *task) startMillis() float64 {
	return startMillis + float64(t.request.Prompt.InputTokens)/prefillTokensPerMilli
}

// hold has the engine of a seat set the memory aside.
func (t *task) hold(ctx context.Context, s *seat) figseam.Code {
	traits := t.index.Load().Table().Services[t.service].Engine
	if traits == nil || traits.HoldMillis <= 0 {
		return ""
	}
	ctx, cancel := context.WithTimeoutCause(ctx, holdCallMillis*time.Millisecond, errSilent)
	defer cancel()
	target, body := t.Wire.EncodeHold(t.expectedTokens(), traits.HoldMillis)
	status, answer, err := t.ask(ctx, s.choice.Candidate.Endpoint, http.MethodPost, target, body)
	switch {
	case err != nil:
		return codeOf(ctx, err)
	case status == http.StatusServiceUnavailable:
		return explainer.EndpointRefused
	case status != http.StatusOK:
		// An engine that sets nothing aside still takes the request.
		return ""
	}
	s.hold, err = t.Wire.DecodeHold(answer)
	if err != nil {
		return explainer.AnswerSpoiled
	}
	return ""
}

// expectedTokens returns the memory that the request is expected to need.
func (t *task) expectedTokens() int {
	p := t.request.Prompt
	output := int(expectedShare * float64(p.OutputTokens))
	if p.HintTokens > 0 {
		output = min(p.OutputTokens, int(hintFactor*float64(p.HintTokens)))
	}
	return p.InputTokens + output
}

// load returns what is believed of the decode engines of the service that are not
// to be avoided, and how many there are.
func (t *task) load(queue *queuer.Queue) (queuer.Load, int) {
	memory := t.memoryTokens()
	skip := func(e figseam.ListedEndpoint) bool { return e.Stage != figseam.StageForDecode || t.avoid[e.ID] }
	l := queuer.Load{StayMillis: t.stays.get(), WaitingTokens: queue.Tokens() + t.Board.OtherTokens(queueName(t.service))}
	engines := 0
	for _, c := range t.Board.Candidates(t.List.Service(t.service), skip, 0, memory) {
		engines++
		if selector.Rests(c) {
			continue
		}
		l.MemoryTokens += memory
		l.UsedTokens += int(c.FillShare * float64(memory))
	}
	return l, engines
}
