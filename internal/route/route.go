// Package route finds the service and class of a path. It is pure, and a table
// never changes once it is built: another takes its place.
package route

import (
	"fmt"
	"strings"
)

// Destination is where a path leads.
type Destination struct{ Service, Class int } // positions in the lists of the caller

// NoClass stands for a path of a service that none of its classes has.
const NoClass = -1

// MaxDepth bounds the segments of a prefix.
const MaxDepth = 16

// Table matches paths by their longest prefix of whole segments.
type Table struct {
	prefixes map[string]Destination
	depth    int // segments of the longest prefix
}

// New makes an empty table.
func New() *Table { return &Table{prefixes: map[string]Destination{}} }

// Add makes a prefix, such as /forecast/alpine, lead to a class. It is an error
// if the prefix leads somewhere already.
func (t *Table) Add(prefix string, to Destination) error {
	depth := strings.Count(prefix, "/")
	switch _, taken := t.prefixes[prefix]; {
	case len(prefix) < 2 || prefix[0] != '/' || strings.HasSuffix(prefix, "/"):
		return fmt.Errorf("the prefix %q does not begin with / or ends in it", prefix)
	case depth > MaxDepth:
		return fmt.Errorf("the prefix %.60q has more than %d segments", prefix, MaxDepth)
	case taken:
		return fmt.Errorf("the prefix %q is taken already", prefix)
	}
	t.prefixes[prefix] = to
	t.depth = max(t.depth, depth)
	return nil
}

// Find returns the class of the longest prefix of path. It allocates nothing.
// The path has been checked to have one reading.
func (t *Table) Find(path string) (Destination, bool) {
	for end := t.cut(path); end > 0; end = strings.LastIndexByte(path[:end], '/') {
		if c, ok := t.prefixes[path[:end]]; ok {
			return c, true
		}
	}
	return Destination{}, false
}

// cut is the length of path's first segments, as many as a prefix may have.
func (t *Table) cut(path string) int {
	segments := 0
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			if segments++; segments == t.depth {
				return i
			}
		}
	}
	return len(path)
}
