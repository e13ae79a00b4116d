// Package operator reads the operator's file: the services behind the sidecar
// and the contracts of the teams that use them. Reading is strict: what is not
// known, does not fit, or contradicts something else is a fault with its place
// and what was expected, and all faults are told at once.
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

// MaxDeadline is the longest deadline that a class may have.
const MaxDeadline = time.Minute

// Bounds on what a file may hold.
const (
	maxFile      = 4 << 20 // bytes
	maxServices  = 32
	maxEndpoints = 1024
	maxTeams     = 16384
	maxCalls     = 32
	maxPaths     = 64
	maxName      = 256 // bytes; a longer Req-Owner is refused
	shareSlack   = 1e-9
)

// File is what an operator's file says. It has been checked by itself, and
// against the platform's class table by Check.
type File struct {
	Services []Service
	Teams    []Team
	// Strangers are the terms of all that have no contract, together; nil: they
	// are refused.
	Strangers *Strangers
	HTTP3     *HTTP3 // nil: off
	HTTP1     HTTP1
	Metrics   string // address that tells the figures to Prometheus; "": off
	Moves     []Move
	Console   string             // path of the socket for operators' tools; "": off
	Keys      Keys               // how keyed requests come to the disk of State
	State     string             // folder on a lasting disk; "": there is none
	Overload  *overload.Settings // of the brake for the sidecar's own processor; nil: off
	Fleet     *Fleet             // nil: this process decides alone

	reader *reader // for faults that show later
	text   []byte
}

// Text is what the file was read from.
func (f *File) Text() []byte { return f.text }

// Keys is how keyed requests come to a disk.
type Keys string

const (
	KeysInSnapshot Keys = "image"  // with all else, every two seconds
	KeysAsync      Keys = "soon"   // together with those that come meanwhile, at once; nothing waits for it
	KeysBeforeSend Keys = "before" // before they are sent
)

// UsesStore reports whether keys are kept by themselves, apart from the image.
func (k Keys) UsesStore() bool { return k == KeysAsync || k == KeysBeforeSend }

// Load reads the file at path.
func Load(path string) (*File, error) {
	text, err := read(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// read reads a file, and one byte more than it may have.
func read(path string) ([]byte, error) {
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

// Parse reads a file's text. The error is of type fault.Faults.
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
	f.Strangers = readStrangers(root.table("no-contract"))
	f.HTTP3 = readHTTP3(root.table("http3"))
	if h := root.table("http1"); h != nil {
		f.HTTP1.Pipelining = get(h, "pipelining", "true or false", false)
		h.end()
	}
	if m := root.table("metrics"); m != nil {
		f.Metrics = m.text("listen", "")
		m.checkAddrOrFreePort("listen", f.Metrics)
		m.end()
	}
	if t := root.table("console"); t != nil {
		if f.Console = t.text("socket", ""); f.Console == "" {
			t.fault("socket", "the path of a Unix socket is expected")
		}
		t.end()
	}
	if t := root.table("state"); t != nil {
		if f.State = t.text("directory", ""); f.State == "" {
			t.fault("directory", "the name of a folder on a lasting disk is expected")
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

// err are the faults so far, by line; nil where there are none.
func (f *File) err() error {
	if len(f.reader.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.reader.faults, func(a, b fault.Fault) int { return a.Line - b.Line })
	return f.reader.faults
}

// readOverload reads the brake's settings; what is not told is as overload.DefaultSettings has it.
func readOverload(t *table) *overload.Settings {
	d := overload.DefaultSettings
	set := overload.Settings{
		Target:   t.duration("target", d.Target, time.Millisecond, time.Second),
		Interval: t.duration("interval", d.Interval, 2*time.Millisecond, 10*time.Second),
	}
	if err := set.Validate(); err != nil {
		t.fault("", "%v", err)
	}
	t.end()
	return &set
}
