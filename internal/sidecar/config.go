// Package sidecar implements the process around the decision module: it accepts requests from
// the application, executes the module's decisions and reports their results to it. It makes no
// decisions itself.
package sidecar

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"

	"spokegw/internal/budget"
	"spokegw/internal/discovery"
	"spokegw/internal/fault"
	"spokegw/internal/journal"
	"spokegw/internal/jsonfile"
	"spokegw/internal/operator"
	"spokegw/internal/wire"
	"spokegw/policy"
)

// Config is the configuration that a sidecar starts with.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Seed      uint64
	Limits    Limits
	Known     discovery.List
	Settings  wire.Settings

	// Management is the operators' address; "" disables it. Folder is shared by the sidecar's
	// processes, and a new one finds its predecessor there; "" disables the handover.
	Management string
	Folder     string
	// Disk stores the state; nil selects the machine's disk.
	Disk journal.Disk

	// OwnProcess reports that the process, and so its memory, belongs to this sidecar alone.
	OwnProcess bool

	outline  jsonfile.Outline // keys present in the file
	Operator *operator.File   // nil: no contracts, and only the platform's service
}

// Limits are the resource limits of the sidecar's machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// LoadConfig reads the file that NODE_CONFIG names. NODE_NAME and NODE_LISTEN take precedence
// over it. NODE_DISCOVERY does not: the environment stays unchanged when the file is replaced,
// so it counts only if the file names no address.
func LoadConfig(getenv func(string) string) (Config, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return Config{}, errors.New("NODE_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := ParseConfig(path, text)
	if err != nil {
		return Config{}, err
	}
	c.Folder, c.OwnProcess = getenv("TMPDIR"), true
	for name, field := range map[string]*string{"NODE_NAME": &c.Name, "NODE_LISTEN": &c.Listen, "NODE_MANAGEMENT": &c.Management} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	if c.Discovery == "" {
		c.Discovery = getenv("NODE_DISCOVERY")
	}
	var missing fault.Faults
	if c.Listen == "" {
		missing = append(missing, fault.Fault{File: path, Key: "listen", Text: "an address to listen at is expected here or in NODE_LISTEN"})
	}
	if c.Discovery == "" {
		missing = append(missing, fault.Fault{File: path, Key: "discovery", Text: "the registry's address is expected here or in NODE_DISCOVERY"})
	}
	if len(missing) > 0 {
		return Config{}, &parseError{missing, &jsonfile.MissingKeysError{Keys: []string{"listen or discovery"}}}
	}
	return c, nil
}

// minReserve is the number of descriptors to endpoints that a service needs for itself.
const minReserve = 2

// CheckOperator checks an operator's file against the platform's classes and limits.
func (c *Config) CheckOperator(f *operator.File) error {
	if err := f.Check(c.Settings.Classes); err != nil {
		return err
	}
	sum := 0.0
	for _, s := range f.Services {
		sum += s.Weight
	}
	for _, s := range f.Services {
		reserve := budget.ReservedFraction * float64(c.Limits.sockets(upstreamFraction)) * s.Weight / sum
		if len(f.Services) > 1 && reserve < minReserve {
			return fmt.Errorf("service %q: its reserve is %.1f of the %d descriptors for endpoints, at least %d are expected: raise its weight, or configure fewer services for limits.sockets = %d",
				s.Name, reserve, c.Limits.sockets(upstreamFraction), minReserve, c.Limits.Sockets)
		}
	}
	if h := f.HTTP3; h != nil {
		window, available := int64(h.Connections)*h.ConnectionWindow, int64(http3Fraction*float64(c.Limits.MemoryMB<<20))
		if window > available {
			return fmt.Errorf("http3: %d connections with a connection-window of %d bytes may hold %d bytes, at most %d are expected: %v of limits.memory_mb = %d",
				h.Connections, h.ConnectionWindow, window, available, http3Fraction, c.Limits.MemoryMB)
		}
	}
	return nil
}

// sockets returns a fraction of the descriptors. If there are few, the sidecar's own are
// subtracted first: otherwise clients and endpoints at their limits would leave none for
// discovery.
func (l Limits) sockets(fraction float64) int64 {
	shared := float64(l.Sockets-ownSockets) / (clientFraction + upstreamFraction)
	return int64(fraction * min(float64(l.Sockets), shared))
}

// rawConfig is what a configuration is decoded into.
type rawConfig struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Manage    string          `json:"management"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// configSchema is the full structure of a configuration, used to locate faults.
type configSchema struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Manage    string `json:"management"`
	Limits    Limits `json:"limits"`
	Known     struct {
		Version int64             `json:"version"`
		Full    bool              `json:"full"`
		Servers []discovery.Entry `json:"servers"`
	} `json:"known"`
	Settings *wire.RawSettings `json:"settings"`
}

var defaultLimits = Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}

// ParseConfig parses a configuration. The error lists every fault in it; name is the file's
// name for these messages.
func ParseConfig(name string, text []byte) (Config, error) {
	c, err := parseConfig(text)
	if err == nil {
		c.outline, err = jsonfile.ReadOutline(text, "known", "peers")
	}
	if err == nil {
		return c, nil
	}
	if faults := configFaults(name, text); len(faults) > 0 {
		return c, &parseError{faults, err}
	}
	return c, fmt.Errorf("%s: %w", name, err)
}

// configFaults returns the faults of a configuration, sorted by line.
func configFaults(name string, text []byte) fault.Faults {
	f := jsonfile.Read(name, text)
	f.Check(configSchema{})
	s := configSchema{Limits: defaultLimits}
	if len(f.Faults) == 0 && json.Unmarshal(text, &s) == nil {
		s.check(f)
	}
	slices.SortStableFunc(f.Faults, func(a, b fault.Fault) int { return a.Line - b.Line })
	return f.Faults
}

// check records invalid values.
func (s *configSchema) check(f *jsonfile.File) {
	if s.Settings != nil {
		s.Settings.Check(f, "settings")
	} else {
		f.Fault("settings", "it is missing, an object is expected")
	}
	if _, err := parseSeed(s.Seed); err != nil {
		f.Fault("seed", "up to 16 hexadecimal digits are expected, not %.60q", s.Seed)
	}
	if s.Limits.Sockets < minSockets {
		f.Fault("limits.sockets", "at least %d is expected, not %d", minSockets, s.Limits.Sockets)
	}
	if s.Limits.MemoryMB < minMemoryMB {
		f.Fault("limits.memory_mb", "at least %d is expected, not %d", minMemoryMB, s.Limits.MemoryMB)
	}
}

func parseConfig(text []byte) (Config, error) {
	raw := rawConfig{Limits: defaultLimits}
	if err := json.Unmarshal(text, &raw); err != nil {
		return Config{}, err
	}
	c := Config{Name: raw.Name, Listen: raw.Listen, Discovery: raw.Discovery, Management: raw.Manage, Limits: raw.Limits}
	var err error
	if len(raw.Settings) == 0 {
		return c, errors.New("settings are missing")
	}
	if c.Settings, err = wire.DecodeSettings(raw.Settings); err != nil {
		return c, err
	}
	if _, err := policy.New(c.Settings.Policy, 0); err != nil {
		return c, err
	}
	for i, class := range c.Settings.Policy.Classes {
		if class.Deadline <= 0 {
			return c, fmt.Errorf("settings: classes[%d]: hard_limit_ms must be greater than 0", i)
		}
	}
	if len(raw.Known) > 0 && !bytes.Equal(raw.Known, []byte("null")) {
		if c.Known, err = discovery.Decode(bytes.NewReader(raw.Known)); err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
	}
	if c.Seed, err = parseSeed(raw.Seed); err != nil {
		return c, fmt.Errorf("seed: %w", err)
	}
	if c.Limits.Sockets < minSockets || c.Limits.MemoryMB < minMemoryMB {
		return c, fmt.Errorf("limits: %d sockets and %d MB are too few: at least %d and %d are needed",
			c.Limits.Sockets, c.Limits.MemoryMB, minSockets, minMemoryMB)
	}
	return c, nil
}

// parseSeed parses a seed, or draws a random one if the text is empty.
func parseSeed(text string) (uint64, error) {
	if text == "" {
		return rand.Uint64(), nil
	}
	return strconv.ParseUint(text, 16, 64)
}
