// Package sidecar is the process round the decision module: it takes requests
// from the application, carries out what the module decides and tells it how
// that went. It decides nothing itself.
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

// Config is what a sidecar is told at its start.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Seed      uint64
	Limits    Limits
	Known     discovery.List
	Settings  wire.Settings

	// Management is where operators ask, "": nowhere. Folder is what the sidecar's
	// processes share, where a new one finds the one before; "": it asks nobody.
	Management string
	Folder     string
	// Disk is what is kept on; nil: the machine's.
	Disk journal.Disk

	// OwnProcess tells that the process is this sidecar's alone, and its memory
	// with it.
	OwnProcess bool

	keys     jsonfile.Keys  // that the file has
	Operator *operator.File // nil: there are no contracts, and the platform's service alone
}

// Limits are those of the sidecar's machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// LoadConfig reads the file that NODE_CONFIG names. NODE_NAME and NODE_LISTEN
// go before what it says. NODE_DISCOVERY does not: the environment stays as it
// was when the file is replaced, so it counts only where the file is silent.
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
		return Config{}, missing
	}
	return c, nil
}

// leastReserve is the descriptors to endpoints that a service needs for itself.
const leastReserve = 2

// CheckOperator checks an operator's file against the platform's classes and
// limits.
func (c *Config) CheckOperator(f *operator.File) error {
	if err := f.Check(c.Settings.Classes); err != nil {
		return err
	}
	sum := 0.0
	for _, s := range f.Services {
		sum += s.Weight
	}
	for _, s := range f.Services {
		reserve := budget.ReservedFraction * float64(c.Limits.sockets(upstreamPart)) * s.Weight / sum
		if len(f.Services) > 1 && reserve < leastReserve {
			return fmt.Errorf("service %q: its reserve is %.1f of the %d descriptors that there are for endpoints, at least %d are expected: it needs more weight, or there are too many services for limits.sockets = %d",
				s.Name, reserve, c.Limits.sockets(upstreamPart), leastReserve, c.Limits.Sockets)
		}
	}
	if h := f.HTTP3; h != nil {
		window, room := int64(h.Connections)*h.ConnectionWindow, int64(http3Part*float64(c.Limits.MemoryMB<<20))
		if window > room {
			return fmt.Errorf("http3: %d connections with a connection-window of %d bytes may hold %d bytes, at most %d are expected: %v of limits.memory_mb = %d",
				h.Connections, h.ConnectionWindow, window, room, http3Part, c.Limits.MemoryMB)
		}
	}
	return nil
}

// sockets is a part of the descriptors. Of few of them the sidecar's own are taken first:
// with every client and endpoint there is, discovery would have none left.
func (l Limits) sockets(part float64) int64 {
	shared := float64(l.Sockets-ownSockets) / (clientPart + upstreamPart)
	return int64(part * min(float64(l.Sockets), shared))
}

// contents is what a configuration is decoded into.
type contents struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Manage    string          `json:"management"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// shape is contents to the last value, to look for faults.
type shape struct {
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

// ParseConfig reads the text of a configuration. The error tells everything
// that is wrong with it; name is the file's, for that.
func ParseConfig(name string, text []byte) (Config, error) {
	c, err := parseConfig(text)
	if err == nil {
		c.keys = jsonfile.Read(name, text).Keys("known", "peers")
		return c, nil
	}
	if faults := configFaults(name, text); len(faults) > 0 {
		return c, faults
	}
	return c, fmt.Errorf("%s: %w", name, err)
}

// configFaults are the faults of a configuration, by line.
func configFaults(name string, text []byte) fault.Faults {
	f := jsonfile.Read(name, text)
	f.Check(shape{})
	s := shape{Limits: defaultLimits}
	if len(f.Faults) == 0 && json.Unmarshal(text, &s) == nil {
		s.check(f)
	}
	slices.SortStableFunc(f.Faults, func(a, b fault.Fault) int { return a.Line - b.Line })
	return f.Faults
}

// check notes the values that can't be worked with.
func (s *shape) check(f *jsonfile.File) {
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
	raw := contents{Limits: defaultLimits}
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
			return c, fmt.Errorf("settings: classes[%d]: hard_limit_ms has to be over 0", i)
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

// parseSeed reads a seed; where there is none it draws one.
func parseSeed(text string) (uint64, error) {
	if text == "" {
		return rand.Uint64(), nil
	}
	return strconv.ParseUint(text, 16, 64)
}
