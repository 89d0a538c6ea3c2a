package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/cmd/figctl/tracer"
	"github.com/figseam/figseam/explainer"
)

// clock is how times of log lines are shown.
const clock = "15:04:05.000"

// runTrace tells the story of a request from logs: the named files, or standard input.
func runTrace(_ context.Context, s *session) error {
	if s.flags.NArg() == 0 {
		return fmt.Errorf("%w: trace needs the ID of a request", errUsage)
	}
	logs := []io.Reader{os.Stdin}
	if files := s.flags.Args()[1:]; len(files) > 0 {
		logs = nil
		for _, name := range files {
			f, err := os.Open(name)
			if err != nil {
				return err
			}
			defer func() { _ = f.Close() }()
			logs = append(logs, f)
		}
	}
	story, err := tracer.Read(s.flags.Arg(0), logs...)
	if err != nil {
		return err
	}
	if len(story.Attempts) == 0 {
		return fmt.Errorf("no line tells of the end of request %s: its instance may have ended before it, or the line was dropped", s.flags.Arg(0))
	}
	if s.json {
		s.printJSON(story)
		return nil
	}
	for _, a := range story.Attempts {
		s.tellAttempt(a)
	}
	if len(story.Beliefs) > 0 {
		s.say("\nWhat its instances and endpoints went through meanwhile:")
	}
	for _, b := range story.Beliefs {
		s.say("  %s %s: %s", b.Time.Format(clock), b.Instance, b.Line)
	}
	return nil
}

// tellAttempt prints what one instance did with the request.
func (s *session) tellAttempt(a tracer.RequestRecord) {
	s.say("%s %s: %s %s of service %s, by configuration %d and a list %d ms old",
		a.StartTime().Format(clock), a.Instance, a.Semantics, a.Route, a.Service, a.ConfigVersion, a.ListAgeMillis)
	if a.InputTokens > 0 {
		s.say("  prompt of %d tokens, %d at most generated; waited %d ms for memory, refused by engines %d times", a.InputTokens, a.MaxOutputTokens, a.WaitedMillis, a.Refusals)
	}
	for _, p := range a.Dispatches {
		result := p.Result
		if result == "" {
			result = "done"
		}
		s.say("  %s at %s (%s, charged %.0f ms): %s after %d ms", p.Stage, p.Endpoint, p.Reason, p.ChargeMillis, result, p.DurationMillis)
	}
	if a.FirstEventMillis > 0 {
		s.say("  first event after %d ms, last event %d", a.FirstEventMillis, a.LastEventID)
	}
	s.say("%s %s: ended after %d ms with status %d, %s", a.Time.Format(clock), a.Instance, a.DurationMillis, a.Status, a.Code)
	if e, ok := explainer.Lookup(figseam.Code(a.Code)); ok {
		s.say("  %s: %s\n  What to do: %s", e.Title, e.Description, e.Action)
	}
}
