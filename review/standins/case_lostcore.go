package main

import (
	"errors"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"
)

const (
	// wipedFor is the time for which the machine that loses its disk is down.
	wipedFor = 3 * time.Second
	// replacementLead is the time between the start of the successor and the end of the
	// machine that it replaces. It is longer than the catch-up time.
	replacementLead = catchUp + 2*time.Second
	// readBackFor is the time for which the config is read back.
	readBackFor = 3 * contactWindow
)

func init() { cases["lost-core"] = lostCore }

// lostCore replaces a core machine as planned: the successor starts, and the old machine leaves
// after the successor had its catch-up time. The next config is confirmed, and the machine that
// confirmed it loses its disk. In the end the config is read back.
func lostCore(b *bed) (bool, error) {
	if _, err := b.startPlatform(); err != nil {
		return false, err
	}
	nodes := []machine{
		{name: "core-a-1", role: "voter", zone: "zone-a", host: firstVoterHost},
		{name: "core-b-1", role: "voter", zone: "zone-b", host: firstVoterHost + 1},
		{name: "core-c-1", role: "voter", zone: "zone-c", host: firstVoterHost + 2},
	}
	seeds := b.seedsOf(nodes...)
	running := map[string]*process{}
	for i := range nodes {
		nodes[i].firstStart, nodes[i].seeds = true, seeds
		p, err := b.start(nodes[i])
		if err != nil {
			return false, err
		}
		running[nodes[i].name] = p
	}
	if _, err := b.putUntilConfirmed(nodes, configText(3), 20*time.Second); err != nil {
		return false, err
	}
	replaced, err := b.awaitLeader(nodes)
	if err != nil {
		return false, err
	}
	successor := machine{name: "core-new", role: "voter", zone: nodes[replaced].zone, host: firstVoterHost + 3, seeds: seeds}
	if running[successor.name], err = b.start(successor); err != nil {
		return false, err
	}
	time.Sleep(replacementLead)
	status, body := b.get(successor)
	b.notef("operator: GET at the successor: %d, version %d", status, versionOf(body))
	b.notef("%s, which leads, gets SIGTERM and is removed for good", nodes[replaced].name)
	old := running[nodes[replaced].name]
	old.signal(syscall.SIGTERM)
	left := slices.Delete(slices.Clone(nodes), replaced, replaced+1)
	confirmedBy, err := b.putUntilConfirmed(left, configText(7), 20*time.Second)
	if err != nil {
		return false, err
	}
	if b.trouble {
		if err := b.loseDisk(left[confirmedBy], running[left[confirmedBy].name], b.seedsOf(append(left, successor)...)); err != nil {
			return false, err
		}
	}
	time.Sleep(recovery)
	if old.running() {
		return false, errors.New("the replaced machine did not end")
	}
	return !b.readBack(append(left, successor), 7), nil
}

// loseDisk kills a machine, removes its data, and starts it again with an empty folder.
func (b *bed) loseDisk(m machine, p *process, seeds []string) error {
	p.signal(syscall.SIGKILL)
	p.wait()
	if err := os.RemoveAll(b.dataFolder(m)); err != nil {
		return err
	}
	b.notef("%s, which has just confirmed, loses power and its disk", m.name)
	time.Sleep(wipedFor)
	m.firstStart, m.seeds = false, seeds
	_, err := b.start(m)
	return err
}

// readBack reads the config at all nodes for a while and reports whether any of them returned
// a version at least as high as the one that was confirmed.
func (b *bed) readBack(nodes []machine, confirmed uint64) bool {
	answered := false
	for end := time.Now().Add(readBackFor); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, m := range nodes {
			status, body := b.get(m)
			b.notef("operator: GET at %s: %d, version %d", m.name, status, versionOf(body))
			answered = answered || (status == http.StatusOK && versionOf(body) >= confirmed)
		}
	}
	for _, m := range nodes {
		b.notef("operator: PUT of version 9 at %s: %d", m.name, b.put(m, configText(9)))
	}
	return answered
}
