package framing

import (
	"net/http"
	"strings"
)

// Request is the head of a plain request (RFC 9112 section 3): HTTP/1.1, with a target
// in origin form, a single host, and no body or one of declared length.
type Request struct {
	Head
	Method, Target, Host string
	Header               http.Header // canonical names, without Host, as in net/http
}

// ReadRequest parses a complete head of a request in one pass. If ok is false, the
// request is not plain or is malformed, and has to be parsed by a complete HTTP
// implementation. A request that such an implementation would refuse, or parse
// differently, is never plain. Requests that are valid but unusual are excluded on
// purpose: a target with characters that need special care, a host that is not a name
// and port, and fields that a reader acts on.
func ReadRequest(text []byte) (r Request, ok bool) {
	head, err := Check(text)
	if err != nil || head.Chunked {
		return r, false
	}
	line, lines, _ := strings.Cut(string(text), "\r\n") // one copy, of which all strings are substrings
	line, ok = strings.CutSuffix(line, " HTTP/1.1")
	if !ok {
		return r, false
	}
	r.Method, r.Target, _ = strings.Cut(line, " ")
	if !isUpper(r.Method) || r.Method == http.MethodHead || !plainTarget(r.Target) {
		return r, false
	}
	r.Head, r.Header = head, parseFields(lines)
	for _, name := range specialFields {
		if r.Header[name] != nil {
			return r, false
		}
	}
	if hosts := r.Header["Host"]; len(hosts) != 1 || !allInClass(hosts[0], inHost) {
		return r, false
	}
	r.Host = r.Header["Host"][0]
	delete(r.Header, "Host")
	return r, true
}

// specialFields are fields that a reader acts on or adds others for: a client that
// waits before it sends the body, a protocol switch, trailer fields after chunks, and
// Pragma, for which net/http adds Cache-Control.
var specialFields = []string{"Expect", "Upgrade", "Trailer", "Pragma"}

func isUpper(s string) bool {
	for i := range len(s) {
		if s[i] < 'A' || s[i] > 'Z' {
			return false
		}
	}
	return s != ""
}

// plainTarget reports whether a target is a path, with an optional query, of characters
// without special meaning (RFC 3986 section 3.3) and complete escapes.
func plainTarget(s string) bool {
	if !strings.HasPrefix(s, "/") || strings.HasPrefix(s, "//") || !allInClass(s, inTarget) {
		return false
	}
	for {
		_, after, found := strings.Cut(s, "%")
		if !found {
			return true
		}
		if len(after) < 2 || !isHex(after[0]) || !isHex(after[1]) {
			return false
		}
		s = after[2:]
	}
}

func isHex(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c|0x20 && c|0x20 <= 'f'
}

// allInClass reports whether s is not empty and all its bytes are in a class.
func allInClass(s string, class uint8) bool {
	for i := range len(s) {
		if byteClasses[s[i]]&class == 0 {
			return false
		}
	}
	return s != ""
}
