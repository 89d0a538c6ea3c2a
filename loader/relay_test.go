package loader_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/loader"
)

const validEntrySettings = `{
  "instance": "front-1", "data_centre": "dc",
  "callers": "10.0.0.1:80", "readiness": "10.0.0.1:81", "peers": "10.0.0.1:7000", "metrics": "10.0.0.1:9464",
  "seeds": ["10.0.0.2:90", "10.0.0.3:90"], "list": "10.0.0.9:80",
  "memory_mb": 134, "grace_s": 8, "endpoint_drain_ms": 3000,
  "retry_share": 0.2, "retry_allowance": 56, "retry_window_s": 10
}`

func TestValidEntrySettingsHaveNoFaults(t *testing.T) {
	s, faults := loader.ParseRelay("entry.json", []byte(validEntrySettings), false)
	require.Empty(t, faults)
	require.Equal(t, figseam.InstanceID("10.0.0.1:7000"), s.PeerID())
	require.Equal(t, []figseam.InstanceID{"10.0.0.2:7000", "10.0.0.3:7000"}, s.SeedIDs())
	require.Equal(t, "10.0.0.1:7000", s.PeerListenAddress())
	s.PeerBindAddress = "10.0.0.1:7001"
	require.Equal(t, "10.0.0.1:7001", s.PeerListenAddress())
	require.Equal(t, figseam.InstanceID("10.0.0.1:7000"), s.PeerID())
}

func TestRelayFaultIsReportedWithItsField(t *testing.T) {
	tests := []struct {
		name, old, replacement string
		voter                  bool
		fault                  string
	}{
		{"unknown field", `"instance"`, `"instances": 1, "instance"`, false, `entry.json:2: field "instances"`},
		{"missing field", `"memory_mb": 134, `, ``, false, `field "memory_mb"`},
		{"quota tolerance over 1", `"grace_s"`, `"quota_tolerance": 1.5, "grace_s"`, false, `field "quota_tolerance"`},
		{"negative quota allowance", `"grace_s"`, `"quota_allowance": -1, "grace_s"`, false, `field "quota_allowance"`},
		{"negative quota window", `"grace_s"`, `"quota_window_s": -1, "grace_s"`, false, `field "quota_window_s"`},
		{"negative descriptors", `"grace_s"`, `"max_descriptors": -1, "grace_s"`, false, `field "max_descriptors"`},
		{"invalid caller address", `"10.0.0.1:80"`, `"here"`, false, `entry.json:3: field "callers"`},
		{"invalid peer bind address", `"metrics"`, `"peers_listen": "here", "metrics"`, false, `entry.json:3: field "peers_listen"`},
		{"seed without port", `"10.0.0.3:90"`, `"10.0.0.3"`, false, `entry.json:4: field "seeds"`},
		{"retry ratio above 1", `"retry_share": 0.2`, `"retry_share": 2`, false, `entry.json:6: field "retry_share"`},
		{"wrong type", `"grace_s": 8`, `"grace_s": "8"`, false, `entry.json:5: field "grace_s"`},
		{"trailing comma", `"retry_window_s": 10`, ``, false, `entry.json`},
		{"voter without data directory", `"list"`, `"operators": "10.0.0.1:90", "list"`, true, `field "data_folder"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, faults := loader.ParseRelay("entry.json", []byte(strings.Replace(validEntrySettings, test.old, test.replacement, 1)), test.voter)
			require.NotEmpty(t, faults)
			require.ErrorContains(t, faults[0], test.fault)
		})
	}
}
