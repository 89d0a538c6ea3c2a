// Package loader reads the settings of an instance and checks them strictly.
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

// Default values of settings that may be left out.
const (
	defaultMaxBodyBytes = 4 << 20
	defaultQuietMillis  = 2000
	defaultDrainMillis  = 600_000
)

// Settings are an instance's settings. Addresses are IP:port.
type Settings struct {
	Instance   figseam.InstanceID `json:"instance"`
	DataCentre figseam.DataCentre `json:"data_centre"`
	Region     string             `json:"region"`
	// CallerAddress, Operators, Peers and Metrics are the addresses to listen on.
	CallerAddress   string `json:"callers"`
	OperatorAddress string `json:"operators"`
	PeerAddress     string `json:"peers"`
	MetricsAddress  string `json:"metrics"`
	// Seeds are peer addresses of other instances to start from.
	Seeds []string `json:"seeds"`
	// Voters are the instances that vote on the replicated log.
	Voters []Voter `json:"voters"`
	// DataDir is where the replicated log is kept; empty for an instance
	// without a disk.
	DataDir string `json:"data_folder,omitempty"`
	// PlatformURL is the address of the platform's list; empty for none.
	PlatformURL  string `json:"platform,omitempty"`
	LogLevel     string `json:"log_level,omitempty"`
	MaxBodyBytes int64  `json:"max_body_bytes,omitempty"`
	// DrainQuietMillis is how long a leaving instance must get no new request before
	// it closes its doors; DrainMillis bounds the whole shutdown.
	DrainQuietMillis   int64 `json:"quiet_ms,omitempty"`
	DrainTimeoutMillis int64 `json:"drain_ms,omitempty"`
}

// Voter is an instance that votes.
type Voter struct {
	Instance figseam.InstanceID `json:"instance"`
	Address  string             `json:"address"`
}

// WithDefaults returns a copy with the values that were left out.
func (s Settings) WithDefaults() Settings {
	if s.LogLevel == "" {
		s.LogLevel = zerolog.InfoLevel.String()
	}
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = defaultMaxBodyBytes
	}
	if s.DrainQuietMillis == 0 {
		s.DrainQuietMillis = defaultQuietMillis
	}
	if s.DrainTimeoutMillis == 0 {
		s.DrainTimeoutMillis = defaultDrainMillis
	}
	return s
}

// Load reads a settings file. The error is for a file that cannot be read;
// faults in it are listed.
func Load(path string) (s Settings, faults []decoder.Fault, err error) {
	defer func() { err = eris.Wrap(err, "load settings") }()
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, err
	}
	s, faults = Parse(path, text)
	return s, faults, nil
}

// Parse reads settings. The file name is only used in faults.
func Parse(file string, text []byte) (Settings, []decoder.Fault) {
	root, faults := decoder.Parse(file, text)
	if len(faults) > 0 {
		return Settings{}, faults
	}
	var s Settings
	faults = decoder.Decode(file, root, &s)
	s = s.WithDefaults()
	c := &check{file: file, root: root}
	if len(faults) == 0 {
		c.settings(s)
	}
	return s, append(faults, c.faults...)
}

type check struct {
	file   string
	root   decoder.Node
	faults []decoder.Fault
}

func (c *check) add(field string, code figseam.Code, format string, args ...any) {
	line := c.root.Line
	if n, ok := c.root.Field(field); ok {
		line = n.Line
	} else {
		code = checker.CodeMissingField
	}
	c.faults = append(c.faults, decoder.Fault{
		File: c.file, Line: line, Field: field, Code: code, Detail: fmt.Sprintf(format, args...),
	})
}

func (c *check) settings(s Settings) {
	c.name("instance", string(s.Instance))
	c.name("data_centre", string(s.DataCentre))
	c.name("region", s.Region)
	for _, f := range []struct{ field, address string }{
		{"callers", s.CallerAddress}, {"operators", s.OperatorAddress}, {"peers", s.PeerAddress}, {"metrics", s.MetricsAddress},
	} {
		c.address(f.field, f.address)
	}
	for _, seed := range s.Seeds {
		c.address("seeds", seed)
	}
	c.voters(s)
	if u, err := url.Parse(s.PlatformURL); s.PlatformURL != "" && (err != nil || u.Host == "") {
		c.add("platform", checker.CodeOutOfRange, "expected an address like http://10.0.0.1:9000/list, found %q", s.PlatformURL)
	}
	if _, err := zerolog.ParseLevel(s.LogLevel); err != nil {
		c.add("log_level", checker.CodeOutOfRange, "expected debug, info, warn or error, found %q", s.LogLevel)
	}
	c.between("max_body_bytes", s.MaxBodyBytes, 1024, 1<<30)
	c.between("quiet_ms", s.DrainQuietMillis, 1, 600_000)
	c.between("drain_ms", s.DrainTimeoutMillis, 1, 86_400_000)
}

func (c *check) voters(s Settings) {
	if len(s.Voters) == 0 {
		c.add("voters", checker.CodeOutOfRange, "expected at least one voter")
	}
	seen := map[figseam.InstanceID]bool{}
	for _, v := range s.Voters {
		c.name("voters", string(v.Instance))
		c.address("voters", v.Address)
		if seen[v.Instance] {
			c.add("voters", checker.CodeDuplicateObject, "instance %q stands here twice", v.Instance)
		}
		seen[v.Instance] = true
	}
	if seen[s.Instance] && s.DataDir == "" {
		c.add("data_folder", checker.CodeMissingField, "an instance that votes needs a data folder")
	}
}

func (c *check) name(field, value string) {
	if value == "" {
		c.add(field, checker.CodeOutOfRange, "expected a non-empty name")
	}
}

func (c *check) address(field, value string) {
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.Atoi(port)
	if err != nil || net.ParseIP(host) == nil || portErr != nil || number < 1 || number > 65535 {
		c.add(field, checker.CodeOutOfRange, "expected IP:port, found %q", value)
	}
}

func (c *check) between(field string, value, low, high int64) {
	if value < low || value > high {
		c.add(field, checker.CodeOutOfRange, "expected a whole number from %d to %d, found %d", low, high, value)
	}
}
