package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes. All instances use the same ones, on addresses of their own.
const (
	callerPort    = 18149
	readinessPort = 18141
	operatorPort  = 18144
	peerPort      = 17380
	metricsPort   = 19464
	listPort      = 18142
	enginePort    = 18500
)

// process is an entry or a voter that runs as a process of its own.
type process struct {
	name     string
	role     string
	ip       string
	settings map[string]any
	dir      string
	binary   string

	// mu guards the fields below.
	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	wanted  bool
	exits   int
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	file := filepath.Join(p.dir, p.name+".json")
	if err := p.write(file); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(p.binary, "-role", p.role, "-settings", file)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.command, p.exited, p.wanted = c, exited, false
	delete(p.settings, "first_start")
	go func() {
		_ = c.Wait()
		_ = log.Close()
		p.mu.Lock()
		if !p.wanted {
			p.exits++
		}
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// write writes the settings file.
func (p *process) write(file string) error {
	text, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(file+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(file+".new", file)
}

// rewrite writes the settings file of a process that has started anew.
func (p *process) rewrite() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.write(filepath.Join(p.dir, p.name+".json"))
	}
}

// signal sends a signal to the process. The end that it may cause counts as wanted.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.wanted = true
	}
	_ = p.command.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-exited
}

// pid returns the ID of the process.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return 0
	}
	return p.command.Process.Pid
}

// unwantedExits returns how often the process ended by itself.
func (p *process) unwantedExits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exits
}

// residentMegabytes returns the resident memory of a process, now and at its peak.
func residentMegabytes(pid int) (now, peak float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		var kilobytes float64
		switch {
		case strings.HasPrefix(line, "VmRSS:"):
			_, _ = fmt.Sscanf(line, "VmRSS: %f", &kilobytes)
			now = kilobytes / 1024
		case strings.HasPrefix(line, "VmHWM:"):
			_, _ = fmt.Sscanf(line, "VmHWM: %f", &kilobytes)
			peak = kilobytes / 1024
		}
	}
	return now, peak
}

// deployment is a small deployment: voters, entries, engines and the platform's list.
type deployment struct {
	dir     string
	net     string
	binary  string
	zones   []string
	voters  []*process
	entries []*process
	// others are processes that are voters no more.
	others []*process
	fleet  *fleet
	list   *http.Server
	record *recorder
	client *http.Client
}

// shape is the size of a deployment.
type shape struct {
	voters, entries       int
	entryMemory           int
	voterMemory           int
	prefillers, decoders  int
	serviceEndpoints      int
	kvTokens              int
	extra                 func(role string, settings map[string]any)
	contactWindow         time.Duration
	drainMillis           int
	engineIDsChangeOnBoot bool
}

// freeNet returns the first three numbers of a loopback network that nothing listens on.
func freeNet() (string, error) {
	for i := range 200 {
		prefix := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i)%200, 1+(os.Getpid()/200+i)%250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", prefix, peerPort))
		if err != nil {
			continue
		}
		_ = l.Close()
		return prefix, nil
	}
	return "", errors.New("no free loopback network")
}

// newDeployment prepares a deployment in a temporary folder.
func newDeployment(s shape, r *recorder) (*deployment, error) {
	binary, err := filepath.Abs("target/figseamd")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("the daemon is not built: %w", err)
	}
	dir, err := os.MkdirTemp("", "figseam-review-")
	if err != nil {
		return nil, err
	}
	prefix, err := freeNet()
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, net: prefix, binary: binary, record: r, zones: []string{"zone-a", "zone-b", "zone-c"}}
	keep(d)
	d.client = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	d.fleet = newFleet(r)
	d.addEndpoints(s)
	if err := d.serveList(); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(3, s.voters) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", prefix, 1+i, operatorPort))
	}
	for i := range s.voters {
		p := d.newProcess("voter", i, fmt.Sprintf("%s.%d", prefix, 1+i), seeds, s)
		d.voters = append(d.voters, p)
	}
	for i := range s.entries {
		p := d.newProcess("entry", i, fmt.Sprintf("%s.%d", prefix, 21+i), seeds, s)
		d.entries = append(d.entries, p)
	}
	return d, nil
}

