// Package loader loads and validates the settings of an instance. Unknown and repeated
// fields are faults.
package loader

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"strconv"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/checker"
	"github.com/figseam/figseam/decoder"
)

// Defaults of optional settings.
const (
	defaultMaxBodyBytes       = 4 << 20
	defaultDrainQuietMillis   = 2000
	defaultDrainTimeoutMillis = 600_000
)

// Settings are the settings of an instance that serves model requests and service calls.
// Addresses have the form IP:port.
type Settings struct {
	Instance   figseam.InstanceID `json:"instance"`
	DataCentre figseam.DataCentre `json:"data_centre"`
	Region     string             `json:"region"`
	// CallerAddress, OperatorAddress, PeerAddress and MetricsAddress are the addresses on
	// which the instance listens.
	CallerAddress   string `json:"callers"`
	OperatorAddress string `json:"operators"`
	PeerAddress     string `json:"peers"`
	MetricsAddress  string `json:"metrics"`
	// Seeds are the peer addresses of the instances that a starting instance contacts.
	Seeds []string `json:"seeds"`
	// Voters are the voting members of the replicated log.
	Voters []Voter `json:"voters"`
	// DataDir is the directory of the replicated log; empty for an instance without a
	// disk.
	DataDir string `json:"data_folder,omitempty"`
	// PlatformURL is the URL of the platform's list; empty if there is none.
	PlatformURL  string `json:"platform,omitempty"`
	LogLevel     string `json:"log_level,omitempty"`
	MaxBodyBytes int64  `json:"max_body_bytes,omitempty"`
	// DrainQuietMillis is the time without new requests after which a draining instance
	// stops listening.
	DrainQuietMillis int64 `json:"quiet_ms,omitempty"`
	// DrainTimeoutMillis limits the duration of the whole drain.
	DrainTimeoutMillis int64 `json:"drain_ms,omitempty"`
}

// Voter is a voting member of the replicated log. Its address is its peer address.
type Voter struct {
	Instance figseam.InstanceID `json:"instance"`
	Address  string             `json:"address"`
}

// WithDefaults returns a copy in which missing optional settings have their defaults.
func (s Settings) WithDefaults() Settings {
	if s.LogLevel == "" {
		s.LogLevel = zerolog.InfoLevel.String()
	}
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = defaultMaxBodyBytes
	}
	if s.DrainQuietMillis == 0 {
		s.DrainQuietMillis = defaultDrainQuietMillis
	}
	if s.DrainTimeoutMillis == 0 {
		s.DrainTimeoutMillis = defaultDrainTimeoutMillis
	}
	return s
}

// Load reads a settings file. It returns an error if the file cannot be read, and faults
// for invalid content.
func Load(path string) (s Settings, faults []decoder.Fault, err error) {
	defer func() { err = eris.Wrap(err, "load settings") }()
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, err
	}
	s, faults = Parse(path, text)
	return s, faults, nil
}

// Parse parses and validates settings. The file name is only used in the faults.
func Parse(file string, text []byte) (Settings, []decoder.Fault) {
	root, faults := decoder.Parse(file, text)
	if len(faults) > 0 {
		return Settings{}, faults
	}
	var s Settings
	faults = decoder.Decode(file, root, &s)
	s = s.WithDefaults()
	v := &validator{file: file, root: root}
	if len(faults) == 0 {
		v.checkSettings(s)
	}
	return s, append(faults, v.faults...)
}

// validator collects the faults of a settings file.
type validator struct {
	file   string
	root   decoder.Node
	faults []decoder.Fault
}

// addFault adds a fault on the line of the field. If the field is missing, the fault has
// the code checker.CodeMissingField instead, and the first line of the settings.
func (v *validator) addFault(field string, code figseam.Code, format string, args ...any) {
	line := v.root.Line
	if n, ok := v.root.Field(field); ok {
		line = n.Line
	} else {
		code = checker.CodeMissingField
	}
	v.faults = append(v.faults, decoder.Fault{
		File: v.file, Line: line, Field: field, Code: code, Detail: fmt.Sprintf(format, args...),
	})
}

func (v *validator) checkSettings(s Settings) {
	v.checkNotEmpty("instance", string(s.Instance))
	v.checkNotEmpty("data_centre", string(s.DataCentre))
	v.checkNotEmpty("region", s.Region)
	for _, f := range []struct{ field, address string }{
		{"callers", s.CallerAddress}, {"operators", s.OperatorAddress}, {"peers", s.PeerAddress}, {"metrics", s.MetricsAddress},
	} {
		v.checkAddress(f.field, f.address)
	}
	for _, seed := range s.Seeds {
		v.checkAddress("seeds", seed)
	}
	v.checkVoters(s)
	if u, err := url.Parse(s.PlatformURL); s.PlatformURL != "" && (err != nil || u.Host == "") {
		v.addFault("platform", checker.CodeOutOfRange, "expected an address like http://10.0.0.1:9000/list, found %q", s.PlatformURL)
	}
	if _, err := zerolog.ParseLevel(s.LogLevel); err != nil {
		v.addFault("log_level", checker.CodeOutOfRange, "expected debug, info, warn or error, found %q", s.LogLevel)
	}
	v.checkRange("max_body_bytes", s.MaxBodyBytes, 1024, 1<<30)
	v.checkRange("quiet_ms", s.DrainQuietMillis, 1, 600_000)
	v.checkRange("drain_ms", s.DrainTimeoutMillis, 1, 86_400_000)
}

func (v *validator) checkVoters(s Settings) {
	if len(s.Voters) == 0 {
		v.addFault("voters", checker.CodeOutOfRange, "expected at least one voter")
	}
	seen := map[figseam.InstanceID]bool{}
	for _, voter := range s.Voters {
		v.checkNotEmpty("voters", string(voter.Instance))
		v.checkAddress("voters", voter.Address)
		if seen[voter.Instance] {
			v.addFault("voters", checker.CodeDuplicateObject, "instance %q stands here twice", voter.Instance)
		}
		seen[voter.Instance] = true
	}
	if seen[s.Instance] && s.DataDir == "" {
		v.addFault("data_folder", checker.CodeMissingField, "an instance that votes needs a data folder")
	}
}

func (v *validator) checkNotEmpty(field, value string) {
	if value == "" {
		v.addFault(field, checker.CodeOutOfRange, "expected a non-empty name")
	}
}

// checkAddress reports a value that is not an IP address with a port from 1 to 65535.
func (v *validator) checkAddress(field, value string) {
	host, port, err := net.SplitHostPort(value)
	portNumber, portErr := strconv.Atoi(port)
	if err != nil || net.ParseIP(host) == nil || portErr != nil || portNumber < 1 || portNumber > 65535 {
		v.addFault(field, checker.CodeOutOfRange, "expected IP:port, found %q", value)
	}
}

func (v *validator) checkRange(field string, value, low, high int64) {
	if value < low || value > high {
		v.addFault(field, checker.CodeOutOfRange, "expected a whole number from %d to %d, found %d", low, high, value)
	}
}
