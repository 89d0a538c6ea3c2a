package main

import (
	"errors"
	"fmt"
	"time"
)

// small is a running small deployment: three voters and some entries.
type small struct {
	voters  []machine
	entries []machine
	running map[string]*process
	list    *platformList
}

// startSmall starts the platform's list, three voters and entries, and waits until the first
// config is in force.
func (b *bed) startSmall(entryCount int, entries ...string) (*small, error) {
	list, err := b.startPlatform(entries...)
	if err != nil {
		return nil, err
	}
	s := &small{list: list, running: map[string]*process{}}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i, zone := range zones {
		s.voters = append(s.voters, machine{name: "core-" + zone, role: "voter", zone: zone, host: firstVoterHost + i, firstStart: true})
	}
	for i := range entryCount {
		zone := zones[i%len(zones)]
		s.entries = append(s.entries, machine{name: fmt.Sprintf("front-%s-%d", zone, i+1), role: "entry", zone: zone, host: firstEntryHost + i, firstStart: true})
	}
	seeds := b.seedsOf(s.voters...)
	for i := range s.voters {
		s.voters[i].seeds = seeds
	}
	for i := range s.entries {
		s.entries[i].seeds = seeds
	}
	for _, m := range append(append([]machine{}, s.voters...), s.entries...) {
		if s.running[m.name], err = b.start(m); err != nil {
			return nil, err
		}
	}
	if _, err := b.putUntilConfirmed(s.voters, configText(3), 20*time.Second); err != nil {
		return nil, err
	}
	for range 200 {
		ready := 0
		for _, m := range s.entries {
			if b.ready(m) {
				ready++
			}
		}
		if ready == len(s.entries) {
			b.notef("all entries are ready")
			return s, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, errors.New("entries did not get ready")
}
