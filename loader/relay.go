package loader

import (
	"net"
	"os"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/checker"
	"github.com/figseam/figseam/decoder"
)

// RelaySettings are the settings of an instance that relays opaque requests (an
// entry) or keeps their configuration (a voter). Addresses are IP:port.
type RelaySettings struct {
	Instance   string             `json:"instance"`
	DataCentre figseam.DataCentre `json:"data_centre"`
	// CallerAddress and Readiness are where an entry listens, Operators where a voter
	// does; Peers and Metrics are for both.
	CallerAddress    string `json:"callers,omitempty"`
	ReadinessAddress string `json:"readiness,omitempty"`
	OperatorAddress  string `json:"operators,omitempty"`
	PeerAddress      string `json:"peers"`
	MetricsAddress   string `json:"metrics"`
	// PeerBindAddress is where the instance listens for its peers if that is not the address
	// at which they reach it, for example behind a forwarded port.
	PeerBindAddress string `json:"peers_listen,omitempty"`
	// Seeds are operators' addresses of voters. Peers listen on the same port on
	// every instance, so only the host counts.
	Seeds []string `json:"seeds"`
	// DataDir is where a voter keeps the log.
	DataDir string `json:"data_folder,omitempty"`
	// Bootstrap tells that the whole system starts for the first time.
	Bootstrap bool `json:"first_start,omitempty"`
	// ListAddress is the address of the platform's list of endpoints.
	ListAddress string `json:"list"`
	LogLevel    string `json:"log_level,omitempty"`
	// MemoryLimitMegabytes is what the process may use.
	MemoryLimitMegabytes float64 `json:"memory_mb"`
	// GracePeriodSeconds is how long a process may take to end, EndpointDrainMillis how
	// long after it is listed as leaving an endpoint may still get work.
	GracePeriodSeconds  float64 `json:"grace_s"`
	EndpointDrainMillis float64 `json:"endpoint_drain_ms"`
	// OrderLeaseMillis is the time in which no two instances may both give orders to
	// an engine.
	OrderLeaseMillis float64 `json:"order_lease_ms,omitempty"`
	// RetryRatio, RetryAllowance and RetryWindowSeconds bound the repeats of all
	// instances together: a share of the requests and a fixed number in a window.
	RetryRatio         float64 `json:"retry_share"`
	RetryAllowance     float64 `json:"retry_allowance"`
	RetryWindowSeconds float64 `json:"retry_window_s"`
}

// LoadRelay reads the settings file of an entry or a voter. The error is for a
// file that cannot be read; faults in it are listed.
func LoadRelay(path string, voter bool) (s RelaySettings, faults []decoder.Fault, err error) {
	defer func() { err = eris.Wrap(err, "load settings") }()
	text, err := os.ReadFile(path)
	if err != nil {
		return RelaySettings{}, nil, err
	}
	s, faults = ParseRelay(path, text, voter)
	return s, faults, nil
}

// ParseRelay reads settings. The file name is only used in faults.
func ParseRelay(file string, text []byte, voter bool) (RelaySettings, []decoder.Fault) {
	root, faults := decoder.Parse(file, text)
	if len(faults) > 0 {
		return RelaySettings{}, faults
	}
	var s RelaySettings
	faults = decoder.Decode(file, root, &s)
	if s.LogLevel == "" {
		s.LogLevel = zerolog.InfoLevel.String()
	}
	c := &check{file: file, root: root}
	if len(faults) == 0 {
		c.relay(s, voter)
	}
	return s, append(faults, c.faults...)
}

func (c *check) relay(s RelaySettings, voter bool) {
	c.name("instance", s.Instance)
	c.name("data_centre", string(s.DataCentre))
	addresses := []struct{ field, address string }{{"peers", s.PeerAddress}, {"metrics", s.MetricsAddress}, {"list", s.ListAddress}}
	if voter {
		addresses = append(addresses, struct{ field, address string }{"operators", s.OperatorAddress})
		c.name("data_folder", s.DataDir)
	} else {
		addresses = append(addresses, struct{ field, address string }{"callers", s.CallerAddress}, struct{ field, address string }{"readiness", s.ReadinessAddress})
	}
	if s.PeerBindAddress != "" {
		addresses = append(addresses, struct{ field, address string }{"peers_listen", s.PeerBindAddress})
	}
	for _, f := range addresses {
		c.address(f.field, f.address)
	}
	for _, seed := range s.Seeds {
		c.address("seeds", seed)
	}
	if _, err := zerolog.ParseLevel(s.LogLevel); err != nil {
		c.add("log_level", checker.CodeOutOfRange, "expected debug, info, warn or error, found %q", s.LogLevel)
	}
	for _, f := range []struct {
		field string
		value float64
	}{
		{"memory_mb", s.MemoryLimitMegabytes},
		{"grace_s", s.GracePeriodSeconds},
		{"endpoint_drain_ms", s.EndpointDrainMillis},
		{"retry_window_s", s.RetryWindowSeconds},
	} {
		if f.value <= 0 {
			c.add(f.field, checker.CodeOutOfRange, "expected more than 0, found %g", f.value)
		}
	}
	if s.RetryRatio < 0 || s.RetryRatio > 1 {
		c.add("retry_share", checker.CodeOutOfRange, "expected 0 to 1, found %g", s.RetryRatio)
	}
	if s.RetryAllowance < 0 {
		c.add("retry_allowance", checker.CodeOutOfRange, "expected 0 or more, found %g", s.RetryAllowance)
	}
}

// PeerID returns the name under which other instances reach this one.
func (s RelaySettings) PeerID() figseam.InstanceID { return figseam.InstanceID(s.PeerAddress) }

// PeerListenAddress returns the address on which the instance listens for its peers.
func (s RelaySettings) PeerListenAddress() string {
	if s.PeerBindAddress != "" {
		return s.PeerBindAddress
	}
	return s.PeerAddress
}

// SeedIDs returns the peer addresses of the seeds.
func (s RelaySettings) SeedIDs() []figseam.InstanceID {
	_, port, err := net.SplitHostPort(s.PeerAddress)
	if err != nil {
		return nil
	}
	var all []figseam.InstanceID
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			all = append(all, figseam.InstanceID(net.JoinHostPort(host, port)))
		}
	}
	return all
}
