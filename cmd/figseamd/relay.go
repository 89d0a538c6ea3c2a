package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/figseam/figseam/loader"
	"github.com/figseam/figseam/runner"
)

// Roles of instances that relay opaque requests.
const (
	roleEntry = "entry"
	roleVoter = "voter"
)

// runRelay runs an entry or a voter. SIGTERM and an interrupt make it leave in
// order; SIGHUP makes it read its settings again.
func runRelay(file, role string, check bool, out, errs io.Writer) int {
	settings, faults, err := loader.LoadRelay(file, role == roleVoter)
	if code := report(faults, err, check, out, errs); code != goOn {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	reloads := make(chan loader.RelaySettings)
	go func() {
		for range hangups {
			changed, faults, err := loader.LoadRelay(file, role == roleVoter)
			if err != nil || len(faults) > 0 {
				_, _ = fmt.Fprintln(errs, "figseamd: the changed settings are not used:", err, faults)
				continue
			}
			reloads <- changed
		}
	}()
	if role == roleVoter {
		err = runner.RunVoter(ctx, settings, out, func(v *runner.Voter) { go reload(ctx, reloads, v.Reload) })
	} else {
		e := runner.NewEntry(settings, out)
		go reload(ctx, reloads, e.Reload)
		err = e.Run(ctx)
	}
	if err != nil {
		_, _ = fmt.Fprintln(errs, "figseamd:", err)
		return exitFailed
	}
	return exitOK
}

// reload hands changed settings on until ctx ends.
func reload(ctx context.Context, reloads <-chan loader.RelaySettings, use func(loader.RelaySettings)) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-reloads:
			use(s)
		}
	}
}
