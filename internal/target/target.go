// Package target validates that a request target has exactly one interpretation (RFC 9112
// section 3.2, RFC 3986 section 3.3). Contracts allow calls by path, so a path that this
// sidecar and an endpoint could interpret differently would bypass them: an endpoint that
// resolves dot segments serves /order to a team that requested /map-tile/../order. Targets are
// not rewritten: an unambiguous one is matched and forwarded byte for byte, an ambiguous one is
// refused.
//
// Refused are dot segments, encoded or not, encoded slashes, double encoding, empty segments,
// path parameters, encoded letters and digits, and bytes at which some parsers truncate a path.
// Services that need such paths can't be used behind this sidecar. An endpoint that ignores
// case or suffixes such as ".json" is not covered: classes are matched case-sensitively and by
// whole segments.
package target

import (
	"fmt"
	"strings"
)

// MaxLength is the maximum length of a target, in bytes.
const MaxLength = 4 << 10

// OriginForm returns the origin-form of a target that may be in absolute-form, without scheme
// and authority. Servers have to accept both (RFC 9112 section 3.2.2).
func OriginForm(raw string) string {
	for _, scheme := range []string{"http://", "https://"} {
		if len(raw) < len(scheme) || !strings.EqualFold(raw[:len(scheme)], scheme) {
			continue
		}
		remaining := raw[len(scheme):]
		i := strings.IndexAny(remaining, "/?#")
		switch {
		case i < 0:
			return "/"
		case remaining[i] == '/':
			return remaining[i:]
		}
		return "/" + remaining[i:]
	}
	return raw
}

// Split validates a target in origin-form and returns its path and query unchanged. The error
// states the position and the fault.
func Split(raw string) (path, query string, err error) {
	if len(raw) > MaxLength {
		return "", "", fmt.Errorf("the target has %d bytes, %d are allowed", len(raw), MaxLength)
	}
	if !strings.HasPrefix(raw, "/") {
		return "", "", fmt.Errorf("the target %.40q is no path: it has to begin with /", raw)
	}
	path, query, _ = strings.Cut(raw, "?")
	if err := checkPath(path); err != nil {
		return "", "", err
	}
	if i := strings.IndexFunc(query, func(c rune) bool { return c <= ' ' || c >= 0x7f || c == '#' }); i >= 0 {
		return "", "", fmt.Errorf("the query has %q at byte %d, which has to be percent-encoded", query[i], i)
	}
	return path, query, nil
}

func checkPath(path string) error {
	start := 1 // of the segment
	for i := 1; i <= len(path); i++ {
		if i == len(path) || path[i] == '/' {
			if err := checkSegment(path[start:i], i == len(path)); err != nil {
				return fmt.Errorf("the path %w at byte %d", err, start)
			}
			start = i + 1
			continue
		}
		switch c := path[i]; {
		case c == '%':
			if err := checkEscape(path[i:]); err != nil {
				return fmt.Errorf("the path %w at byte %d", err, i)
			}
		case c == ';':
			return fmt.Errorf("the path has a parameter (;) at byte %d, which some drop and some keep", i)
		case c <= ' ' || c >= 0x7f || strings.IndexByte(`\#"<>^{}|`+"`", c) >= 0:
			return fmt.Errorf("the path has %q at byte %d, which has to be percent-encoded", c, i)
		}
	}
	return nil
}

func checkSegment(s string, last bool) error {
	switch {
	case s == "." || s == "..":
		return fmt.Errorf("has a dot segment (%s), which some resolve", s)
	case s == "" && !last:
		return fmt.Errorf("has an empty segment (//), which some merge")
	}
	return nil
}

// checkEscape checks the percent-encoding that s begins with. Encoded bytes that need no
// encoding, or that have a meaning unencoded, are ambiguous.
func checkEscape(s string) error {
	if len(s) < 3 {
		return fmt.Errorf("ends in a percent sign")
	}
	hi, lo := unhex(s[1]), unhex(s[2])
	if hi < 0 || lo < 0 {
		return fmt.Errorf("has %q, which is no percent-encoding", s[:3])
	}
	switch c := byte(hi<<4 | lo); {
	case isUnreserved(c), strings.IndexByte(`/\%;`, c) >= 0, c < ' ', c == 0x7f:
		return fmt.Errorf("has %s, which some decode before they match", s[:3])
	}
	return nil
}

// isUnreserved reports whether c is equivalent to its encoded form (RFC 3986 section 2.3).
func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

func unhex(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}
