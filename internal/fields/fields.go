// Package fields decides which header fields of a message the sidecar forwards: hop-by-hop fields
// are not forwarded (RFC 9110 section 7.6.1).
package fields

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHop are the fields that apply to one connection, and those that the sidecar sets itself.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true, "Req-Deadline": true,
}

// Rule decides which fields of one message are forwarded.
type Rule struct{ connectionNamed []string }

// RuleFor returns the rule for a message with these fields, whose names are canonical. Fields that
// Connection names are not forwarded, except those that determine how a request is handled: a
// client can't have them removed.
func RuleFor(h http.Header) (r Rule) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			r.connectionNamed = append(r.connectionNamed, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return r
}

// Forwards reports whether a field is forwarded.
func (r Rule) Forwards(name string) bool {
	return !hopByHop[name] && (!slices.Contains(r.connectionNamed, name) || name == "Req-Id" || name == "Idempotency-Key")
}

// EachForwarded calls each for the forwarded fields of h.
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

// Append appends the lines of the forwarded fields of h, except those for which skip returns true;
// skip may be nil.
func Append(b []byte, h http.Header, skip func(name string) bool) []byte {
	r := RuleFor(h)
	for name, values := range h {
		if !r.Forwards(name) || skip != nil && skip(name) {
			continue
		}
		for _, v := range values {
			b = append(append(append(append(b, name...), ": "...), v...), "\r\n"...)
		}
	}
	return b
}
