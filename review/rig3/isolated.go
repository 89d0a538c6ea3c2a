package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["13"] = isolatedVoter }

// Times of the case: those of the sheet of Kantamanto, and how long a voter may be cut off there.
const (
	catchUp  = 4 * time.Second
	recovery = 12 * time.Second
	cutTime  = 12 * time.Second
	readTime = 15 * time.Second
)

// isolatedVoter cuts one voter off while the two others are replaced as planned, one after the
// other, heals the cut, and then ends one of the new ones.
func isolatedVoter(r *recorder, trouble bool) (bool, error) {
	const kvTokens = 57979
	links := newLinks()
	defer links.end()
	behind := func(role string, settings map[string]any) {
		if ip, _, _ := strings.Cut(settings["peers"].(string), ":"); role == "voter" {
			settings["peers_listen"] = fmt.Sprintf("%s:%d", ip, behindProxyPort)
		}
	}
	s := shape{extra: behind, voters: 5, entries: 2, entryMemory: 284, voterMemory: 280, prefillers: 2, decoders: 4, serviceEndpoints: 3, kvTokens: kvTokens}
	d, err := newDeployment(s, r)
	if err != nil {
		return false, err
	}
	defer d.end()
	all := d.voters
	a, b, c, e, f := all[0], all[1], all[2], all[3], all[4]
	if i := number(os.Getenv("CUT"), 3) - 1; i >= 0 && i < 3 {
		others := append(append([]*process{}, all[:i]...), all[i+1:3]...)
		a, b, c = all[i], others[0], others[1]
	}
	for _, p := range all {
		if err := links.serve(p.ip); err != nil {
			return false, err
		}
	}
	d.voters = all[:3]
	if err := d.start(configuration(1, kvTokens)); err != nil {
		return false, err
	}
	delete(e.settings, "first_start")
	delete(f.settings, "first_start")
	d.voters = all
	began := time.Now()
	if trouble {
		r.say("%s is cut off from the other voters", a.name)
		links.isolate(a.ip)
	}
	// The new machine comes first and has its time; then the old one leaves.
	replace := func(old, successor *process, seeds ...*process) error {
		d.setSeeds(seeds...)
		if err := successor.start(); err != nil {
			return err
		}
		r.say("%.1f s: %s starts with an empty disk", time.Since(began).Seconds(), successor.name)
		time.Sleep(catchUp + 500*time.Millisecond)
		r.say("%.1f s: %s gets SIGTERM and leaves for good", time.Since(began).Seconds(), old.name)
		old.signal(syscall.SIGTERM)
		return nil
	}
	if err := replace(b, e, a, b, c); err != nil {
		return false, err
	}
	if err := replace(c, f, a, c, e); err != nil {
		return false, err
	}
	d.setSeeds(a, e, f)
	d.voters, d.others = []*process{a, e, f}, []*process{b, c}
	time.Sleep(time.Until(began.Add(cutTime)))
	if trouble {
		r.say("%.1f s: the cut heals; the settings of %s name %s and %s as seeds", time.Since(began).Seconds(), a.name, e.name, f.name)
		links.isolate("")
	}
	healed := time.Now()
	status, err := d.put(configuration(2, kvTokens), 10*time.Second)
	r.say("%.1f s: config 2 put: %d %v", time.Since(began).Seconds(), status, err)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(healed.Add(catchUp + recovery + time.Second)))
	if !a.hasRead(e.ip, f.ip) {
		return false, fmt.Errorf("%s has not read its new settings", a.name)
	}
	r.say("%s has read the settings that name %s and %s", a.name, e.ip, f.ip)
	r.say("%.1f s: %s is killed and stays down; %s and %s run", time.Since(began).Seconds(), e.name, a.name, f.name)
	e.kill()
	time.Sleep(5 * time.Second)
	readBegan, answered, versions := time.Now(), 0, map[string]int{}
	for time.Since(readBegan) < readTime {
		for _, p := range []*process{a, f} {
			status, version := d.readVersion(p)
			r.add("operator", "GET at %s: %d, %s", p.name, status, version)
			if status == http.StatusOK {
				answered++
				versions[version]++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	status, err = d.put(configuration(3, kvTokens), 5*time.Second)
	r.say("config 3 put with one machine of three down: %d %v", status, err)
	r.say("CONFIG: in %v, %d reads of the config were answered: %v", readTime, answered, versions)
	return answered == 0, nil
}

// setSeeds writes the settings of all processes anew with other seeds, as the platform does.
func (d *deployment) setSeeds(voters ...*process) {
	var seeds []string
	for _, p := range voters {
		seeds = append(seeds, fmt.Sprintf("%s:%d", p.ip, operatorPort))
	}
	for _, p := range d.all() {
		p.settings["seeds"] = seeds
		p.rewrite()
	}
	d.record.add("platform", "the settings name the seeds %s", strings.Join(seeds, ", "))
}

// readVersion reads the config at one voter and returns the status and the version.
func (d *deployment) readVersion(p *process) (int, string) {
	r, err := d.client.Get(fmt.Sprintf("http://%s:%d/figseam/config", p.ip, operatorPort))
	if err != nil {
		return 0, ""
	}
	defer func() { _ = r.Body.Close() }()
	text, _ := io.ReadAll(r.Body)
	_, after, _ := strings.Cut(string(text), `"version":`)
	version, _, _ := strings.Cut(after, "}")
	version, _, _ = strings.Cut(version, ",")
	return r.StatusCode, version
}

// hasRead reports whether the process has logged that it read settings whose seeds have all these
// addresses.
func (p *process) hasRead(ips ...string) bool {
	text, err := os.ReadFile(filepath.Join(p.dir, p.name+".log"))
	if err != nil {
		return false
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		all := strings.Contains(line, `"settings read"`)
		for _, ip := range ips {
			all = all && strings.Contains(line, ip+":")
		}
		if all {
			return true
		}
	}
	return false
}
