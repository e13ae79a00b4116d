package framing

import (
	"bytes"
	"errors"
	"net/http"
	"net/textproto"
	"strings"
)

// Answer is the head of an answer (RFC 9112 section 4).
type Answer struct {
	Head
	Status           int
	Minor            int // minor version of HTTP/1
	Header           http.Header
	ClosesConnection bool // the connection closes after this answer, explicitly or because the body's length is unknown
}

var errStatus = errors.New("the answer does not begin with an HTTP/1 version and a three-digit status")

// ReadAnswer parses a complete head of an answer that Check accepts. Names are
// canonical; values are trimmed and keep their order.
func ReadAnswer(text []byte) (Answer, error) {
	head, err := Check(text)
	a := Answer{Head: head}
	if err != nil {
		return a, err
	}
	line, lines, _ := strings.Cut(string(text), "\r\n") // one copy, of which all names and values are substrings
	if a.Minor, a.Status = status(line); a.Status == 0 {
		return a, errStatus
	}
	a.Header = parseFields(lines)
	if a.Minor == 0 {
		if a.Chunked {
			return a, errCoding // HTTP/1.0 has no chunked coding, so its readers read to the end of the connection
		}
		a.ClosesConnection = !a.KeepAlive
	}
	a.ClosesConnection = a.ClosesConnection || a.Close || a.Length < 0 && !a.Chunked && a.HasBody()
	return a, nil
}

// HasBody reports whether the status allows a body (RFC 9112 section 6.3).
func (a *Answer) HasBody() bool {
	return a.Status >= 200 && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified
}

// status parses a status line; a status of 0 means that it is invalid.
func status(line string) (minor, status int) {
	const version = "HTTP/1."
	if len(line) <= len(version) || line[:len(version)] != version || line[7] != '0' && line[7] != '1' {
		return 0, 0
	}
	code, found := strings.CutPrefix(line[8:], " ")
	code, _, _ = strings.Cut(strings.TrimLeft(code, " "), " ")
	if !found || len(code) != 3 || code[0] == '0' {
		return 0, 0
	}
	for _, d := range []byte(code) {
		if d < '0' || d > '9' {
			return 0, 0
		}
		status = status*10 + int(d-'0')
	}
	return int(line[7] - '0'), status
}

// parseFields parses the header lines of a head that Check accepts. The values of all
// names share one slice, each without spare capacity, so that appending to one name's
// values does not overwrite the next.
func parseFields(lines string) http.Header {
	n := strings.Count(lines, "\r\n") - 1
	h, values := make(http.Header, n), make([]string, 0, n)
	for range n {
		line, rest, _ := strings.Cut(lines, "\r\n")
		lines = rest
		name, value, _ := strings.Cut(line, ":")
		name, value = textproto.CanonicalMIMEHeaderKey(name), strings.Trim(value, " \t")
		if existing := h[name]; existing != nil {
			h[name] = append(existing, value)
			continue
		}
		values = append(values, value)
		h[name] = values[len(values)-1 : len(values) : len(values)]
	}
	return h
}

// hasToken reports whether a comma-separated list has a token, ignoring case (RFC 9110
// section 5.6.1).
func hasToken(list []byte, token string) bool {
	for item := range bytes.SplitSeq(list, []byte(",")) {
		if bytes.EqualFold(bytes.Trim(item, " \t"), []byte(token)) {
			return true
		}
	}
	return false
}
