package tracer_test

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam/cmd/figctl/tracer"
)

const (
	frontLog = `  10.1 front-1 {"instance":"front-1","keeper":"k","time":"2026-12-04T10:00:00.100Z","message":"keeper lost"}
no log line
{"instance":"front-1","request":"other","ms":5,"time":"2026-12-04T10:00:03.000Z","message":"request ended"}
{"instance":"front-1","request":"r","code":"no_room","status":503,"ms":2500,"waited_ms":2499,"steps":[{"endpoint":"e1","stage":"hold","reason":"least_work","charge_ms":3.5,"result":"not_connected","ms":100}],"time":"2026-12-04T10:00:04.000Z","message":"request ended"}
{"instance":"front-1","time":"2026-12-04T10:00:09.000Z","message":"keeper regained"}
`
	mixedLog = `{"instance":"core-1","endpoint":"e1","time":"2026-12-04T10:00:02.000Z","message":"engine ordered to change its stage"}
{"instance":"core-1","endpoint":"e2","time":"2026-12-04T10:00:02.000Z","message":"engine ordered to change its stage"}
{"instance":"front-2","time":"2026-12-04T10:00:02.000Z","message":"keeper lost"}
{"instance":"front-2","request":"r","code":"answered","status":200,"ms":300,"steps":[],"time":"2026-12-04T10:00:08.000Z","message":"request ended"}
`
)

func TestReadSelectsRelevantLines(t *testing.T) {
	tests := []struct {
		name     string
		request  string
		logs     []string
		attempts []string
		changes  []string
	}{
		{"one instance", "r", []string{frontLog}, []string{"front-1 no_room"}, []string{"front-1 keeper lost"}},
		{
			"several instances", "r",
			[]string{mixedLog, frontLog},
			[]string{"front-1 no_room", "front-2 answered"},
			[]string{"front-1 keeper lost", "core-1 engine ordered to change its stage"},
		},
		{"another request", "other", []string{frontLog}, []string{"front-1 "}, []string{"front-1 keeper lost"}},
		{"unknown request", "none", []string{frontLog, mixedLog}, nil, nil},
		{"no lines", "r", []string{""}, nil, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var logs []io.Reader
			for _, l := range test.logs {
				logs = append(logs, strings.NewReader(l))
			}
			trace, err := tracer.Read(test.request, logs...)
			require.NoError(t, err)
			var attempts, changes []string
			for _, a := range trace.Attempts {
				attempts = append(attempts, a.Instance+" "+a.Code)
			}
			for _, change := range trace.StateChanges {
				changes = append(changes, change.Instance+" "+change.Message)
			}
			require.Equal(t, test.attempts, attempts)
			require.Equal(t, test.changes, changes)
		})
	}
}

// TestReadReturnsErrorForTooLongLine guards against a trace that silently omits log lines.
func TestReadReturnsErrorForTooLongLine(t *testing.T) {
	_, err := tracer.Read("r", strings.NewReader(strings.Repeat("x", 2<<20)))
	require.ErrorContains(t, err, "trace request r")
}
