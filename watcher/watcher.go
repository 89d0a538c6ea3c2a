// Package watcher polls the platform's list of instances and endpoints, and the load and
// cache events of the engines in the cells that an instance owns. The list lags behind
// the actual states.
package watcher

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/detector"
)

const (
	// listIntervalMillis is the interval between two polls of the platform's list.
	listIntervalMillis = 1000
	// loadIntervalMillis is the interval between two load reports of an engine. Every
	// cacheEveryRounds-th round also polls the cache events, and in every
	// attemptsEveryRounds-th round the load report lists the attempts.
	loadIntervalMillis  = 500
	cacheEveryRounds    = 2
	attemptsEveryRounds = 8
	// pollTimeoutMillis bounds one poll of the list or of all engines.
	pollTimeoutMillis = 1500
	maxListBytes      = 16 << 20
)

// States of instances and endpoints on the platform's list.
const (
	ListedLive     = "live"
	ListedDraining = "leaving"
)

// PlatformList is the platform's list of instances and endpoints.
type PlatformList struct {
	Instances []ListedInstance `json:"instances"`
	Endpoints []ListedEndpoint `json:"endpoints"`
}

// ListedInstance is an instance on the platform's list.
type ListedInstance struct {
	Name    figseam.InstanceID `json:"name"`
	Address string             `json:"address"`
	State   string             `json:"state"`
}

// ListedEndpoint is an endpoint on the platform's list.
type ListedEndpoint struct {
	Name  figseam.EndpointID `json:"name"`
	State string             `json:"state"`
}

// Observer receives the results of polling the engines. Its methods are called
// concurrently for different engines.
type Observer interface {
	// ObserveLoad receives a load report.
	ObserveLoad(endpoint figseam.Endpoint, report figseam.LoadReport)
	// ObserveCache receives the cache events that follow those of the previous call.
	ObserveCache(endpoint figseam.Endpoint, page figseam.CachePage)
}

// Watcher polls the platform's list and the engines.
type Watcher struct {
	client    *http.Client
	listURL   string
	endpoints *detector.EndpointTracker
	dialer    figseam.Dialer
	engines   func() []figseam.Endpoint
	observer  Observer
	log       zerolog.Logger

	// mu guards list and cursors. cursors holds the sequence number after which the cache
	// events of an engine are polled next.
	mu      sync.Mutex
	list    PlatformList
	cursors map[figseam.EndpointID]uint64
}

// New returns a watcher. listURL is the URL of the platform's list, which is not polled
// if it is empty; engines returns the engines to poll.
func New(client *http.Client, listURL string, endpoints *detector.EndpointTracker, dialer figseam.Dialer, engines func() []figseam.Endpoint, observer Observer, log zerolog.Logger) *Watcher {
	return &Watcher{
		client: client, listURL: listURL, endpoints: endpoints, dialer: dialer, engines: engines,
		observer: observer, log: log, cursors: map[figseam.EndpointID]uint64{},
	}
}

// PlatformList returns the platform's list as of the last successful poll.
func (w *Watcher) PlatformList() PlatformList {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list
}

// Run polls until ctx ends. It returns a channel that is closed when the last poll has
// ended.
func (w *Watcher) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	var tasks sync.WaitGroup
	if w.listURL != "" {
		tasks.Go(func() { runPeriodically(ctx, listIntervalMillis, func(int) { w.pollList(ctx) }) })
	}
	tasks.Go(func() { runPeriodically(ctx, loadIntervalMillis, func(round int) { w.pollEngines(ctx, round) }) })
	go func() {
		defer close(done)
		tasks.Wait()
	}()
	return done
}

// runPeriodically calls poll at once and then at intervals, with the number of earlier
// calls, until ctx ends.
func runPeriodically(ctx context.Context, millis int64, poll func(round int)) {
	ticker := time.NewTicker(time.Duration(millis) * time.Millisecond)
	defer ticker.Stop()
	for round := 0; ; round++ {
		poll(round)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *Watcher) pollList(ctx context.Context) {
	list, err := w.fetchList(ctx)
	if err != nil {
		w.log.Debug().Err(err).Msg("reading the platform's list failed")
		return
	}
	w.mu.Lock()
	w.list = list
	w.mu.Unlock()
	var draining []figseam.EndpointID
	for _, e := range list.Endpoints {
		if e.State == ListedDraining {
			draining = append(draining, e.Name)
		}
	}
	w.endpoints.SetPlatformDraining(draining)
}

func (w *Watcher) fetchList(ctx context.Context) (list PlatformList, err error) {
	defer func() { err = eris.Wrap(err, "read the platform's list") }()
	ctx, cancel := context.WithTimeout(ctx, pollTimeoutMillis*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, w.listURL, nil)
	if err != nil {
		return PlatformList{}, err
	}
	response, err := w.client.Do(request)
	if err != nil {
		return PlatformList{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return PlatformList{}, eris.Errorf("status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return PlatformList{}, err
	}
	err = json.Unmarshal(body, &list)
	return list, err
}

// pollEngines polls all engines concurrently and waits for them.
func (w *Watcher) pollEngines(ctx context.Context, round int) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeoutMillis*time.Millisecond)
	defer cancel()
	var polls sync.WaitGroup
	for _, e := range w.engines() {
		polls.Go(func() { w.pollEngine(ctx, e, round) })
	}
	polls.Wait()
}

func (w *Watcher) pollEngine(ctx context.Context, e figseam.Endpoint, round int) {
	engine := w.dialer.Engine(e)
	report, err := engine.Load(ctx, round%attemptsEveryRounds == 0)
	if err != nil {
		if ctx.Err() == nil || ctx.Err() == context.DeadlineExceeded {
			w.endpoints.RecordFailure(e.Name)
		}
		return
	}
	w.endpoints.RecordSuccess(e.Name)
	if report.Draining {
		w.endpoints.RecordDraining(e.Name)
	}
	w.observer.ObserveLoad(e, report)
	if round%cacheEveryRounds == 0 && e.Role == figseam.RolePrefill {
		w.pollCacheEvents(ctx, e, engine)
	}
}

func (w *Watcher) pollCacheEvents(ctx context.Context, e figseam.Endpoint, engine figseam.Engine) {
	w.mu.Lock()
	after := w.cursors[e.Name]
	w.mu.Unlock()
	page, err := engine.CacheEvents(ctx, after)
	if err != nil {
		return
	}
	w.mu.Lock()
	w.cursors[e.Name] = page.NextSequence
	w.mu.Unlock()
	w.observer.ObserveCache(e, page)
}
