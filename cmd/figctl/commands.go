package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/checker"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/gateway"
)

const (
	// inForceMillis is how long publish waits for all instances.
	inForceMillis = 30_000
	pollMillis    = 100
)

// publishFlags are the flags of publish.
type publishFlags struct {
	base   int64
	change string
	author string
	delete string
}

func (p *publishFlags) register(name string, flags *flag.FlagSet) {
	if name != "publish" {
		return
	}
	flags.Int64Var(&p.base, "base", -1, "`VERSION` that the change is based on; the one in force if left out")
	flags.StringVar(&p.change, "change", "", "change `NUMBER`; give the same one to send a change again")
	flags.StringVar(&p.author, "author", "", "`NAME` for the history")
	flags.StringVar(&p.delete, "delete", "", "`KIND/NAME` of an object to remove")
}

func runCheck(_ context.Context, s *session) error {
	objects, err := s.readObjects()
	if err != nil {
		return err
	}
	if faults := checker.Check(objects); len(faults) > 0 {
		return faultsError(faults)
	}
	s.say("%d objects are sound", len(objects))
	return nil
}

func (s *session) readObjects() ([]checker.Object, error) {
	if s.flags.NArg() == 0 && s.publish.delete == "" {
		return nil, fmt.Errorf("%w: name at least one file", errUsage)
	}
	objects, faults, err := checker.ReadFiles(s.flags.Args()...)
	if err != nil {
		return nil, err
	}
	if len(faults) > 0 {
		return nil, faultsError(append(faults, checker.Check(objects)...))
	}
	return objects, nil
}

func runPublish(ctx context.Context, s *session) error {
	objects, err := s.readObjects()
	if err != nil {
		return err
	}
	body := gateway.ChangeBody{ChangeID: s.publish.change, Author: s.publish.author}
	if body.ChangeID == "" {
		body.ChangeID = uuid.NewString()
	}
	for _, o := range objects {
		body.Objects = append(body.Objects, o.Body)
	}
	if s.publish.delete != "" {
		body.Deletes = []string{s.publish.delete}
	}
	body.BaseVersion = uint64(max(0, s.publish.base))
	if s.publish.base < 0 {
		config, err := s.client.Config(ctx)
		if err != nil {
			return err
		}
		body.BaseVersion = config.Version
	}
	answer, err := s.client.Publish(ctx, body)
	if err != nil {
		_, _ = fmt.Fprintf(s.errs, "figctl: to send this change again: -change %s -base %d\n", body.ChangeID, body.BaseVersion)
		return err
	}
	return s.awaitForce(ctx, answer.Version)
}

// awaitForce waits until the version is in force on every instance.
func (s *session) awaitForce(ctx context.Context, version uint64) error {
	deadline := figseam.DeadlineAfterMillis(inForceMillis)
	for {
		spread, err := s.client.ConfigVersions(ctx)
		if err == nil && spread.LowestVersion >= version && len(spread.Unreachable) == 0 {
			if s.json {
				s.printJSON(gateway.ChangeResponse{Version: version})
				return nil
			}
			s.say("version %d is in force on all %d instances", version, len(spread.Versions))
			return nil
		}
		if deadline.Passed() || ctx.Err() != nil {
			s.say("version %d is published; not yet known to be in force everywhere (lowest %d, silent %v)", version, spread.LowestVersion, spread.Unreachable)
			return nil
		}
		time.Sleep(pollMillis * time.Millisecond)
	}
}

func runGet(ctx context.Context, s *session) error {
	config, err := s.client.Config(ctx)
	if err != nil {
		return err
	}
	s.printJSON(config)
	return nil
}

func runHistory(ctx context.Context, s *session) error {
	history, err := s.client.History(ctx)
	if err != nil {
		return err
	}
	if s.json {
		s.printJSON(history)
		return nil
	}
	for _, d := range history {
		s.say("%6d  %s  %s", d.Version, d.ChangeID, d.Author)
	}
	return nil
}

func runDiff(ctx context.Context, s *session) error {
	objects, err := s.readObjects()
	if err != nil {
		return err
	}
	config, err := s.client.Config(ctx)
	if err != nil {
		return err
	}
	current := map[figseam.ObjectID][]byte{}
	for _, text := range config.Objects {
		read, _ := checker.Parse("in force", text)
		for _, o := range read {
			current[o.ID] = compact(o.Body)
		}
	}
	for _, o := range objects {
		old, ok := current[o.ID]
		switch {
		case !ok:
			s.say("+ %s %s", o.ID, compact(o.Body))
		case !bytes.Equal(old, compact(o.Body)):
			s.say("- %s %s\n+ %s %s", o.ID, old, o.ID, compact(o.Body))
		}
	}
	return nil
}

func compact(text []byte) []byte {
	var b bytes.Buffer
	if json.Compact(&b, text) != nil {
		return text
	}
	return b.Bytes()
}

var instanceStates = []string{"", "alive", "suspect", "leaving", "dead"}

func runInstances(ctx context.Context, s *session) error {
	members, err := s.client.Instances(ctx)
	if err != nil {
		return err
	}
	spread, err := s.client.ConfigVersions(ctx)
	if err != nil {
		return err
	}
	if s.json {
		s.printJSON(members)
		return nil
	}
	for _, m := range members {
		version := "?"
		at := slices.IndexFunc(spread.Versions, func(v gateway.InstanceVersion) bool { return v.Instance == m.ID })
		if at >= 0 {
			version = fmt.Sprint(spread.Versions[at].Version)
		}
		s.say("%-20s %-15s %-8s %-21s version %s", m.ID, m.DataCentre, instanceStates[m.State], m.Address, version)
	}
	return nil
}

func runEndpoints(ctx context.Context, s *session) error {
	endpoints, err := s.client.Endpoints(ctx)
	if err != nil {
		return err
	}
	if s.json {
		s.printJSON(endpoints)
		return nil
	}
	for _, e := range endpoints {
		s.say("%-36s %-15s %-8s %-8s %s", e.Name, e.DataCentre, e.Role, e.State, e.Address)
	}
	return nil
}

func runStatus(ctx context.Context, s *session) error {
	status, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	s.printJSON(status)
	return nil
}

func runExplain(_ context.Context, s *session) error {
	if s.flags.NArg() == 0 {
		for _, e := range explainer.All() {
			s.say("%-22s %s", e.Code, e.Title)
		}
		return nil
	}
	e, ok := explainer.Lookup(figseam.Code(s.flags.Arg(0)))
	if !ok {
		return fmt.Errorf("%w: code %q is not known; figctl explain lists all", errUsage, s.flags.Arg(0))
	}
	if s.json {
		s.printJSON(e)
		return nil
	}
	s.say("%s: %s (since %s)\n\n%s\n\nWhat to do: %s", e.Code, e.Title, e.Since, e.Description, e.Action)
	return nil
}

func runDrain(ctx context.Context, s *session) error {
	status, err := s.client.Drain(ctx)
	if err != nil {
		return err
	}
	s.say("instance %s is leaving; %d requests are under way", status.Instance, status.ActiveRequests)
	return nil
}
