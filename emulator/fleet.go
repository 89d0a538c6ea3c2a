package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/watcher"
)

// Fleet is a set of stand-ins that listen on loopback addresses.
type Fleet struct {
	ctx    context.Context
	stop   context.CancelFunc
	client *http.Client
	tasks  []<-chan struct{}

	// mu guards everything below.
	mu       sync.Mutex
	engines  map[figseam.EndpointID]*Engine
	services map[figseam.EndpointID]*Service
	servers  map[string]*http.Server
	leaving  map[string]bool
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	ctx, stop := context.WithCancel(context.Background())
	return &Fleet{
		ctx: ctx, stop: stop,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		engines:  map[figseam.EndpointID]*Engine{},
		services: map[figseam.EndpointID]*Service{},
		servers:  map[string]*http.Server{},
		leaving:  map[string]bool{},
	}
}

// AddEngine starts an engine and returns its address. An empty address picks a
// free one.
func (f *Fleet) AddEngine(settings EngineSettings, address string) (string, error) {
	e := NewEngine(settings, f.client)
	url, err := f.serve(string(settings.Name), address, e.Handler())
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[settings.Name] = e
	f.tasks = append(f.tasks, e.Run(f.ctx))
	return url, nil
}

// AddService starts a service endpoint and returns its address.
func (f *Fleet) AddService(name figseam.EndpointID, s *Service, address string) (string, error) {
	url, err := f.serve(string(name), address, s)
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.services[name] = s
	return url, nil
}

// AddPlatformList starts the platform's list and returns its address.
func (f *Fleet) AddPlatformList(address string) (string, error) {
	return f.serve("platform", address, http.HandlerFunc(f.serveList))
}

func (f *Fleet) serve(name, address string, h http.Handler) (string, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("start stand-in %s: %w", name, err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	f.mu.Lock()
	f.servers[name] = s
	f.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

// Engine returns an engine by name, or nil.
func (f *Fleet) Engine(name figseam.EndpointID) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[name]
}

// Engines returns all engines.
func (f *Fleet) Engines() map[figseam.EndpointID]*Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := make(map[figseam.EndpointID]*Engine, len(f.engines))
	for k, v := range f.engines {
		c[k] = v
	}
	return c
}

// Service returns a service endpoint by name, or nil.
func (f *Fleet) Service(name figseam.EndpointID) *Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.services[name]
}

// SetLeaving shows an instance or endpoint as leaving on the platform's list.
func (f *Fleet) SetLeaving(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving[name] = true
}

// UsedPieces returns the memory held on all engines.
func (f *Fleet) UsedPieces() int {
	n := 0
	for _, e := range f.Engines() {
		n += e.UsedPieces()
	}
	return n
}

func (f *Fleet) serveList(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := watcher.PlatformList{Instances: []watcher.ListedInstance{}, Endpoints: []watcher.ListedEndpoint{}}
	for name := range f.leaving {
		list.Instances = append(list.Instances, watcher.ListedInstance{Name: figseam.InstanceID(name), State: watcher.ListedLeaving})
		list.Endpoints = append(list.Endpoints, watcher.ListedEndpoint{Name: figseam.EndpointID(name), State: watcher.ListedLeaving})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// Close ends all stand-ins and waits for them.
func (f *Fleet) Close() {
	f.stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		_ = s.Close()
	}
	for _, t := range f.tasks {
		<-t
	}
	f.client.CloseIdleConnections()
}
