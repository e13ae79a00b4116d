// Package fault describes the faults of a file and their positions.
package fault

import (
	"fmt"
	"strings"
)

// Fault is one fault of a file.
type Fault struct {
	File string
	Line int    // from 1; 0: the whole file
	Key  string // such as team[2].share; "": the whole file
	Text string // what was found, and what was expected
}

func (f Fault) Error() string {
	place := f.File
	if f.Line > 0 {
		place += fmt.Sprintf(":%d", f.Line)
	}
	if f.Key != "" {
		place += ": " + f.Key
	}
	return place + ": " + f.Text
}

// Faults are all faults of a file, by line.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Lines maps a file's keys to their lines.
type Lines map[string]int

// Lookup returns the line of a key, or of the nearest enclosing table that has one; 0: unknown.
func (l Lines) Lookup(key string) int {
	for k := key; k != ""; k = parent(k) {
		if line := l[k]; line > 0 {
			return line
		}
		if line := l[k+"[0]"]; line > 0 { // the first table of an array
			return line
		}
	}
	return l[""] // the line of the file's first value, if it is known
}

// parent returns the key of the table that contains a key.
func parent(key string) string {
	i := strings.LastIndexAny(key, ".[")
	return key[:max(i, 0)]
}
