// Package route finds the service and class of a path. A table must not be changed once it is
// in use; a new one replaces it.
package route

import (
	"fmt"
	"strings"
)

// Destination is the class that a path belongs to.
type Destination struct{ Service, Class int } // indices in the lists of the caller

// NoClass stands for a path of a service that none of its classes has.
const NoClass = -1

// MaxDepth is the maximum number of segments of a prefix.
const MaxDepth = 16

// Table matches paths by their longest prefix of whole segments.
type Table struct {
	prefixes map[string]Destination
	depth    int // segments of the longest prefix
}

// New makes an empty table.
func New() *Table { return &Table{prefixes: map[string]Destination{}} }

// Add maps a prefix, such as /forecast/alpine, to a class. It returns an error if the prefix is
// already mapped or not valid.
func (t *Table) Add(prefix string, dest Destination) error {
	depth := strings.Count(prefix, "/")
	switch _, taken := t.prefixes[prefix]; {
	case len(prefix) < 2 || prefix[0] != '/' || strings.HasSuffix(prefix, "/"):
		return fmt.Errorf("the prefix %q must begin with / and must not end with it", prefix)
	case depth > MaxDepth:
		return fmt.Errorf("the prefix %.60q has more than %d segments", prefix, MaxDepth)
	case taken:
		return fmt.Errorf("the prefix %q is already in use", prefix)
	}
	t.prefixes[prefix] = dest
	t.depth = max(t.depth, depth)
	return nil
}

// Find returns the class of the longest prefix of path, without allocating. The path must have
// been validated by target.Split.
func (t *Table) Find(path string) (Destination, bool) {
	for end := t.prefixLength(path); end > 0; end = strings.LastIndexByte(path[:end], '/') {
		if c, ok := t.prefixes[path[:end]]; ok {
			return c, true
		}
	}
	return Destination{}, false
}

// prefixLength returns the length of the first segments of path, as many as a prefix may have.
func (t *Table) prefixLength(path string) int {
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
