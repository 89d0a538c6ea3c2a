// Command reviewrig runs the scripts of the second review: it starts entries and voters as
// processes, and stand-ins of the platform's list, of servers and of clients.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Ports of the system's processes. Each process has a loopback address of its own.
const (
	callerPort    = 8149
	readinessPort = 8141
	operatorPort  = 8144
	peerPort      = 7380
	metricsPort   = 9464
	listPort      = 8142
	serverPort    = 8080
)

// caseRun is one run of a case with the processes and stand-ins that it started.
type caseRun struct {
	trouble bool
	daemon  string
	dir     string
	network int
	record  *os.File
	began   time.Time

	mu        sync.Mutex
	processes []*exec.Cmd
	listed    []map[string]any
	// ended is set once the result is recorded.
	ended bool
	// torn is written into the list behind the first entry, as it is; empty for nothing.
	torn string
}

// cases holds the cases by name. Each returns an exit code.
var cases = map[string]func(r *caseRun) (int, error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewrig CASE DAEMON RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(c func(r *caseRun) (int, error), daemon, record string) int {
	dir, err := os.MkdirTemp("", "reviewrig")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	r := &caseRun{
		trouble: os.Getenv("TROUBLE") != "0", daemon: daemon, dir: dir, network: freeNetwork(), record: file, began: time.Now(),
	}
	defer r.endProcesses()
	go r.endEarly(dir)
	r.note("start, trouble %v", r.trouble)
	code, err := c(r)
	if err != nil {
		r.note("the case could not run: %v", err)
		code = exitNotRun
	}
	r.note("exit code %d", code)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	return code
}

// maxRunTime is the longest time that a case may run.
const maxRunTime = 115 * time.Second

// endEarly ends the case with all its processes when it is interrupted or takes too long.
func (r *caseRun) endEarly(dir string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case s := <-signals:
		r.note("ended by signal %v", s)
	case <-time.After(maxRunTime):
		r.note("not ended within %v", maxRunTime)
	}
	r.endProcesses()
	_ = os.RemoveAll(dir)
	os.Exit(exitNotRun)
}

// freeNetwork returns the second byte of loopback addresses that no process listens on.
func freeNetwork() int {
	for n := 40 + os.Getpid()%150; ; n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", n%250+1, listPort))
		if err != nil {
			continue
		}
		_ = l.Close()
		return n%250 + 1
	}
}

// note writes a line to the record and to standard output.
func (r *caseRun) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.record, line)
	fmt.Println(line)
}

// address returns the loopback address of a host, with a port.
func (r *caseRun) address(host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", r.network, host/250, host%250+1, port)
}

// Hosts of the processes and stand-ins.
const (
	listHost   = 0
	voterHosts = 10
	entryHosts = 20
	serverHost = 100
)

// settings returns the settings of a process as the template of its role renders them for a
// small deployment.
func (r *caseRun) settings(role string, host int, name, zone string, changes map[string]any) map[string]any {
	s := map[string]any{
		"instance": name, "data_centre": zone,
		"peers": r.address(host, peerPort), "metrics": r.address(host, metricsPort),
		"seeds": []string{r.address(voterHosts, operatorPort), r.address(voterHosts+1, operatorPort), r.address(voterHosts+2, operatorPort)},
		"list":  r.address(listHost, listPort), "max_descriptors": 4100, "grace_s": 8, "endpoint_drain_ms": 3000,
		"retry_share": 0.2, "retry_allowance": 56, "retry_window_s": 10,
	}
	if role == "voter" {
		s["operators"], s["data_folder"], s["first_start"] = r.address(host, operatorPort), filepath.Join(r.dir, name), true
		s["memory_mb"], s["order_lease_ms"], s["max_descriptors"] = 280, 3000, 4096
	} else {
		s["callers"], s["readiness"], s["memory_mb"] = r.address(host, callerPort), r.address(host, readinessPort), 134
	}
	for k, v := range changes {
		s[k] = v
	}
	return s
}

