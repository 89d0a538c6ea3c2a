package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const validSettings = `{"instance":"a","data_centre":"dc","region":"r","callers":"127.0.0.1:1","operators":"127.0.0.1:2",
"peers":"127.0.0.1:3","metrics":"127.0.0.1:4","seeds":[],"voters":[{"instance":"b","address":"127.0.0.1:5"}]}`

var runCases = []struct {
	name     string
	settings string
	args     []string
	exitCode int
	stdout   string
	stderr   string
}{
	{"version", "", []string{"-version"}, exitOK, "figseamd", ""},
	{"no settings", "", nil, exitUsage, "", "settings"},
	{"unknown flag", "", []string{"-colour"}, exitUsage, "", "colour"},
	{"missing file", "", []string{"-settings", "/nowhere.json"}, exitFailed, "", "/nowhere.json"},
	{"sound", validSettings, []string{"-check"}, exitOK, "sound", ""},
	{"faults", `{"instance":7}`, []string{"-check"}, exitFaults, "", `settings.json:1: field "instance": expected a string, found 7`},
}

func TestRunReturnsExitCodes(t *testing.T) {
	for _, c := range runCases {
		t.Run(c.name, func(t *testing.T) {
			args := c.args
			if c.settings != "" {
				file := filepath.Join(t.TempDir(), "settings.json")
				require.NoError(t, os.WriteFile(file, []byte(c.settings), 0o600))
				args = append([]string{"-settings", file}, args...)
			}
			var stdout, stderr bytes.Buffer
			require.Equal(t, c.exitCode, run(args, &stdout, &stderr), stderr.String())
			require.Contains(t, stdout.String(), c.stdout)
			require.Contains(t, stderr.String(), c.stderr)
		})
	}
}

// TestFileWatcherReportsEachChangeOnce guards against a changed settings file that is not
// reloaded unless a SIGHUP arrives, or that is reloaded more than once for one change.
func TestFileWatcherReportsEachChangeOnce(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string, modified time.Time) {
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		require.NoError(t, os.Chtimes(file, modified, modified))
	}
	modTime := time.Unix(1_700_000_000, 0)
	write("{}", modTime)
	watcher := newFileWatcher(file)
	require.False(t, watcher.hasChanged())
	write("{ }", modTime)
	require.True(t, watcher.hasChanged(), "the length changed")
	require.False(t, watcher.hasChanged())
	write("{ }", modTime.Add(time.Second))
	require.True(t, watcher.hasChanged(), "the modification time changed")
	require.NoError(t, os.Remove(file))
	require.False(t, watcher.hasChanged(), "a missing file must count as unchanged")
}
