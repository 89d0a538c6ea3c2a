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
	// rolloutTimeoutMillis bounds the wait of the subcommand publish until the new version is
	// in force on all instances, and rolloutPollIntervalMillis is the interval between two
	// queries of the rollout's status.
	rolloutTimeoutMillis      = 30_000
	rolloutPollIntervalMillis = 100
)

// publishFlags holds the flags of publish. A negative baseVersion stands for the version in
// force.
type publishFlags struct {
	baseVersion int64
	changeID    string
	author      string
	delete      string
}

// register defines the flags if name is that of the subcommand publish.
func (p *publishFlags) register(name string, flags *flag.FlagSet) {
	if name != "publish" {
		return
	}
	flags.Int64Var(&p.baseVersion, "base", -1, "`VERSION` that the change is based on; the one in force if left out")
	flags.StringVar(&p.changeID, "change", "", "change `NUMBER`; give the same one to send a change again")
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
	s.printLine("%d objects are sound", len(objects))
	return nil
}

// readObjects reads the files named in the arguments. Without a file it returns a usage
// error, unless an object is to be deleted.
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
	body := gateway.ChangeBody{ChangeID: s.publish.changeID, Author: s.publish.author}
	if body.ChangeID == "" {
		body.ChangeID = uuid.NewString()
	}
	for _, o := range objects {
		body.Objects = append(body.Objects, o.Body)
	}
	if s.publish.delete != "" {
		body.Deletes = []string{s.publish.delete}
	}
	body.BaseVersion = uint64(max(0, s.publish.baseVersion))
	if s.publish.baseVersion < 0 {
		config, err := s.client.Config(ctx)
		if err != nil {
			return err
		}
		body.BaseVersion = config.Version
	}
	response, err := s.client.Publish(ctx, body)
	if err != nil {
		_, _ = fmt.Fprintf(s.stderr, "figctl: to send this change again: -change %s -base %d\n", body.ChangeID, body.BaseVersion)
		return err
	}
	return s.awaitRollout(ctx, response.Version)
}

// awaitRollout waits until the version is in force on every instance. On a timeout or when
// ctx is done it prints the state of the rollout and returns no error, since the change has
// been published.
func (s *session) awaitRollout(ctx context.Context, version uint64) error {
	deadline := figseam.DeadlineAfterMillis(rolloutTimeoutMillis)
	for {
		rollout, err := s.client.RolloutStatus(ctx)
		if err == nil && rollout.LowestVersion >= version && len(rollout.Unreachable) == 0 {
			if s.jsonOutput {
				s.printJSON(gateway.ChangeResponse{Version: version})
				return nil
			}
			s.printLine("version %d is in force on all %d instances", version, len(rollout.Versions))
			return nil
		}
		if deadline.Passed() || ctx.Err() != nil {
			s.printLine("version %d is published; not yet known to be in force everywhere (lowest %d, silent %v)", version, rollout.LowestVersion, rollout.Unreachable)
			return nil
		}
		time.Sleep(rolloutPollIntervalMillis * time.Millisecond)
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
	if s.jsonOutput {
		s.printJSON(history)
		return nil
	}
	for _, delta := range history {
		s.printLine("%6d  %s  %s", delta.Version, delta.ChangeID, delta.Author)
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
	for _, object := range config.Objects {
		parsed, _ := checker.Parse("in force", object)
		for _, o := range parsed {
			current[o.ID] = compactJSON(o.Body)
		}
	}
	for _, o := range objects {
		old, ok := current[o.ID]
		switch {
		case !ok:
			s.printLine("+ %s %s", o.ID, compactJSON(o.Body))
		case !bytes.Equal(old, compactJSON(o.Body)):
			s.printLine("- %s %s\n+ %s %s", o.ID, old, o.ID, compactJSON(o.Body))
		}
	}
	return nil
}

// compactJSON removes insignificant white space. It returns invalid JSON unchanged.
func compactJSON(text []byte) []byte {
	var b bytes.Buffer
	if json.Compact(&b, text) != nil {
		return text
	}
	return b.Bytes()
}

// instanceStates holds the printed names of the states, indexed by figseam.InstanceState.
var instanceStates = []string{"", "alive", "suspect", "leaving", "dead"}

func runInstances(ctx context.Context, s *session) error {
	members, err := s.client.Instances(ctx)
	if err != nil {
		return err
	}
	rollout, err := s.client.RolloutStatus(ctx)
	if err != nil {
		return err
	}
	if s.jsonOutput {
		s.printJSON(members)
		return nil
	}
	for _, m := range members {
		version := "?"
		index := slices.IndexFunc(rollout.Versions, func(v gateway.InstanceVersion) bool { return v.Instance == m.ID })
		if index >= 0 {
			version = fmt.Sprint(rollout.Versions[index].Version)
		}
		s.printLine("%-20s %-15s %-8s %-21s version %s", m.ID, m.DataCentre, instanceStates[m.State], m.Address, version)
	}
	return nil
}

func runEndpoints(ctx context.Context, s *session) error {
	endpoints, err := s.client.Endpoints(ctx)
	if err != nil {
		return err
	}
	if s.jsonOutput {
		s.printJSON(endpoints)
		return nil
	}
	for _, e := range endpoints {
		s.printLine("%-36s %-15s %-8s %-8s %s", e.Name, e.DataCentre, e.Role, e.State, e.Address)
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
			s.printLine("%-22s %s", e.Code, e.Title)
		}
		return nil
	}
	e, ok := explainer.Lookup(figseam.Code(s.flags.Arg(0)))
	if !ok {
		return fmt.Errorf("%w: code %q is not known; figctl explain lists all", errUsage, s.flags.Arg(0))
	}
	if s.jsonOutput {
		s.printJSON(e)
		return nil
	}
	s.printLine("%s: %s (since %s)\n\n%s\n\nWhat to do: %s", e.Code, e.Title, e.Since, e.Description, e.Action)
	return nil
}

func runDrain(ctx context.Context, s *session) error {
	status, err := s.client.Drain(ctx)
	if err != nil {
		return err
	}
	s.printLine("instance %s is leaving; %d requests are under way", status.Instance, status.ActiveRequests)
	return nil
}
