// Package fault says what is wrong with a file, and where.
package fault

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong with a file.
type Fault struct {
	File string
	Line int    // from 1; 0: of the whole file
	Key  string // such as team[2].share; "": of the whole file
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

// Faults are all that is wrong with a file, by line.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Lines are the lines of a file's keys.
type Lines map[string]int

// Lookup is the line of a key, or of the nearest table that holds it; 0: of none.
func (l Lines) Lookup(key string) int {
	for k := key; k != ""; k = parent(k) {
		if line := l[k]; line > 0 {
			return line
		}
		if line := l[k+"[0]"]; line > 0 { // the first table of an array
			return line
		}
	}
	return l[""] // of the file's first value, where it is known
}

// parent is the key of the table that holds a key.
func parent(key string) string {
	i := strings.LastIndexAny(key, ".[")
	return key[:max(i, 0)]
}
