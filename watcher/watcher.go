// Package watcher watches what surrounds an instance: the platform's lagging
// list of instances and endpoints, and the load of the engines that the instance
// owns.
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
	// listMillis is the time between two looks at the platform's list.
	listMillis = 1000
	// loadMillis is the time between two load reports of an engine, cacheEvery
	// how many reports lie between two looks at its cache events, attemptsEvery
	// between two lists of its attempts.
	loadMillis    = 500
	cacheEvery    = 2
	attemptsEvery = 8
	// lookMillis bounds one look.
	lookMillis = 1500
	// maxListBytes bounds the platform's list.
	maxListBytes = 16 << 20
)

// States of the platform's list.
const (
	ListedLive    = "live"
	ListedLeaving = "leaving"
)

// PlatformList is the platform's list.
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

// Observer takes what the watcher sees of an engine.
type Observer interface {
	// ObserveLoad takes a load report.
	ObserveLoad(endpoint figseam.Endpoint, report figseam.LoadReport)
	// ObserveCache takes cache events.
	ObserveCache(endpoint figseam.Endpoint, page figseam.CachePage)
}

// Watcher looks at the platform's list and at engines.
type Watcher struct {
	client    *http.Client
	address   string
	endpoints *detector.EndpointTracker
	dialer    figseam.Dialer
	watched   func() []figseam.Endpoint
	observer  Observer
	log       zerolog.Logger

	// mu guards list and cursors.
	mu      sync.Mutex
	list    PlatformList
	cursors map[figseam.EndpointID]uint64
}

// New returns a watcher. address is the platform's list, empty for none; watched
// returns the engines to look at.
func New(client *http.Client, address string, endpoints *detector.EndpointTracker, dialer figseam.Dialer, watched func() []figseam.Endpoint, observer Observer, log zerolog.Logger) *Watcher {
	return &Watcher{
		client: client, address: address, endpoints: endpoints, dialer: dialer, watched: watched,
		observer: observer, log: log, cursors: map[figseam.EndpointID]uint64{},
	}
}

// PlatformList returns the platform's list as last seen.
func (w *Watcher) PlatformList() PlatformList {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list
}

// Run watches until ctx ends. It returns a channel that is closed when the last
// look has ended.
func (w *Watcher) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	var tasks sync.WaitGroup
	if w.address != "" {
		tasks.Go(func() { every(ctx, listMillis, func(int) { w.lookAtList(ctx) }) })
	}
	tasks.Go(func() { every(ctx, loadMillis, func(round int) { w.lookAtEngines(ctx, round) }) })
	go func() {
		defer close(done)
		tasks.Wait()
	}()
	return done
}

func every(ctx context.Context, millis int64, look func(round int)) {
	ticker := time.NewTicker(time.Duration(millis) * time.Millisecond)
	defer ticker.Stop()
	for round := 0; ; round++ {
		look(round)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *Watcher) lookAtList(ctx context.Context) {
	list, err := w.fetchList(ctx)
	if err != nil {
		w.log.Debug().Err(err).Msg("platform's list not read")
		return
	}
	w.mu.Lock()
	w.list = list
	w.mu.Unlock()
	var leaving []figseam.EndpointID
	for _, e := range list.Endpoints {
		if e.State == ListedLeaving {
			leaving = append(leaving, e.Name)
		}
	}
	w.endpoints.SetPlatformLeaving(leaving)
}

func (w *Watcher) fetchList(ctx context.Context) (list PlatformList, err error) {
	defer func() { err = eris.Wrap(err, "read the platform's list") }()
	ctx, cancel := context.WithTimeout(ctx, lookMillis*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, w.address, nil)
	if err != nil {
		return PlatformList{}, err
	}
	answer, err := w.client.Do(request)
	if err != nil {
		return PlatformList{}, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return PlatformList{}, eris.Errorf("status %d", answer.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(answer.Body, maxListBytes)).Decode(&list)
	return list, err
}

// lookAtEngines looks at all watched engines at once and waits for them.
func (w *Watcher) lookAtEngines(ctx context.Context, round int) {
	ctx, cancel := context.WithTimeout(ctx, lookMillis*time.Millisecond)
	defer cancel()
	var looks sync.WaitGroup
	for _, e := range w.watched() {
		looks.Go(func() { w.lookAtEngine(ctx, e, round) })
	}
	looks.Wait()
}

func (w *Watcher) lookAtEngine(ctx context.Context, e figseam.Endpoint, round int) {
	engine := w.dialer.Engine(e)
	report, err := engine.Load(ctx, round%attemptsEvery == 0)
	if err != nil {
		if ctx.Err() == nil || ctx.Err() == context.DeadlineExceeded {
			w.endpoints.RecordFailure(e.Name)
		}
		return
	}
	w.endpoints.RecordSuccess(e.Name)
	if report.Draining {
		w.endpoints.RecordLeaving(e.Name)
	}
	w.observer.ObserveLoad(e, report)
	if round%cacheEvery == 0 && e.Role == figseam.RolePrefill {
		w.lookAtCache(ctx, e, engine)
	}
}

func (w *Watcher) lookAtCache(ctx context.Context, e figseam.Endpoint, engine figseam.Engine) {
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
