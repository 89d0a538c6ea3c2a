// Package launcher starts a whole deployment in one process: emulators and instances,
// which listen on loopback TCP sockets.
package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/cmd/figload/planner"
	"github.com/figseam/figseam/emulator"
	"github.com/figseam/figseam/gateway"
	"github.com/figseam/figseam/loader"
	"github.com/figseam/figseam/runner"
)

const (
	// serviceLatencyMillis is the response time of an emulated service.
	serviceLatencyMillis = 20
	// readyPollIntervalMillis is the interval between two polls of an instance's readiness.
	readyPollIntervalMillis = 20
)

// Deployment is a running set of emulators and instances.
type Deployment struct {
	Fleet            *emulator.Fleet
	Users            []planner.User
	EndpointURLs     map[figseam.EndpointID]string
	PlatformURL      string
	InstanceSettings []loader.Settings
	dir              string
	options          runner.Options
	ctx              context.Context
	cancel           context.CancelFunc

	// mu guards instances and the field killed of its values.
	mu        sync.Mutex
	instances map[figseam.InstanceID]*managedInstance
}

// managedInstance is an instance with the function that cancels its context. killed is true
// from the call of KillInstance until RestartKilled has waited for the restarted instance.
type managedInstance struct {
	*runner.Instance
	cancel context.CancelFunc
	killed bool
}

// StartEmulators starts the emulators of the users' engines, of the users' services and of
// the platform, but no instances.
func StartEmulators(users []planner.User) (d *Deployment, err error) {
	defer func() { err = eris.Wrap(err, "start stand-ins") }()
	ctx, cancel := context.WithCancel(context.Background())
	d = &Deployment{
		Fleet: emulator.NewFleet(), Users: users, EndpointURLs: map[figseam.EndpointID]string{},
		instances: map[figseam.InstanceID]*managedInstance{}, ctx: ctx, cancel: cancel,
	}
	for _, u := range users {
		if err := d.startUserEmulators(u); err != nil {
			return nil, err
		}
	}
	d.PlatformURL, err = d.Fleet.AddPlatformList("")
	return d, err
}

func (d *Deployment) startUserEmulators(u planner.User) error {
	for _, dc := range u.DataCentres {
		for _, e := range u.EngineSettings()[dc] {
			address, err := d.Fleet.AddEngine(e, "")
			if err != nil {
				return err
			}
			d.EndpointURLs[e.Name] = address
		}
		name := u.ServiceEndpointID(dc)
		address, err := d.Fleet.AddService(name, emulator.NewService(nil, serviceLatencyMillis), "")
		if err != nil {
			return err
		}
		d.EndpointURLs[name] = address
	}
	return nil
}

// Start starts emulators and instances, publishes the users' configuration and waits
// until all instances are ready.
func Start(users []planner.User, options runner.Options) (d *Deployment, err error) {
	defer func() { err = eris.Wrap(err, "start deployment") }()
	d, err = StartEmulators(users)
	if err != nil {
		return nil, err
	}
	d.options = options
	d.dir, err = os.MkdirTemp("", "figseam-")
	if err != nil {
		return nil, err
	}
	d.InstanceSettings = planner.InstanceSettings(users[0].Region, users[0].DataCentres, d.PlatformURL, d.dataDir, FreeAddress)
	for _, s := range d.InstanceSettings {
		if err := d.StartInstance(s); err != nil {
			return nil, err
		}
	}
	return d, d.Publish()
}

func (d *Deployment) dataDir(id figseam.InstanceID) string {
	return filepath.Join(d.dir, string(id))
}

// StartInstance starts one instance and does not wait until it is ready.
func (d *Deployment) StartInstance(s loader.Settings) error {
	ctx, cancel := context.WithCancel(d.ctx)
	i, err := runner.Start(ctx, s, d.options)
	if err != nil {
		cancel()
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances[s.Instance] = &managedInstance{Instance: i, cancel: cancel}
	return nil
}

// KillInstance stops an instance at once, as a crash does: it notifies no peer and finishes
// no request.
func (d *Deployment) KillInstance(id figseam.InstanceID) {
	d.setKilled(id, true)
	d.instancesByID()[id].cancel()
}

// RestartKilled restarts every killed instance and waits until it is ready.
func (d *Deployment) RestartKilled() error {
	for _, s := range d.InstanceSettings {
		d.mu.Lock()
		i := d.instances[s.Instance]
		d.mu.Unlock()
		if !i.killed {
			continue
		}
		if err := errors.Join(<-i.Done(), d.restartInstance(s)); err != nil {
			return err
		}
	}
	return nil
}

// restartInstance starts a killed instance and waits until it is ready. During the wait the
// instance stays marked as killed, so that CallerAddresses omits it.
func (d *Deployment) restartInstance(s loader.Settings) error {
	if err := d.StartInstance(s); err != nil {
		return err
	}
	d.setKilled(s.Instance, true)
	defer d.setKilled(s.Instance, false)
	return WaitReady(s.CallerAddress)
}

func (d *Deployment) setKilled(id figseam.InstanceID, killed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances[id].killed = killed
}

// instancesByID returns a copy of the map of instances, killed ones included.
func (d *Deployment) instancesByID() map[figseam.InstanceID]*managedInstance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.instances)
}