// newProcess returns a process with the settings that the templates give.
func (d *deployment) newProcess(role string, i int, ip string, seeds []string, s shape) *process {
	drain := 3000
	if s.drainMillis > 0 {
		drain = s.drainMillis
	}
	settings := map[string]any{
		"instance": fmt.Sprintf("%s-%d", role, i+1), "data_centre": d.zones[i%len(d.zones)],
		"peers": fmt.Sprintf("%s:%d", ip, peerPort), "metrics": fmt.Sprintf("%s:%d", ip, metricsPort),
		"seeds": seeds, "list": fmt.Sprintf("%s.100:%d", d.net, listPort), "max_descriptors": 4100,
		"grace_s": 8, "endpoint_drain_ms": drain, "retry_share": 0.2, "retry_allowance": 52, "retry_window_s": 10,
	}
	switch role {
	case "entry":
		settings["callers"] = fmt.Sprintf("%s:%d", ip, callerPort)
		settings["readiness"] = fmt.Sprintf("%s:%d", ip, readinessPort)
		settings["memory_mb"] = s.entryMemory
	default:
		settings["operators"] = fmt.Sprintf("%s:%d", ip, operatorPort)
		settings["data_folder"] = filepath.Join(d.dir, fmt.Sprintf("data-%d", i+1))
		settings["order_lease_ms"] = 3000
		settings["memory_mb"] = s.voterMemory
		settings["first_start"] = true
	}
	if s.extra != nil {
		s.extra(role, settings)
	}
	return &process{name: fmt.Sprintf("%s-%d", role, i+1), role: role, ip: ip, settings: settings, dir: d.dir, binary: d.binary}
}

func (d *deployment) addEndpoints(s shape) {
	n := 0
	add := func(count int, service, stage string) {
		for i := range count {
			n++
			d.fleet.add(fmt.Sprintf("%s.%d:%d", d.net, 110+n, enginePort), service, stage, d.zones[i%len(d.zones)], s.kvTokens)
		}
	}
	add(s.prefillers, "models", "prefill")
	add(s.decoders, "models", "decode")
	add(s.serviceEndpoints, "desk", "")
}

// serveList serves the platform's list of endpoints.
func (d *deployment) serveList() error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.100:%d", d.net, listPort))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": d.fleet.listed(), "next_token": nil})
	})
	d.list = &http.Server{Handler: mux}
	go func() { _ = d.list.Serve(l) }()
	return nil
}

// all returns all processes.
func (d *deployment) all() []*process { return append(append([]*process{}, d.voters...), d.entries...) }

// start starts all processes, puts the configuration and waits until all entries are ready.
func (d *deployment) start(config map[string]any) error {
	if err := d.fleet.start(); err != nil {
		return err
	}
	for _, p := range d.all() {
		if err := p.start(); err != nil {
			return err
		}
	}
	if _, err := d.put(config, 15*time.Second); err != nil {
		return err
	}
	for _, p := range d.entries {
		if err := d.awaitReady(p, 15*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	return nil
}

// awaitReady waits until an entry says that it is ready.
func (d *deployment) awaitReady(p *process, limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if d.ready(p) {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", p.name)
}

// ready reports whether an entry answers the platform's question with 200.
func (d *deployment) ready(p *process) bool {
	r, err := d.client.Get(fmt.Sprintf("http://%s:%d/figseam/readyz", p.ip, readinessPort))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// put sends a configuration to one voter after another until it is confirmed or refused.
func (d *deployment) put(config map[string]any, limit time.Duration) (int, error) {
	text, err := json.Marshal(config)
	if err != nil {
		return 0, err
	}
	return d.putText(text, limit)
}

func (d *deployment) putText(text []byte, limit time.Duration) (int, error) {
	for i, until := 0, time.Now().Add(limit); time.Now().Before(until); i++ {
		p := d.voters[i%len(d.voters)]
		status, err := d.putAt(p, text)
		d.record.add("operator", "PUT %d bytes to %s: %d %v", len(text), p.name, status, err)
		if err == nil && (status == http.StatusOK || status >= 400 && status < 500 && status != 408 && status != 429) {
			return status, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0, errors.New("the configuration was not confirmed")
}

// putAt sends a configuration to one voter.
func (d *deployment) putAt(p *process, text []byte) (int, error) {
	q, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/figseam/config", p.ip, operatorPort), strings.NewReader(string(text)))
	if err != nil {
		return 0, err
	}
	q.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second + time.Duration(len(text)/1000)*time.Millisecond, Transport: d.client.Transport}
	r, err := client.Do(q)
	if err != nil {
		return 0, err
	}
	defer func() { _ = r.Body.Close() }()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode, nil
}

// end ends all processes and servers and removes the folder.
func (d *deployment) end() {
	for _, p := range append(d.all(), d.others...) {
		p.kill()
	}
	d.fleet.end()
	if d.list != nil {
		_ = d.list.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, began: time.Now()}, nil
}

// add adds a line.
func (r *recorder) add(who, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s: %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, arguments...))
}

// say adds a line and prints it.
func (r *recorder) say(format string, arguments ...any) {
	r.add("judge", format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}
