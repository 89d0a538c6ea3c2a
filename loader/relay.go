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

// RelaySettings are the settings of an instance that relays opaque requests (an entry)
// or replicates their configuration (a voter). Addresses have the form IP:port.
type RelaySettings struct {
	Instance   string             `json:"instance"`
	DataCentre figseam.DataCentre `json:"data_centre"`
	// CallerAddress and ReadinessAddress are addresses on which only an entry listens.
	// OperatorAddress is an address on which only a voter listens. Both listen on
	// PeerAddress and MetricsAddress.
	CallerAddress    string `json:"callers,omitempty"`
	ReadinessAddress string `json:"readiness,omitempty"`
	OperatorAddress  string `json:"operators,omitempty"`
	PeerAddress      string `json:"peers"`
	MetricsAddress   string `json:"metrics"`
	// PeerBindAddress is the address on which the instance listens for its peers if they
	// reach it at another one, for example behind a forwarded port.
	PeerBindAddress string `json:"peers_listen,omitempty"`
	// Seeds are the operator addresses of voters. Only the hosts are used, because all
	// instances have the same peer port.
	Seeds []string `json:"seeds"`
	// DataDir is the directory of a voter's replicated log.
	DataDir string `json:"data_folder,omitempty"`
	// Bootstrap is set for the first start of the whole system.
	Bootstrap bool `json:"first_start,omitempty"`
	// ListAddress is the address of the platform's list of endpoints.
	ListAddress string `json:"list"`
	LogLevel    string `json:"log_level,omitempty"`
	// MemoryLimitMegabytes is the memory limit of the process.
	MemoryLimitMegabytes float64 `json:"memory_mb"`
	// MaxDescriptors is the limit on the descriptors of the process; 0 for the one that the
	// operating system states.
	MaxDescriptors int `json:"max_descriptors,omitempty"`
	// GracePeriodSeconds is the time between the termination signal and the forced end of
	// the process.
	GracePeriodSeconds float64 `json:"grace_s"`
	// EndpointDrainMillis is the time for which an endpoint may receive requests after it
	// is first listed as draining.
	EndpointDrainMillis float64 `json:"endpoint_drain_ms"`
	// OrderLeaseMillis is the duration of the lease during which only one instance may
	// send orders to the engines.
	OrderLeaseMillis float64 `json:"order_lease_ms,omitempty"`
	// RetryRatio, RetryAllowance and RetryWindowSeconds limit the retries of all instances
	// together: per window, RetryRatio of the requests plus RetryAllowance.
	RetryRatio         float64 `json:"retry_share"`
	RetryAllowance     float64 `json:"retry_allowance"`
	RetryWindowSeconds float64 `json:"retry_window_s"`
	// QuotaTolerance, QuotaAllowance and QuotaWindowSeconds state by how much the quotas of
	// accounts may be exceeded: per window, by QuotaTolerance of what the quota allows plus
	// QuotaAllowance in the quota's unit. Quotas are kept strictly if they are 0.
	QuotaTolerance     float64 `json:"quota_tolerance,omitempty"`
	QuotaAllowance     float64 `json:"quota_allowance,omitempty"`
	QuotaWindowSeconds float64 `json:"quota_window_s,omitempty"`
}

// LoadRelay reads the settings file of an entry or a voter. It returns an error if the
// file cannot be read, and faults for invalid content.
func LoadRelay(path string, voter bool) (s RelaySettings, faults []decoder.Fault, err error) {
	defer func() { err = eris.Wrap(err, "load settings") }()
	text, err := os.ReadFile(path)
	if err != nil {
		return RelaySettings{}, nil, err
	}
	s, faults = ParseRelay(path, text, voter)
	return s, faults, nil
}

// ParseRelay parses and validates the settings of an entry or a voter. The file name is
// only used in the faults.
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
	v := &validator{file: file, root: root}
	if len(faults) == 0 {
		v.checkRelaySettings(s, voter)
	}
	return s, append(faults, v.faults...)
}

func (v *validator) checkRelaySettings(s RelaySettings, voter bool) {
	v.checkNotEmpty("instance", s.Instance)
	v.checkNotEmpty("data_centre", string(s.DataCentre))
	addresses := []struct{ field, address string }{{"peers", s.PeerAddress}, {"metrics", s.MetricsAddress}, {"list", s.ListAddress}}
	if voter {
		addresses = append(addresses, struct{ field, address string }{"operators", s.OperatorAddress})
		v.checkNotEmpty("data_folder", s.DataDir)
	} else {
		addresses = append(addresses, struct{ field, address string }{"callers", s.CallerAddress}, struct{ field, address string }{"readiness", s.ReadinessAddress})
	}
	if s.PeerBindAddress != "" {
		addresses = append(addresses, struct{ field, address string }{"peers_listen", s.PeerBindAddress})
	}
	for _, f := range addresses {
		v.checkAddress(f.field, f.address)
	}
	for _, seed := range s.Seeds {
		v.checkAddress("seeds", seed)
	}
	if _, err := zerolog.ParseLevel(s.LogLevel); err != nil {
		v.addFault("log_level", checker.CodeOutOfRange, "expected debug, info, warn or error, found %q", s.LogLevel)
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
			v.addFault(f.field, checker.CodeOutOfRange, "expected more than 0, found %g", f.value)
		}
	}
	if s.RetryRatio < 0 || s.RetryRatio > 1 {
		v.addFault("retry_share", checker.CodeOutOfRange, "expected 0 to 1, found %g", s.RetryRatio)
	}
	if s.MaxDescriptors < 0 {
		v.addFault("max_descriptors", checker.CodeOutOfRange, "expected 0 or more, found %d", s.MaxDescriptors)
	}
	if s.QuotaTolerance < 0 || s.QuotaTolerance > 1 {
		v.addFault("quota_tolerance", checker.CodeOutOfRange, "expected 0 to 1, found %g", s.QuotaTolerance)
	}
	if s.QuotaAllowance < 0 {
		v.addFault("quota_allowance", checker.CodeOutOfRange, "expected 0 or more, found %g", s.QuotaAllowance)
	}
	if s.QuotaWindowSeconds < 0 {
		v.addFault("quota_window_s", checker.CodeOutOfRange, "expected 0 or more, found %g", s.QuotaWindowSeconds)
	}
	if s.RetryAllowance < 0 {
		v.addFault("retry_allowance", checker.CodeOutOfRange, "expected 0 or more, found %g", s.RetryAllowance)
	}
}

// PeerID returns the ID of the instance among its peers, which is its peer address.
func (s RelaySettings) PeerID() figseam.InstanceID { return figseam.InstanceID(s.PeerAddress) }

// PeerListenAddress returns the address on which the instance listens for its peers:
// PeerBindAddress if it is set, otherwise PeerAddress.
func (s RelaySettings) PeerListenAddress() string {
	if s.PeerBindAddress != "" {
		return s.PeerBindAddress
	}
	return s.PeerAddress
}

// SeedIDs returns the peer addresses of the seeds. It omits seeds that are not
// addresses, and returns nil if PeerAddress is not one.
func (s RelaySettings) SeedIDs() []figseam.InstanceID {
	_, port, err := net.SplitHostPort(s.PeerAddress)
	if err != nil {
		return nil
	}
	var ids []figseam.InstanceID
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			ids = append(ids, figseam.InstanceID(net.JoinHostPort(host, port)))
		}
	}
	return ids
}
