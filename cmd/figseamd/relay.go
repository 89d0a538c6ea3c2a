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

// Roles of instances that relay opaque requests, as given by the flag -role.
const (
	roleEntry = "entry"
	roleVoter = "voter"
)

// settingsPollIntervalMillis is the interval between two checks of the settings file for a
// change.
const settingsPollIntervalMillis = 1000

// runRelay runs an entry instance or a voter until it ends and returns the exit code. SIGTERM
// or an interrupt starts a graceful shutdown; SIGHUP or a changed settings file reloads the
// settings.
func runRelay(file, role string, check bool, stdout, stderr io.Writer) int {
	settings, faults, err := loader.LoadRelay(file, role == roleVoter)
	if code := reportSettings(faults, err, check, stdout, stderr); code != continueRunning {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	watcher := newFileWatcher(file)
	reloads := make(chan loader.RelaySettings)
	go func() {
		ticker := time.NewTicker(settingsPollIntervalMillis * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-hangups:
			case <-ticker.C:
				if !watcher.hasChanged() {
					continue
				}
			}
			changed, faults, err := loader.LoadRelay(file, role == roleVoter)
			if err != nil || len(faults) > 0 {
				_, _ = fmt.Fprintln(stderr, "figseamd: the changed settings are not used:", err, faults)
				continue
			}
			reloads <- changed
		}
	}()
	if role == roleVoter {
		err = runner.RunVoterWithRestarts(ctx, settings, reloads, stdout)
	} else {
		e := runner.NewEntryInstance(settings, stdout)
		go applyReloads(ctx, reloads, e.ReloadSettings)
		err = e.Run(ctx)
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "figseamd:", err)
		return exitFailed
	}
	return exitOK
}

// applyReloads calls apply with each set of changed settings until ctx is done.
func applyReloads(ctx context.Context, reloads <-chan loader.RelaySettings, apply func(loader.RelaySettings)) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-reloads:
			apply(s)
		}
	}
}

// fileWatcher detects changes of a file by its modification time and size.
type fileWatcher struct {
	file     string
	lastSeen fileVersion
}

// fileVersion holds the attributes by which a change of a file is detected.
type fileVersion struct {
	modified  time.Time
	sizeBytes int64
}

func newFileWatcher(file string) *fileWatcher {
	watcher := &fileWatcher{file: file}
	watcher.hasChanged()
	return watcher
}

// hasChanged reports whether the file has changed since the last call. A missing file counts
// as unchanged, since it may be about to be replaced.
func (w *fileWatcher) hasChanged() bool {
	info, err := os.Stat(w.file)
	if err != nil {
		return false
	}
	current := fileVersion{modified: info.ModTime(), sizeBytes: info.Size()}
	if current.sizeBytes == w.lastSeen.sizeBytes && current.modified.Equal(w.lastSeen.modified) {
		return false
	}
	w.lastSeen = current
	return true
}
