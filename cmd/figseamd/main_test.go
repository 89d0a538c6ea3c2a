package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const sound = `{"instance":"a","data_centre":"dc","region":"r","callers":"127.0.0.1:1","operators":"127.0.0.1:2",
"peers":"127.0.0.1:3","metrics":"127.0.0.1:4","seeds":[],"voters":[{"instance":"b","address":"127.0.0.1:5"}]}`

var runs = []struct {
	name     string
	settings string
	args     []string
	exit     int
	out      string
	errs     string
}{
	{"version", "", []string{"-version"}, exitOK, "figseamd", ""},
	{"no settings", "", nil, exitUsage, "", "settings"},
	{"unknown flag", "", []string{"-colour"}, exitUsage, "", "colour"},
	{"file is not there", "", []string{"-settings", "/nowhere.json"}, exitFailed, "", "/nowhere.json"},
	{"sound", sound, []string{"-check"}, exitOK, "sound", ""},
	{"faults", `{"instance":7}`, []string{"-check"}, exitFaults, "", `settings.json:1: field "instance": expected a string, found 7`},
}

func TestRun(t *testing.T) {
	for _, c := range runs {
		t.Run(c.name, func(t *testing.T) {
			args := c.args
			if c.settings != "" {
				file := filepath.Join(t.TempDir(), "settings.json")
				require.NoError(t, os.WriteFile(file, []byte(c.settings), 0o600))
				args = append([]string{"-settings", file}, args...)
			}
			var out, errs bytes.Buffer
			require.Equal(t, c.exit, run(args, &out, &errs), errs.String())
			require.Contains(t, out.String(), c.out)
			require.Contains(t, errs.String(), c.errs)
		})
	}
}

// TestChangedFileIsSeen holds that a settings file that changes without a signal is
// read again, once for each change.
func TestChangedFileIsSeen(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string, at time.Time) {
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		require.NoError(t, os.Chtimes(file, at, at))
	}
	began := time.Unix(1_700_000_000, 0)
	write("{}", began)
	w := newWatch(file)
	require.False(t, w.changed())
	write("{ }", began)
	require.True(t, w.changed(), "another length")
	require.False(t, w.changed())
	write("{ }", began.Add(time.Second))
	require.True(t, w.changed(), "another time")
	require.NoError(t, os.Remove(file))
	require.False(t, w.changed(), "a file that is being replaced")
}