// Instance returns the instance with the ID. It panics if no such instance was started.
func (d *Deployment) Instance(id figseam.InstanceID) *runner.Instance {
	return d.instancesByID()[id].Instance
}

// Publish publishes the users' objects and waits until every instance is ready.
func (d *Deployment) Publish() (err error) {
	defer func() { err = eris.Wrap(err, "publish") }()
	body := gateway.ChangeBody{ChangeID: uuid.NewString(), Author: "figload"}
	for _, u := range d.Users {
		body.Objects = append(body.Objects, u.ConfigObjects(d.EndpointURLs)...)
	}
	if err := PublishChange(d.InstanceSettings[0].OperatorAddress, body); err != nil {
		return err
	}
	for _, s := range d.InstanceSettings {
		if err := WaitReady(s.CallerAddress); err != nil {
			return err
		}
	}
	return nil
}

// PublishChange sends a change to an instance's operator address, at most 50 times at
// intervals of 200 ms, until the change is applied or the instance rejects its objects as
// invalid. It returns an error unless the change was applied.
func PublishChange(operatorAddress string, body gateway.ChangeBody) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	var lastReason string
	for range 50 {
		response, err := http.Post("http://"+operatorAddress+"/v1/changes", "application/json", bytes.NewReader(encoded))
		if err == nil {
			reason, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
			lastReason = string(reason)
			if response.StatusCode == http.StatusUnprocessableEntity {
				break
			}
		}
		time.Sleep(readyPollIntervalMillis * 10 * time.Millisecond)
	}
	return fmt.Errorf("change was not applied: %s", lastReason)
}

// WaitReady polls an instance's caller address until it reports that it is ready. It
// returns an error after 500 polls, which is 10 seconds or more.
func WaitReady(callerAddress string) error {
	for range 500 {
		response, err := http.Get("http://" + callerAddress + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusNoContent {
				return nil
			}
		}
		time.Sleep(readyPollIntervalMillis * time.Millisecond)
	}
	return fmt.Errorf("instance at %s did not become ready", callerAddress)
}

// CallerAddresses returns the caller addresses of all instances that are not killed.
func (d *Deployment) CallerAddresses() []string {
	instances := d.instancesByID()
	var addresses []string
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.InstanceSettings {
		if i, ok := instances[s.Instance]; ok && !i.killed {
			addresses = append(addresses, s.CallerAddress)
		}
	}
	return addresses
}

// Drain shuts down every instance gracefully, waits until all have ended and closes the
// deployment.
func (d *Deployment) Drain() error {
	instances := d.instancesByID()
	for id, i := range instances {
		i.Drain()
		d.Fleet.SetDraining(string(id))
	}
	var err error
	for _, i := range instances {
		err = errors.Join(err, <-i.Done())
	}
	d.mu.Lock()
	clear(d.instances)
	d.mu.Unlock()
	return errors.Join(err, d.Close())
}

// Close stops instances and emulators at once and removes the data directories.
func (d *Deployment) Close() error {
	var err error
	d.cancel()
	for _, i := range d.instancesByID() {
		err = errors.Join(err, <-i.Done())
	}
	d.Fleet.Close()
	if d.dir != "" {
		err = errors.Join(err, os.RemoveAll(d.dir))
	}
	return err
}

// The port range of instances lies below the range that the operating system uses for
// outgoing connections, so that no outgoing connection takes a port before its instance
// listens on it.
const (
	firstPort = 20_000
	portCount = 10_000
)

// portCounter modulo portCount is the offset from firstPort of the last port tried. It
// starts at a value derived from the process ID, so that concurrent processes use different
// ports.
var portCounter atomic.Int64

func init() { portCounter.Store(int64(os.Getpid()) * 97) }

// FreeAddress returns a loopback address whose port is free. It panics if the range has
// no free port.
func FreeAddress() string {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+portCounter.Add(1)%portCount)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address
	}
	panic("no free port")
}
