// Package launcher starts a whole deployment in one process: stand-ins and
// instances with real sockets on loopback.
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
	// serviceMillis is how long a service stand-in takes for a call.
	serviceMillis = 20
	// readyPollMillis is the pause between two looks at readiness.
	readyPollMillis = 20
)

// Deployment is a running set of stand-ins and instances.
type Deployment struct {
	Fleet             *emulator.Fleet
	Users             []planner.User
	EndpointAddresses map[figseam.EndpointID]string
	PlatformURL       string
	InstanceSettings  []loader.Settings
	folder            string
	options           runner.Options
	ctx               context.Context
	stop              context.CancelFunc

	// mu guards everything below.
	mu        sync.Mutex
	instances map[figseam.InstanceID]*running
}

// running is an instance that was started.
type running struct {
	*runner.Instance
	stop   context.CancelFunc
	killed bool
}

// StartEmulators starts the stand-ins of users.
func StartEmulators(users []planner.User) (d *Deployment, err error) {
	defer func() { err = eris.Wrap(err, "start stand-ins") }()
	ctx, stop := context.WithCancel(context.Background())
	d = &Deployment{
		Fleet: emulator.NewFleet(), Users: users, EndpointAddresses: map[figseam.EndpointID]string{},
		instances: map[figseam.InstanceID]*running{}, ctx: ctx, stop: stop,
	}
	for _, u := range users {
		if err := d.startUser(u); err != nil {
			return nil, err
		}
	}
	d.PlatformURL, err = d.Fleet.AddPlatformList("")
	return d, err
}

func (d *Deployment) startUser(u planner.User) error {
	for _, dc := range u.DataCentres {
		for _, e := range u.EngineSettings()[dc] {
			address, err := d.Fleet.AddEngine(e, "")
			if err != nil {
				return err
			}
			d.EndpointAddresses[e.Name] = address
		}
		name := u.ServiceEndpointID(dc)
		address, err := d.Fleet.AddService(name, emulator.NewService(nil, serviceMillis), "")
		if err != nil {
			return err
		}
		d.EndpointAddresses[name] = address
	}
	return nil
}

// Start starts stand-ins and instances and publishes the users' configuration.
func Start(users []planner.User, options runner.Options) (d *Deployment, err error) {
	defer func() { err = eris.Wrap(err, "start deployment") }()
	d, err = StartEmulators(users)
	if err != nil {
		return nil, err
	}
	d.options = options
	d.folder, err = os.MkdirTemp("", "figseam-")
	if err != nil {
		return nil, err
	}
	d.InstanceSettings = planner.InstanceSettings(users[0].Region, users[0].DataCentres, d.PlatformURL, d.dataFolder, FreeAddress)
	for _, s := range d.InstanceSettings {
		if err := d.StartInstance(s); err != nil {
			return nil, err
		}
	}
	return d, d.Publish()
}

func (d *Deployment) dataFolder(id figseam.InstanceID) string {
	return filepath.Join(d.folder, string(id))
}

// StartInstance starts one instance.
func (d *Deployment) StartInstance(s loader.Settings) error {
	ctx, stop := context.WithCancel(d.ctx)
	i, err := runner.Start(ctx, s, d.options)
	if err != nil {
		stop()
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances[s.Instance] = &running{Instance: i, stop: stop}
	return nil
}

// KillInstance ends an instance at once, without a word to anybody.
func (d *Deployment) KillInstance(id figseam.InstanceID) {
	d.setKilled(id, true)
	d.all()[id].stop()
}

// RestartKilled starts every killed instance again.
func (d *Deployment) RestartKilled() error {
	for _, s := range d.InstanceSettings {
		d.mu.Lock()
		i := d.instances[s.Instance]
		d.mu.Unlock()
		if !i.killed {
			continue
		}
		if err := errors.Join(<-i.Done(), d.restart(s)); err != nil {
			return err
		}
	}
	return nil
}

// restart starts an instance, which counts as up once it is ready.
func (d *Deployment) restart(s loader.Settings) error {
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

// all returns the running instances by name.
func (d *Deployment) all() map[figseam.InstanceID]*running {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.instances)
}

// Instance returns a running instance by name.
func (d *Deployment) Instance(id figseam.InstanceID) *runner.Instance { return d.all()[id].Instance }

// Publish publishes the users' objects and waits until every instance is ready.
func (d *Deployment) Publish() (err error) {
	defer func() { err = eris.Wrap(err, "publish") }()
	body := gateway.ChangeBody{ChangeID: uuid.NewString(), Author: "figload"}
	for _, u := range d.Users {
		body.Objects = append(body.Objects, u.ConfigObjects(d.EndpointAddresses)...)
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

// PublishChange sends a change to an instance until it has an outcome.
func PublishChange(operators string, body gateway.ChangeBody) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	var last string
	for range 50 {
		answer, err := http.Post("http://"+operators+"/v1/changes", "application/json", bytes.NewReader(text))
		if err == nil {
			reason, _ := io.ReadAll(answer.Body)
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
			last = string(reason)
			if answer.StatusCode == http.StatusUnprocessableEntity {
				break
			}
		}
		time.Sleep(readyPollMillis * 10 * time.Millisecond)
	}
	return fmt.Errorf("change was not applied: %s", last)
}

// WaitReady waits until an instance takes requests.
func WaitReady(callers string) error {
	for range 500 {
		answer, err := http.Get("http://" + callers + "/readyz")
		if err == nil {
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusNoContent {
				return nil
			}
		}
		time.Sleep(readyPollMillis * time.Millisecond)
	}
	return fmt.Errorf("instance at %s did not become ready", callers)
}

// CallerAddresses returns the callers' addresses of the instances that are up.
func (d *Deployment) CallerAddresses() []string {
	running := d.all()
	var up []string
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.InstanceSettings {
		if i, ok := running[s.Instance]; ok && !i.killed {
			up = append(up, s.CallerAddress)
		}
	}
	return up
}

// Drain lets every instance leave in order and waits for the last.
func (d *Deployment) Drain() error {
	all := d.all()
	for id, i := range all {
		i.Drain()
		d.Fleet.SetLeaving(string(id))
	}
	var err error
	for _, i := range all {
		err = errors.Join(err, <-i.Done())
	}
	d.mu.Lock()
	clear(d.instances)
	d.mu.Unlock()
	return errors.Join(err, d.Close())
}

// Close ends instances and stand-ins at once and removes their files.
func (d *Deployment) Close() error {
	var err error
	d.stop()
	for _, i := range d.all() {
		err = errors.Join(err, <-i.Done())
	}
	d.Fleet.Close()
	if d.folder != "" {
		err = errors.Join(err, os.RemoveAll(d.folder))
	}
	return err
}

// Ports that are given to instances lie below those that the operating system
// gives to outgoing connections, so that none of these takes one before its
// instance listens.
const (
	firstPort = 20_000
	portCount = 10_000
)

// nextPort counts the ports given so far. Processes begin at different places.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 97) }

// FreeAddress returns a loopback address on which nobody listens.
func FreeAddress() string {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address
	}
	panic("no free port")
}
