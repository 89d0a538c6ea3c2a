// Package provisioner writes the settings and configuration objects of a deployment whose
// instances run as separate processes, and runs the emulators of that deployment.
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
	// serviceLatencyMillis is the response time of an emulated service.
	serviceLatencyMillis = 20
	directoryMode        = 0o750
	fileMode             = 0o640
)

// Layout is a deployment with fixed addresses. PlatformAddress and EndpointAddresses are
// the listen addresses of its emulators.
type Layout struct {
	Users             []planner.User                `json:"-"`
	EndpointAddresses map[figseam.EndpointID]string `json:"addresses"`
	PlatformAddress   string                        `json:"platform"`
}

// NewLayout returns a layout for all users. It assigns consecutive ports, beginning with
// port, to the addresses of the emulators. All users share the instances and therefore the
// data centres of the first user. The returned function returns the address with the next
// unused port on each call.
func NewLayout(port int) (Layout, func() string) {
	nextAddress := func() string {
		port++
		return fmt.Sprintf("%s:%d", host, port-1)
	}
	users := planner.Users()
	users[1] = users[1].WithDataCentres(users[0].DataCentres)
	layout := Layout{Users: users, EndpointAddresses: map[figseam.EndpointID]string{}, PlatformAddress: nextAddress()}
	for _, u := range users {
		for _, dc := range u.DataCentres {
			for _, e := range u.EngineSettings()[dc] {
				layout.EndpointAddresses[e.Name] = nextAddress()
			}
			layout.EndpointAddresses[u.ServiceEndpointID(dc)] = nextAddress()
		}
	}
	return layout, nextAddress
}

// WriteLayout writes the settings and objects of a deployment into a directory. It prints
// to out the commands that start the deployment and publish its configuration.
func WriteLayout(dir string, port int, out io.Writer) (err error) {
	defer func() { err = eris.Wrap(err, "write layout") }()
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return err
	}
	layout, nextAddress := NewLayout(port)
	users := layout.Users
	dataDir := func(id figseam.InstanceID) string { return filepath.Join(dir, "data", string(id)) }
	instanceSettings := planner.InstanceSettings(users[0].Region, users[0].DataCentres, "http://"+layout.PlatformAddress, dataDir, nextAddress)
	urls := map[figseam.EndpointID]string{}
	for id, address := range layout.EndpointAddresses {
		urls[id] = "http://" + address
	}
	for _, u := range users {
		if err := writeJSON(filepath.Join(dir, u.Name+".objects.json"), u.ConfigObjects(urls)); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(out, "# stand-ins for engines, services and the platform\nbin/figload standins -port %d\n# instances\n", port)
	for _, s := range instanceSettings {
		file := filepath.Join(dir, string(s.Instance)+".settings.json")
		if err := writeJSON(file, s); err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "bin/figseamd -settings %s\n", file)
	}
	_, _ = fmt.Fprintf(out, "# configuration\nbin/figctl -operators %s publish", instanceSettings[0].OperatorAddress)
	for _, u := range users {
		_, _ = fmt.Fprintf(out, " %s", filepath.Join(dir, u.Name+".objects.json"))
	}
	_, _ = fmt.Fprintf(out, "\n# callers\ncurl -N http://%s/v1/completions -d '{\"model\":\"%s\",\"prompt\":\"hello\",\"stream\":true}'\n", instanceSettings[0].CallerAddress, users[0].InteractiveRoute)
	return nil
}

func writeJSON(file string, v any) error {
	encoded, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(encoded, '\n'), fileMode)
}

// StartEmulators starts the emulators of the layout whose first port is port. They run
// until the fleet is closed.
func StartEmulators(port int) (fleet *emulator.Fleet, err error) {
	defer func() { err = eris.Wrap(err, "start stand-ins") }()
	layout, _ := NewLayout(port)
	fleet = emulator.NewFleet()
	defer func() {
		if err != nil {
			fleet.Close()
		}
	}()
	if _, err := fleet.AddPlatformList(layout.PlatformAddress); err != nil {
		return nil, err
	}
	for _, u := range layout.Users {
		for _, dc := range u.DataCentres {
			for _, e := range u.EngineSettings()[dc] {
				if _, err := fleet.AddEngine(e, layout.EndpointAddresses[e.Name]); err != nil {
					return nil, err
				}
			}
			name := u.ServiceEndpointID(dc)
			if _, err := fleet.AddService(name, emulator.NewService(nil, serviceLatencyMillis), layout.EndpointAddresses[name]); err != nil {
				return nil, err
			}
		}
	}
	return fleet, nil
}
