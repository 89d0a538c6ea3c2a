package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"time"
)

// operatorTimeout is the time after which an operator moves on to another node.
const operatorTimeout = time.Second

var operatorClient = &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// put sends a config to one node and returns the status; 0 if no response came.
func (b *bed) put(m machine, config string) int {
	request, err := http.NewRequest(http.MethodPut, "http://"+b.address(m.host, portOperators)+"/figseam/config", strings.NewReader(config))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := operatorClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// putUntilConfirmed sends a config to the nodes in turn until one confirms it. It returns the
// index of that node.
func (b *bed) putUntilConfirmed(nodes []machine, config string, within time.Duration) (int, error) {
	end := time.Now().Add(within)
	for i := 0; time.Now().Before(end); i = (i + 1) % len(nodes) {
		status := b.put(nodes[i], config)
		b.notef("operator: PUT of version %d at %s: %d", versionOf([]byte(config)), nodes[i].name, status)
		if status == http.StatusOK {
			return i, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, errors.New("config was not confirmed")
}

// get reads the config at one node. It returns the status, 0 if no response came, and the body.
func (b *bed) get(m machine) (int, []byte) {
	response, err := operatorClient.Get("http://" + b.address(m.host, portOperators) + "/figseam/config")
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, bytes.TrimSpace(body)
}

// versionOf returns the version of a config; 0 if it cannot be read.
func versionOf(config []byte) uint64 {
	var c struct {
		Version uint64 `json:"version"`
	}
	if json.Unmarshal(config, &c) != nil {
		return 0
	}
	return c.Version
}

var leadsMetric = regexp.MustCompile(`(?m)^figseam_leads 1$`)

// leads reports whether the metrics of a voter say that it leads.
func (b *bed) leads(m machine) bool {
	response, err := operatorClient.Get("http://" + b.ip(m.host) + ":9464/metrics")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return err == nil && leadsMetric.Match(text)
}

// awaitLeader returns the index of the node that leads.
func (b *bed) awaitLeader(nodes []machine) (int, error) {
	for range 100 {
		for i, m := range nodes {
			if b.leads(m) {
				return i, nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, errors.New("no node leads")
}

// configText returns a config with the routes of a small deployment.
func configText(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[`+
		`{"name":"order","host":"shop.example","path_prefix":"/order/","kind":"non_idempotent","timeout_ms":1000,"target_latency_ms":150,"priority":2,"service":"shop","max_attempts":1,"sticky":false,"resumable":false},`+
		`{"name":"check","host":"shop.example","path_prefix":"/check/","kind":"idempotent","timeout_ms":1000,"target_latency_ms":150,"priority":2,"service":"shop","max_attempts":2,"sticky":false,"resumable":false},`+
		`{"name":"digest","host":"shop.example","path_prefix":"/digest/","kind":"stream","timeout_ms":14000,"target_latency_ms":900,"priority":1,"service":"pool","max_attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":300}],`+
		`"services":[{"name":"shop","health_check":"/healthz","max_connections":110,"protocol":"h1","tls":false},`+
		`{"name":"pool","health_check":"/healthz","max_connections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_tokens":57728,"kv_token_bytes":35136,"link_mbps":330000.0,"moves":true,"backups":true,"stride":6,"most":12,"handle_ttl_s":0.5,"switch_time_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version)
}
