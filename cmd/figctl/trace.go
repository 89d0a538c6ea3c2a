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

// logTimeFormat is the printed format of the times of log lines.
const logTimeFormat = "15:04:05.000"

// runTrace prints the attempts of a request, read from the logs in the named files or from
// standard input.
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
	trace, err := tracer.Read(s.flags.Arg(0), logs...)
	if err != nil {
		return err
	}
	if len(trace.Attempts) == 0 {
		return fmt.Errorf("no line tells of the end of request %s: its instance may have ended before it, or the line was dropped", s.flags.Arg(0))
	}
	if s.jsonOutput {
		s.printJSON(trace)
		return nil
	}
	for _, a := range trace.Attempts {
		s.printAttempt(a)
	}
	if len(trace.StateChanges) > 0 {
		s.printLine("\nWhat its instances and endpoints went through meanwhile:")
	}
	for _, change := range trace.StateChanges {
		s.printLine("  %s %s: %s", change.Time.Format(logTimeFormat), change.Instance, change.Line)
	}
	return nil
}

// printAttempt prints one attempt, which is the record of the request on one instance.
func (s *session) printAttempt(a tracer.RequestRecord) {
	s.printLine("%s %s: %s %s of service %s, by configuration %d and a list %d ms old",
		a.StartTime().Format(logTimeFormat), a.Instance, a.Semantics, a.Route, a.Service, a.ConfigVersion, a.ListAgeMillis)
	if a.InputTokens > 0 {
		s.printLine("  prompt of %d tokens, %d at most generated; waited %d ms for memory, refused by engines %d times", a.InputTokens, a.MaxOutputTokens, a.WaitedMillis, a.Refusals)
	}
	for _, step := range a.Steps {
		result := step.Result
		if result == "" {
			result = "done"
		}
		s.printLine("  %s at %s (%s, charged %.0f ms): %s after %d ms", step.Stage, step.Endpoint, step.Reason, step.CostMillis, result, step.DurationMillis)
	}
	if a.FirstEventMillis > 0 {
		s.printLine("  first event after %d ms, last event %d", a.FirstEventMillis, a.LastEventID)
	}
	s.printLine("%s %s: ended after %d ms with status %d, %s", a.Time.Format(logTimeFormat), a.Instance, a.DurationMillis, a.Status, a.Code)
	if e, ok := explainer.Lookup(figseam.Code(a.Code)); ok {
		s.printLine("  %s: %s\n  What to do: %s", e.Title, e.Description, e.Action)
	}
}
