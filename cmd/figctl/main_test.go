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

const accountClass = `{"kind":"account_class","name":"gold","requests_per_s":5,"burst":5}`

// startOperatorServer starts an emulated instance that responds to every change with the
// given status and body. It returns the instance's operator address.
func startOperatorServer(t *testing.T, status int, body any) string {
	mux := http.NewServeMux()
	respondWith := func(v any) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(v) }
	}
	mux.HandleFunc("/v1/config", respondWith(gateway.ConfigResponse{Version: 3, Objects: []json.RawMessage{json.RawMessage(accountClass)}}))
	mux.HandleFunc("/v1/spread", respondWith(gateway.RolloutStatus{LowestVersion: 4, Versions: []gateway.InstanceVersion{{Instance: "a", Version: 4}}}))
	mux.HandleFunc("/v1/changes", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func runFigctl(t *testing.T, args ...string) (exitCode int, stdout, stderr string) {
	var outBuffer, errBuffer bytes.Buffer
	exitCode = run(t.Context(), args, &outBuffer, &errBuffer)
	return exitCode, outBuffer.String(), errBuffer.String()
}

// writeFile writes a text to a temporary file and returns its path.
func writeFile(t *testing.T, text string) string {
	file := filepath.Join(t.TempDir(), "objects.json")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestWrongUsageExitsWithUsageCode(t *testing.T) {
	for _, args := range [][]string{{}, {"dance"}, {"check"}, {"explain", "no-such-code"}, {"-colour"}} {
		exitCode, _, stderr := runFigctl(t, args...)
		require.Equal(t, exitUsage, exitCode, "%v", args)
		require.NotEmpty(t, stderr)
	}
}

func TestCheckReportsValidAndInvalidObjects(t *testing.T) {
	exitCode, stdout, _ := runFigctl(t, "check", writeFile(t, accountClass))
	require.Equal(t, exitOK, exitCode)
	require.Contains(t, stdout, "1 objects are sound")
	exitCode, _, stderr := runFigctl(t, "check", writeFile(t, `{"kind":"account","name":"faro","class":"none"}`))
	require.Equal(t, exitFaults, exitCode)
	require.Contains(t, stderr, "dangling_name")
}

func TestExplainPrintsOneReasonCodeOrAll(t *testing.T) {
	exitCode, stdout, _ := runFigctl(t, "explain", string(explainer.NoQuorum))
	require.Equal(t, exitOK, exitCode)
	require.Contains(t, stdout, "What to do:")
	exitCode, stdout, _ = runFigctl(t, "explain")
	require.Equal(t, exitOK, exitCode)
	require.Contains(t, stdout, string(explainer.PossiblyExecuted))
}

// publishCases are responses to a change, with the expected exit code and a part of the
// expected output.
var publishCases = []struct {
	name     string
	status   int
	body     any
	exitCode int
	output   string
}{
	{"applied", 200, gateway.ChangeResponse{Version: 4}, exitOK, "in force on all 1 instances"},
	{"conflict", 409, map[string]any{"code": explainer.VersionConflict, "outcome": figseam.OutcomeNotRun}, exitConflict, "-base 3"},
	{"no majority", 503, map[string]any{"code": explainer.NoQuorum, "outcome": figseam.OutcomeNotRun}, exitFailed, "no_majority"},
	{"unknown", 503, map[string]any{"code": explainer.NoQuorum, "outcome": figseam.OutcomeUnknown}, exitUnknownOutcome, "-change"},
	{"faults", 422, map[string]any{"code": explainer.InvalidObjects, "faults": []map[string]any{{"code": "dangling_name", "detail": "x"}}}, exitFaults, "dangling_name"},
}

func TestPublishMapsOutcomesToExitCodes(t *testing.T) {
	for _, c := range publishCases {
		t.Run(c.name, func(t *testing.T) {
			address := startOperatorServer(t, c.status, c.body)
			exitCode, stdout, stderr := runFigctl(t, "-operators", address, "publish", writeFile(t, accountClass))
			require.Equal(t, c.exitCode, exitCode, stderr)
			require.Contains(t, stdout+stderr, c.output)
		})
	}
}

func TestPublishWithoutResponseExitsWithUnknownOutcome(t *testing.T) {
	exitCode, _, stderr := runFigctl(t, "-operators", "127.0.0.1:1", "publish", "-base", "3", "-change", "n", writeFile(t, accountClass))
	require.Equal(t, exitUnknownOutcome, exitCode)
	require.Contains(t, stderr, "-change n -base 3")
}

func TestDiffPrintsOnlyChangedObjects(t *testing.T) {
	address := startOperatorServer(t, 200, nil)
	exitCode, stdout, _ := runFigctl(t, "-operators", address, "diff", writeFile(t, strings.Replace(accountClass, `"burst":5`, `"burst":6`, 1)))
	require.Equal(t, exitOK, exitCode)
	require.Contains(t, stdout, "+ account_class/gold")
	exitCode, stdout, _ = runFigctl(t, "-operators", address, "diff", writeFile(t, accountClass))
	require.Equal(t, exitOK, exitCode)
	require.Empty(t, stdout)
}

func TestTracePrintsAttemptsOfARequest(t *testing.T) {
	log := writeFile(t, `{"instance":"front-1","request":"r1","code":"no_room","status":503,"ms":2500,"waited_ms":2499,"input_tokens":9,`+
		`"steps":[{"endpoint":"e1","stage":"hold","reason":"least_work","charge_ms":3.5,"result":"not_connected","ms":100}],`+
		`"time":"2026-12-04T10:00:04.000Z","message":"request ended"}`+"\n")
	exitCode, stdout, _ := runFigctl(t, "trace", "r1", log)
	require.Equal(t, exitOK, exitCode)
	require.Contains(t, stdout, "10:00:01.500 front-1")
	require.Contains(t, stdout, "hold at e1 (least_work, charged 4 ms): not_connected after 100 ms")
	require.Contains(t, stdout, "What to do:")
	exitCode, _, stderr := runFigctl(t, "trace", "r2", log)
	require.Equal(t, exitFailed, exitCode)
	require.Contains(t, stderr, "no line tells of the end of request r2")
	exitCode, _, _ = runFigctl(t, "trace")
	require.Equal(t, exitUsage, exitCode)
	exitCode, _, stderr = runFigctl(t, "trace", "r1", "no-such-file")
	require.Equal(t, exitFailed, exitCode)
	require.Contains(t, stderr, "no-such-file")
}