// startProcess starts an entry or a voter with the command of the deploy file.
func (r *caseRun) startProcess(role string, settings map[string]any) (*exec.Cmd, error) {
	name, _ := settings["instance"].(string)
	file := filepath.Join(r.dir, name+".json")
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(r.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(r.daemon, "-role", role, "-settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.processes = append(r.processes, cmd)
	r.mu.Unlock()
	r.note("started %s as process %d", name, cmd.Process.Pid)
	return cmd, nil
}

// endProcesses kills all processes that the case started.
func (r *caseRun) endProcesses() {
	r.mu.Lock()
	all := r.processes
	r.processes = nil
	r.mu.Unlock()
	for _, cmd := range all {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// startDeployment starts the list, three voters in as many zones and a number of entries, puts
// the configuration and waits until all entries are ready.
func (r *caseRun) startDeployment(entries int, config map[string]any) ([]*exec.Cmd, error) {
	return r.startZones([]string{"za", "zb", "zc"}, entries, config)
}

// startZones is startDeployment with a voter in each of the zones, over which the entries are
// spread.
func (r *caseRun) startZones(zones []string, entries int, config map[string]any) ([]*exec.Cmd, error) {
	if err := r.startList(); err != nil {
		return nil, err
	}
	for i := range zones {
		if _, err := r.startProcess("voter", r.settings("voter", voterHosts+i, fmt.Sprintf("core-%d", i), zones[i], nil)); err != nil {
			return nil, err
		}
	}
	var all []*exec.Cmd
	for i := range entries {
		cmd, err := r.startProcess("entry", r.settings("entry", entryHosts+i, fmt.Sprintf("front-%d", i), zones[i%len(zones)], nil))
		if err != nil {
			return nil, err
		}
		all = append(all, cmd)
	}
	if config != nil {
		if status, err := r.putUntilAnswered(config, 20*time.Second); err != nil || status != http.StatusOK {
			return nil, fmt.Errorf("first configuration: status %d, %v", status, err)
		}
		for i := range entries {
			if err := r.awaitReady(i, 20*time.Second); err != nil {
				return nil, err
			}
		}
	}
	return all, nil
}

func (r *caseRun) awaitReady(entry int, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		response, err := client.Get("http://" + r.address(entryHosts+entry, readinessPort) + "/figseam/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("entry %d is not ready", entry)
}

// put sends a configuration to a voter.
func (r *caseRun) put(voter int, config map[string]any) (int, string, error) {
	text, err := json.Marshal(config)
	if err != nil {
		return 0, "", err
	}
	return r.putText(voter, text)
}

func (r *caseRun) putText(voter int, text []byte) (int, string, error) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPut, "http://"+r.address(voterHosts+voter, operatorPort)+"/figseam/config", bytes.NewReader(text))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(io.LimitReader(response.Body, 64<<10))
	return response.StatusCode, strings.TrimSpace(string(body)), nil
}

// putUntilAnswered sends a configuration to one voter after the other, as operators do, until
// the answer is not a failure of the voter.
func (r *caseRun) putUntilAnswered(config map[string]any, limit time.Duration) (int, error) {
	var last error
	for end, i := time.Now().Add(limit), 0; time.Now().Before(end); i++ {
		status, body, err := r.put(i%3, config)
		if err == nil && status < http.StatusInternalServerError {
			r.note("configuration %v sent to core-%d: %d %s", config["version"], i%3, status, body)
			return status, nil
		}
		last = errors.Join(err, fmt.Errorf("status %d", status))
		time.Sleep(200 * time.Millisecond)
	}
	return 0, last
}

// startList starts the platform's list.
func (r *caseRun) startList() error {
	l, err := net.Listen("tcp", r.address(listHost, listPort))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		text, err := r.page()
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, text)
	})}
	go func() { _ = server.Serve(l) }()
	return nil
}

// page returns the only page of the list.
func (r *caseRun) page() (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var entries []string
	for _, e := range r.listed {
		text, err := json.Marshal(e)
		if err != nil {
			return "", err
		}
		entries = append(entries, string(text))
		if len(entries) == 1 && r.torn != "" {
			entries = append(entries, r.torn)
		}
	}
	return `{"instances":[` + strings.Join(entries, ",") + `],"next_token":null}`, nil
}

// setTorn writes bytes that cannot be read into the list, in place of an entry.
func (r *caseRun) setTorn(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.torn = text
}

// relist changes the state of a listed engine, or removes it if the state is empty.
func (r *caseRun) relist(id, state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = slices.DeleteFunc(slices.Clone(r.listed), func(e map[string]any) bool { return e["id"] == id && state == "" })
	for i, e := range r.listed {
		if e["id"] == id {
			changed := maps.Clone(e)
			changed["state"] = state
			r.listed[i] = changed
		}
	}
}

// list adds an engine to the platform's list.
func (r *caseRun) list(id, service, address, zone, stage string, slots int) {
	e := map[string]any{
		"id": id, "service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "born": time.Now().UnixMilli(), "models": []any{},
	}
	if stage != "" {
		e["stage"], e["models"] = stage, []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = append(r.listed, e)
}

// route returns a route of a configuration.
func route(name, host, prefix, kind, service string, changes map[string]any) map[string]any {
	t := map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 1000, "target_latency_ms": 150,
		"priority": 2, "service": service, "max_attempts": 1, "sticky": false, "resumable": false, "gap_aim_ms": 0,
	}
	for k, v := range changes {
		t[k] = v
	}
	return t
}

// configuration returns a configuration with plain services.
func configuration(version int, routes []map[string]any, services ...string) map[string]any {
	var all []map[string]any
	for _, s := range services {
		all = append(all, map[string]any{"name": s, "health_check": "/healthz", "max_connections": 2 * serverSlots, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": all,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// residentKilobytes returns the resident memory of a process that the case started.
func residentKilobytes(cmd *exec.Cmd) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kilobytes
		}
	}
	return 0
}
