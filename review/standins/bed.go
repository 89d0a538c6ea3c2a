package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployment, as in its sheet.
const (
	drainTimeout     = 3 * time.Second
	gracePeriod      = 8 * time.Second
	catchUp          = 4 * time.Second
	contactWindow    = 3 * time.Second
	recovery         = 12 * time.Second
	retryRatio       = 0.2
	retryAllowance   = 56
	retryWindow      = 10 * time.Second
	orderLease       = 3 * time.Second
	entryMemoryMB    = 134
	voterMemoryMB    = 280
	portCount        = 5
	platformHost     = 250
	firstVoterHost   = 11
	firstEntryHost   = 31
	firstEngineHost  = 61
	daemonPath       = "target/figseamd"
	templateFolder   = "deploy/templates"
	settingsFileMode = 0o600
)

// Ports of every machine, relative to the base port.
const (
	portCallers = iota
	portReadiness
	portOperators
	portPeers
	portPlatform
)

// bed is a deployment with its stand-ins, and the record of what happened.
type bed struct {
	trouble  bool
	temp     string
	network  string
	basePort int
	began    time.Time

	// mu guards the fields below.
	mu        sync.Mutex
	record    *os.File
	processes []*process
	cleanups  []func()
}

// newBed opens the record in the folder and picks free addresses.
func newBed(folder string) (*bed, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	b := &bed{trouble: os.Getenv("TROUBLE") != "0", temp: temp, began: time.Now(), record: record}
	b.network = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(180), 1+rand.IntN(250))
	for range 50 {
		b.basePort = 20000 + rand.IntN(10000)
		if b.portsFree() {
			b.notef("disruption: %v; addresses %s*, ports from %d", b.trouble, b.network, b.basePort)
			return b, nil
		}
	}
	return nil, errors.New("no free ports")
}

// portsFree reports whether the ports of the first machine are free.
func (b *bed) portsFree() bool {
	for p := range portCount {
		l, err := net.Listen("tcp", b.address(firstVoterHost, p))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (b *bed) ip(host int) string { return fmt.Sprintf("%s%d", b.network, host) }

func (b *bed) address(host, port int) string {
	return fmt.Sprintf("%s:%d", b.ip(host), b.basePort+port)
}

// notef writes a line to the record and to standard output.
func (b *bed) notef(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(b.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = b.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// cleanUp registers a function that is called at the end.
func (b *bed) cleanUp(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cleanups = append(b.cleanups, f)
}

// close ends all processes and removes the temporary files.
func (b *bed) close() {
	b.mu.Lock()
	processes, cleanups := b.processes, b.cleanups
	b.mu.Unlock()
	for _, p := range processes {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range processes {
		p.wait()
	}
	for _, f := range cleanups {
		f()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(b.temp)
	}
	_ = b.record.Close()
}

// machine describes one machine of the system.
type machine struct {
	name string
	role string
	zone string
	host int
	// firstStart is true if the whole system starts for the first time.
	firstStart bool
	seeds      []string
}

func (b *bed) dataFolder(m machine) string { return filepath.Join(b.temp, m.name+"-data") }

// process is a running figseamd.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
}

// start writes the settings of a machine from the template of its role and starts its process.
func (b *bed) start(m machine) (*process, error) {
	settings, err := b.settings(m)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(b.temp, m.name+".json")
	if err := os.WriteFile(file, []byte(settings), settingsFileMode); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(b.temp, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, settingsFileMode)
	if err != nil {
		return nil, err
	}
	p := &process{command: exec.Command(daemonPath, "-role", m.role, "-settings", file), ended: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.command.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	b.mu.Lock()
	b.processes = append(b.processes, p)
	b.mu.Unlock()
	b.notef("%s (%s, %s) starts at %s", m.name, m.role, m.zone, b.ip(m.host))
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

func (p *process) wait() { <-p.ended }

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// settings fills in the template of a machine's role.
func (b *bed) settings(m machine) (string, error) {
	text, err := os.ReadFile(filepath.Join(templateFolder, m.role+".json"))
	if err != nil {
		return "", err
	}
	memory := entryMemoryMB
	if m.role == "voter" {
		memory = voterMemoryMB
	}
	values := map[string]any{
		"node": m.name, "zone": m.zone, "ip": b.ip(m.host), "seeds": m.seeds, "first_start": m.firstStart,
		"listen.front": b.address(m.host, portCallers), "listen.readiness_addr": b.address(m.host, portReadiness),
		"listen.control": b.address(m.host, portOperators), "port_range.0": b.basePort + portPeers,
		"cloud.address": b.address(platformHost, portPlatform), "data_dir": b.dataFolder(m), "limits.memory_mb": memory,
		"bounds.grace_period_s": gracePeriod.Seconds(), "bounds.drain_timeout_ms": drainTimeout.Milliseconds(),
		"bounds.lease_ms": orderLease.Milliseconds(), "bounds.retry_budget_ratio": retryRatio,
		"bounds.budget_slack": retryAllowance, "bounds.budget_window_s": retryWindow.Seconds(),
	}
	filled := placeholder.ReplaceAllStringFunc(string(text), func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		value, known := values[parts[1]]
		if !known {
			err = fmt.Errorf("template of %s: no value for %s", m.role, parts[1])
			return found
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, encodeErr := json.Marshal(value)
		err = errors.Join(err, encodeErr)
		return string(encoded)
	})
	return filled, err
}

// seedsOf returns the operators' addresses of machines.
func (b *bed) seedsOf(machines ...machine) []string {
	var seeds []string
	for _, m := range machines {
		seeds = append(seeds, b.address(m.host, portOperators))
	}
	return seeds
}
