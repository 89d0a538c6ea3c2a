package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/figseam/figseam/loader"
	"github.com/figseam/figseam/runner"
)

// Roles of instances that relay opaque requests.
const (
	roleEntry = "entry"
	roleVoter = "voter"
)

// lookMillis is how often it is looked whether the settings file has changed.
const lookMillis = 1000

// runRelay runs an entry or a voter. SIGTERM and an interrupt make it leave in
// order; SIGHUP and a changed settings file make it read its settings again.
func runRelay(file, role string, check bool, out, errs io.Writer) int {
	settings, faults, err := loader.LoadRelay(file, role == roleVoter)
	if code := report(faults, err, check, out, errs); code != goOn {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	w := newWatch(file)
	reloads := make(chan loader.RelaySettings)
	go func() {
		looks := time.NewTicker(lookMillis * time.Millisecond)
		defer looks.Stop()
		for {
			select {
			case <-hangups:
			case <-looks.C:
				if !w.changed() {
					continue
				}
			}
			changed, faults, err := loader.LoadRelay(file, role == roleVoter)
			if err != nil || len(faults) > 0 {
				_, _ = fmt.Fprintln(errs, "figseamd: the changed settings are not used:", err, faults)
				continue
			}
			reloads <- changed
		}
	}()
	if role == roleVoter {
		err = runner.RunVoterWithRestarts(ctx, settings, out, func(v *runner.Voter) { go reload(ctx, reloads, v.ReloadSettings) })
	} else {
		e := runner.NewEntryInstance(settings, out)
		go reload(ctx, reloads, e.ReloadSettings)
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

// watch finds out whether a file was written again.
type watch struct {
	file string
	seen stamp
}

// stamp is what changes with a file.
type stamp struct {
	modified time.Time
	bytes    int64
}

func newWatch(file string) *watch {
	w := &watch{file: file}
	w.changed()
	return w
}

// changed reports whether the file has changed since the last look. One that is not
// there has not.
func (w *watch) changed() bool {
	info, err := os.Stat(w.file)
	if err != nil {
		return false
	}
	now := stamp{modified: info.ModTime(), bytes: info.Size()}
	if now.bytes == w.seen.bytes && now.modified.Equal(w.seen.modified) {
		return false
	}
	w.seen = now
	return true
}
