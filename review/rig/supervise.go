package main

import (
	"fmt"
	"os/exec"
	"sync"
	"time"
)

const (
	// entryMemoryMB is memory_mb of an entry.
	entryMemoryMB = 134
	// calmTime is the time before and after a trouble.
	calmTime = 4 * time.Second
	// restartDelay is the time until the platform starts a process that was killed.
	restartDelay = 300 * time.Millisecond
)

// supervised is an entry that is killed when it uses more than its memory, and started again.
type supervised struct {
	run   *caseRun
	index int

	mu    sync.Mutex
	cmd   *exec.Cmd
	kills int
	peak  int
}

// watch kills the entry whenever it uses more than its memory, until stop is closed.
func (s *supervised) watch(stop <-chan struct{}) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		used := residentKilobytes(s.cmd)
		s.mu.Lock()
		s.peak = max(s.peak, used)
		s.mu.Unlock()
		if used <= entryMemoryMB<<10 {
			continue
		}
		s.run.note("front-%d uses %d KB of %d KB: the platform kills it", s.index, used, entryMemoryMB<<10)
		_ = s.cmd.Process.Kill()
		_ = s.cmd.Wait()
		time.Sleep(restartDelay)
		cmd, err := s.run.startProcess("entry", s.run.settings("entry", entryHosts+s.index, fmt.Sprintf("front-%d", s.index), "za", nil))
		if err != nil {
			s.run.note("front-%d did not start: %v", s.index, err)
			return
		}
		s.mu.Lock()
		s.cmd = cmd
		s.kills++
		s.mu.Unlock()
	}
}
