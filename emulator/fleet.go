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

// Fleet is a set of emulated engines, services and platform lists that serve HTTP,
// by default on loopback addresses.
type Fleet struct {
	// ctx ends when the fleet is closed.
	ctx        context.Context
	cancel     context.CancelFunc
	client     *http.Client
	engineDone []<-chan struct{}

	// mu guards engineDone and the fields below.
	mu       sync.Mutex
	engines  map[figseam.EndpointID]*Engine
	services map[figseam.EndpointID]*Service
	servers  map[string]*http.Server
	// draining holds the names that the platform's list shows as draining.
	draining map[string]bool
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	return &Fleet{
		ctx: ctx, cancel: cancel,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		engines:  map[figseam.EndpointID]*Engine{},
		services: map[figseam.EndpointID]*Service{},
		servers:  map[string]*http.Server{},
		draining: map[string]bool{},
	}
}

// AddEngine starts an engine and returns its base URL. An empty address selects a
// free loopback port. The error is non-nil if the address cannot be bound.
func (f *Fleet) AddEngine(settings EngineSettings, address string) (string, error) {
	e := NewEngine(settings, f.client)
	url, err := f.startServer(string(settings.Name), address, e.Handler())
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[settings.Name] = e
	f.engineDone = append(f.engineDone, e.Run(f.ctx))
	return url, nil
}

// AddService starts a service endpoint and returns its base URL. The address and the
// error have the same meaning as for [Fleet.AddEngine].
func (f *Fleet) AddService(name figseam.EndpointID, s *Service, address string) (string, error) {
	url, err := f.startServer(string(name), address, s)
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.services[name] = s
	return url, nil
}

// AddPlatformList starts the platform's list and returns its URL. The address and the
// error have the same meaning as for [Fleet.AddEngine].
func (f *Fleet) AddPlatformList(address string) (string, error) {
	return f.startServer("platform", address, http.HandlerFunc(f.servePlatformList))
}

// startServer serves h on the address and returns the base URL. Name is the key of
// the server in f.servers.
func (f *Fleet) startServer(name, address string, h http.Handler) (string, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("start stand-in %s: %w", name, err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	f.mu.Lock()
	f.servers[name] = s
	f.mu.Unlock()
	go func() { _ = s.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

// Engine returns the engine with the name, or nil.
func (f *Fleet) Engine(name figseam.EndpointID) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[name]
}

// Engines returns a copy of the map of all engines.
func (f *Fleet) Engines() map[figseam.EndpointID]*Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	engines := make(map[figseam.EndpointID]*Engine, len(f.engines))
	for name, e := range f.engines {
		engines[name] = e
	}
	return engines
}

// Service returns the service endpoint with the name, or nil.
func (f *Fleet) Service(name figseam.EndpointID) *Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.services[name]
}

// SetDraining marks the instance or endpoint with the name as draining in the platform's
// list.
func (f *Fleet) SetDraining(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining[name] = true
}

// UsedPieces returns the memory in use on all engines together, in pieces.
func (f *Fleet) UsedPieces() int {
	used := 0
	for _, e := range f.Engines() {
		used += e.UsedPieces()
	}
	return used
}

// servePlatformList lists each draining name both as an instance and as an endpoint.
func (f *Fleet) servePlatformList(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := watcher.PlatformList{Instances: []watcher.ListedInstance{}, Endpoints: []watcher.ListedEndpoint{}}
	for name := range f.draining {
		list.Instances = append(list.Instances, watcher.ListedInstance{Name: figseam.InstanceID(name), State: watcher.ListedDraining})
		list.Endpoints = append(list.Endpoints, watcher.ListedEndpoint{Name: figseam.EndpointID(name), State: watcher.ListedDraining})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// Close stops all servers and engines and waits until the engines have ended.
func (f *Fleet) Close() {
	f.cancel()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		_ = s.Close()
	}
	for _, done := range f.engineDone {
		<-done
	}
	f.client.CloseIdleConnections()
}
