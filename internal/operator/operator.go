// Package operator reads the operator's file: the services behind the sidecar and the contracts of
// the teams that use them. Reading is strict: an unknown key, an invalid value or a contradiction
// is a fault, with its position and what was expected, and all faults are reported at once.
package operator

import (
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"spokegw/internal/fault"
	"spokegw/internal/overload"
)

// MaxDeadline bounds the deadline of a class.
const MaxDeadline = time.Minute

// Bounds on the size of a file.
const (
	maxFile        = 4 << 20 // bytes
	maxServices    = 32
	maxEndpoints   = 1024
	maxTeams       = 16384
	maxAllows      = 32
	maxPaths       = 64
	maxName        = 256 // bytes; requests with a longer Req-Owner are refused
	shareTolerance = 1e-9
)

// File is the content of an operator's file. Parse has checked it for consistency; Check checks it
// against the platform's class table.
type File struct {
	Services []Service
	Teams    []Team
	// Strangers are the common terms of all teams without a contract; nil: their requests are
	// refused.
	Strangers *Strangers
	HTTP3     *HTTP3 // nil: off
	HTTP1     HTTP1
	Metrics   string // listen address for Prometheus scrapes; "": off
	Moves     []Move
	Console   string             // path of the socket for operators' tools; "": off
	Keys      Keys               // how keyed requests are persisted in State
	State     string             // folder on a persistent disk; "": none
	Overload  *overload.Settings // of load shedding when the sidecar's own processor is overloaded; nil: off
	Fleet     *Fleet             // nil: this process decides alone

	reader *reader // for faults found later
	text   []byte
}

// Text returns the text that the file was read from.
func (f *File) Text() []byte { return f.text }

// Keys selects how keyed requests are persisted.
type Keys string

const (
	KeysInSnapshot Keys = "image"  // with the rest of the state, every two seconds
	KeysAsync      Keys = "soon"   // at once, batched with others that arrive meanwhile; requests do not wait for it
	KeysBeforeSend Keys = "before" // before the request is sent
)

// UsesStore reports whether keys are persisted in a store of their own, apart from the snapshot.
func (k Keys) UsesStore() bool { return k == KeysAsync || k == KeysBeforeSend }

func Load(path string) (*File, error) {
	text, err := readLimited(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// readLimited reads a file up to one byte over maxFile, so that Parse can refuse a longer one.
func readLimited(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return text, nil
}

// Parse parses the text of a file. The error is of type fault.Faults.
func Parse(name string, text []byte) (*File, error) {
	r := &reader{file: name}
	f := &File{reader: r, text: text}
	if len(text) > maxFile {
		r.fault("", "%d bytes at most are expected", maxFile)
		return nil, r.faults
	}
	values := r.decode(text)
	if values == nil && len(r.faults) > 0 {
		return nil, r.faults
	}
	root := &table{r: r, values: values}
	for _, t := range root.tables("service", maxServices) {
		f.Services = append(f.Services, readService(t))
	}
	for _, t := range root.tables("team", maxTeams) {
		f.Teams = append(f.Teams, readTeam(t))
	}
	f.Strangers = readNoContract(root.table("no-contract"))
	f.HTTP3 = readHTTP3(root.table("http3"))
	if h := root.table("http1"); h != nil {
		f.HTTP1.Pipelining = get(h, "pipelining", "true or false", false)
		h.end()
	}
	if m := root.table("metrics"); m != nil {
		f.Metrics = m.str("listen", "")
		m.checkAddrOrFreePort("listen", f.Metrics)
		m.end()
	}
	if t := root.table("console"); t != nil {
		if f.Console = t.str("socket", ""); f.Console == "" {
			t.fault("socket", "the path of a Unix socket is expected")
		}
		t.end()
	}
	if t := root.table("state"); t != nil {
		if f.State = t.str("directory", ""); f.State == "" {
			t.fault("directory", "the name of a folder on a persistent disk is expected")
		}
		f.Keys = Keys(t.oneOf("keys", string(KeysInSnapshot), string(KeysInSnapshot), string(KeysAsync), string(KeysBeforeSend)))
		t.end()
	}
	if t := root.table("overload"); t != nil {
		f.Overload = readOverload(t)
	}
	f.Fleet = readFleet(root.table("fleet"))
	for _, t := range root.tables("move", maxMoves) {
		f.Moves = append(f.Moves, readMove(t))
	}
	root.end()
	f.checkServices()
	f.checkTeams()
	f.checkMoves()
	f.checkQuotas()
	return f, f.err()
}

// err returns the faults so far, by line; nil if there are none.
func (f *File) err() error {
	if len(f.reader.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.reader.faults, func(a, b fault.Fault) int { return a.Line - b.Line })
	return f.reader.faults
}

// readOverload reads the load shedding settings; overload.DefaultSettings has the default values.
func readOverload(t *table) *overload.Settings {
	defaults := overload.DefaultSettings
	settings := overload.Settings{
		Target:   t.duration("target", defaults.Target, time.Millisecond, time.Second),
		Interval: t.duration("interval", defaults.Interval, 2*time.Millisecond, 10*time.Second),
	}
	if err := settings.Validate(); err != nil {
		t.fault("", "%v", err)
	}
	t.end()
	return &settings
}
