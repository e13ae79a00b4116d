// Package fields says which header fields of a message go on to the other side
// of the sidecar: those of one connection alone do not (RFC 9110 section 7.6.1).
package fields

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHop are the fields of one connection, and those that are written anew.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true, "Req-Deadline": true,
}

// Rule says which fields of one message go on.
type Rule struct{ named []string }

// RuleFor is the rule for a message with these fields, whose names are canonical. Those that
// Connection names stay behind, but for those that decide what becomes of a request: a
// client can't have them taken away.
func RuleFor(h http.Header) (r Rule) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			r.named = append(r.named, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return r
}

// Forwards reports whether a field goes on.
func (r Rule) Forwards(name string) bool {
	return !hopByHop[name] && (!slices.Contains(r.named, name) || name == "Req-Id" || name == "Idempotency-Key")
}

// EachForwarded calls each for the fields of h that go on.
func EachForwarded(h http.Header, each func(name, value string)) {
	r := RuleFor(h)
	for name, values := range h {
		if r.Forwards(name) {
			for _, v := range values {
				each(name, v)
			}
		}
	}
}

// Append appends the lines of the fields of h that go on, but for those that without
// names, where it is not nil.
func Append(b []byte, h http.Header, without func(name string) bool) []byte {
	r := RuleFor(h)
	for name, values := range h {
		if !r.Forwards(name) || without != nil && without(name) {
			continue
		}
		for _, v := range values {
			b = append(append(append(append(b, name...), ": "...), v...), "\r\n"...)
		}
	}
	return b
}
