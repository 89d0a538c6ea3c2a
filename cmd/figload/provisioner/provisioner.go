// Package provisioner writes the settings and objects of a deployment whose parts
// are processes of their own, and serves its stand-ins.
package provisioner

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/cmd/figload/planner"
	"github.com/figseam/figseam/emulator"
)

const (
	host = "127.0.0.1"
	// serviceMillis is how long a service stand-in takes for a call.
	serviceMillis = 20
	folderMode    = 0o750
	fileMode      = 0o640
)

// Layout is a deployment with fixed addresses.
type Layout struct {
	Users             []planner.User                `json:"-"`
	EndpointAddresses map[figseam.EndpointID]string `json:"addresses"`
	PlatformAddress   string                        `json:"platform"`
}

// NewLayout plans the demonstration's deployment from a port on.
func NewLayout(port int) (Layout, func() string) {
	next := func() string {
		port++
		return fmt.Sprintf("%s:%d", host, port-1)
	}
	users := planner.Users()
	users[1] = users[1].WithDataCentres(users[0].DataCentres)
	p := Layout{Users: users, EndpointAddresses: map[figseam.EndpointID]string{}, PlatformAddress: next()}
	for _, u := range users {
		for _, dc := range u.DataCentres {
			for _, e := range u.EngineSettings()[dc] {
				p.EndpointAddresses[e.Name] = next()
			}
			p.EndpointAddresses[u.ServiceEndpointID(dc)] = next()
		}
	}
	return p, next
}

// WriteLayout writes the deployment into a directory and says how to start it.
func WriteLayout(dir string, port int, out io.Writer) (err error) {
	defer func() { err = eris.Wrap(err, "write layout") }()
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return err
	}
	plan, next := NewLayout(port)
	users := plan.Users
	folder := func(id figseam.InstanceID) string { return filepath.Join(dir, "data", string(id)) }
	all := planner.InstanceSettings(users[0].Region, users[0].DataCentres, "http://"+plan.PlatformAddress, folder, next)
	urls := map[figseam.EndpointID]string{}
	for id, address := range plan.EndpointAddresses {
		urls[id] = "http://" + address
	}
	for _, u := range users {
		if err := write(filepath.Join(dir, u.Name+".objects.json"), u.ConfigObjects(urls)); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(out, "# stand-ins for engines, services and the platform\nbin/figload standins -port %d\n# instances\n", port)
	for _, s := range all {
		file := filepath.Join(dir, string(s.Instance)+".settings.json")
		if err := write(file, s); err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "bin/figseamd -settings %s\n", file)
	}
	_, _ = fmt.Fprintf(out, "# configuration\nbin/figctl -operators %s publish", all[0].OperatorAddress)
	for _, u := range users {
		_, _ = fmt.Fprintf(out, " %s", filepath.Join(dir, u.Name+".objects.json"))
	}
	_, _ = fmt.Fprintf(out, "\n# callers\ncurl -N http://%s/v1/completions -d '{\"model\":\"%s\",\"prompt\":\"hello\",\"stream\":true}'\n", all[0].CallerAddress, users[0].InteractiveRoute)
	return nil
}

func write(file string, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(text, '\n'), fileMode)
}

// StartEmulators starts the stand-ins of a layout. They run until the fleet is closed.
func StartEmulators(port int) (fleet *emulator.Fleet, err error) {
	defer func() { err = eris.Wrap(err, "start stand-ins") }()
	plan, _ := NewLayout(port)
	fleet = emulator.NewFleet()
	defer func() {
		if err != nil {
			fleet.Close()
		}
	}()
	if _, err := fleet.AddPlatformList(plan.PlatformAddress); err != nil {
		return nil, err
	}
	for _, u := range plan.Users {
		for _, dc := range u.DataCentres {
			for _, e := range u.EngineSettings()[dc] {
				if _, err := fleet.AddEngine(e, plan.EndpointAddresses[e.Name]); err != nil {
					return nil, err
				}
			}
			name := u.ServiceEndpointID(dc)
			if _, err := fleet.AddService(name, emulator.NewService(nil, serviceMillis), plan.EndpointAddresses[name]); err != nil {
				return nil, err
			}
		}
	}
	return fleet, nil
}
