package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/gateway"
)

const class = `{"kind":"account_class","name":"gold","requests_per_s":5,"burst":5}`

// operators plays an instance that answers a change in a fixed way.
func operators(t *testing.T, status int, body any) string {
	mux := http.NewServeMux()
	answer := func(v any) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(v) }
	}
	mux.HandleFunc("/v1/config", answer(gateway.ConfigResponse{Version: 3, Objects: []json.RawMessage{json.RawMessage(class)}}))
	mux.HandleFunc("/v1/spread", answer(gateway.RolloutStatus{LowestVersion: 4, Versions: []gateway.InstanceVersion{{Instance: "a", Version: 4}}}))
	mux.HandleFunc("/v1/changes", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func invoke(t *testing.T, args ...string) (exit int, out, errs string) {
	var o, e bytes.Buffer
	exit = run(t.Context(), args, &o, &e)
	return exit, o.String(), e.String()
}

func objects(t *testing.T, text string) string {
	file := filepath.Join(t.TempDir(), "objects.json")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestUsage(t *testing.T) {
	for _, args := range [][]string{{}, {"dance"}, {"check"}, {"explain", "no-such-code"}, {"-colour"}} {
		exit, _, errs := invoke(t, args...)
		require.Equal(t, exitUsage, exit, "%v", args)
		require.NotEmpty(t, errs)
	}
}

func TestCheck(t *testing.T) {
	exit, out, _ := invoke(t, "check", objects(t, class))
	require.Equal(t, exitOK, exit)
	require.Contains(t, out, "1 objects are sound")
	exit, _, errs := invoke(t, "check", objects(t, `{"kind":"account","name":"faro","class":"none"}`))
	require.Equal(t, exitFaults, exit)
	require.Contains(t, errs, "dangling_name")
}

func TestExplain(t *testing.T) {
	exit, out, _ := invoke(t, "explain", string(explainer.NoQuorum))
	require.Equal(t, exitOK, exit)
	require.Contains(t, out, "What to do:")
	exit, out, _ = invoke(t, "explain")
	require.Equal(t, exitOK, exit)
	require.Contains(t, out, string(explainer.PossiblyExecuted))
}

// publishes are answers to a change and the exit code that each must give.
var publishes = []struct {
	name   string
	status int
	body   any
	exit   int
	text   string
}{
	{"applied", 200, gateway.ChangeResponse{Version: 4}, exitOK, "in force on all 1 instances"},
	{"conflict", 409, map[string]any{"code": explainer.VersionConflict, "outcome": figseam.OutcomeNotRun}, exitConflict, "-base 3"},
	{"no majority", 503, map[string]any{"code": explainer.NoQuorum, "outcome": figseam.OutcomeNotRun}, exitFailed, "no_majority"},
	{"unknown", 503, map[string]any{"code": explainer.NoQuorum, "outcome": figseam.OutcomeUnknown}, exitUnknown, "-change"},
	{"faults", 422, map[string]any{"code": explainer.InvalidObjects, "faults": []map[string]any{{"code": "dangling_name", "detail": "x"}}}, exitFaults, "dangling_name"},
}

func TestPublish(t *testing.T) {
	for _, c := range publishes {
		t.Run(c.name, func(t *testing.T) {
			address := operators(t, c.status, c.body)
			exit, out, errs := invoke(t, "-operators", address, "publish", objects(t, class))
			require.Equal(t, c.exit, exit, errs)
			require.Contains(t, out+errs, c.text)
		})
	}
}

func TestNoAnswerLeavesTheOutcomeOpen(t *testing.T) {
	exit, _, errs := invoke(t, "-operators", "127.0.0.1:1", "publish", "-base", "3", "-change", "n", objects(t, class))
	require.Equal(t, exitUnknown, exit)
	require.Contains(t, errs, "-change n -base 3")
}

func TestDiff(t *testing.T) {
	address := operators(t, 200, nil)
	exit, out, _ := invoke(t, "-operators", address, "diff", objects(t, strings.Replace(class, `"burst":5`, `"burst":6`, 1)))
	require.Equal(t, exitOK, exit)
	require.Contains(t, out, "+ account_class/gold")
	exit, out, _ = invoke(t, "-operators", address, "diff", objects(t, class))
	require.Equal(t, exitOK, exit)
	require.Empty(t, out)
}

func TestTrace(t *testing.T) {
	log := objects(t, `{"instance":"front-1","request":"r1","code":"no_room","status":503,"ms":2500,"waited_ms":2499,"input_tokens":9,`+
		`"steps":[{"endpoint":"e1","stage":"hold","reason":"least_work","charge_ms":3.5,"result":"not_connected","ms":100}],`+
		`"time":"2026-12-04T10:00:04.000Z","message":"request ended"}`+"\n")
	exit, out, _ := invoke(t, "trace", "r1", log)
	require.Equal(t, exitOK, exit)
	require.Contains(t, out, "10:00:01.500 front-1")
	require.Contains(t, out, "hold at e1 (least_work, charged 4 ms): not_connected after 100 ms")
	require.Contains(t, out, "What to do:")
	exit, _, errs := invoke(t, "trace", "r2", log)
	require.Equal(t, exitFailed, exit)
	require.Contains(t, errs, "no line tells of the end of request r2")
	exit, _, _ = invoke(t, "trace")
	require.Equal(t, exitUsage, exit)
	exit, _, errs = invoke(t, "trace", "r1", "no-such-file")
	require.Equal(t, exitFailed, exit)
	require.Contains(t, errs, "no-such-file")
}
