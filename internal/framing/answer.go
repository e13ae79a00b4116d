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
	Minor            int // of HTTP/1
	Header           http.Header
	ClosesConnection bool // the connection ends with it, by what is told or by what is not
}

var errStatus = errors.New("the answer does not begin with a version of HTTP/1 and a status of three digits")

// ReadAnswer reads a whole head of an answer that Check finds nothing wrong with. Names
// are canonical, values without the space around them and in their order.
func ReadAnswer(text []byte) (Answer, error) {
	head, err := Check(text)
	a := Answer{Head: head}
	if err != nil {
		return a, err
	}
	line, lines, _ := strings.Cut(string(text), "\r\n") // the one copy that all names and values are parts of
	if a.Minor, a.Status = status(line); a.Status == 0 {
		return a, errStatus
	}
	a.Header = fieldsOf(lines)
	if a.Minor == 0 {
		if a.Chunked {
			return a, errCoding // which that version does not have: a reader of it goes on to the end
		}
		a.ClosesConnection = !a.KeepAlive
	}
	a.ClosesConnection = a.ClosesConnection || a.Close || a.Length < 0 && !a.Chunked && a.HasBody()
	return a, nil
}

// HasBody reports whether the status lets a body come (RFC 9112 section 6.3).
func (a *Answer) HasBody() bool {
	return a.Status >= 200 && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified
}

// status reads a status line; a status of 0: it is none.
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

// fieldsOf reads the lines of a head that was checked. The values of all names share one
// slice, each with no room behind it: what is appended to one does not meet the next.
func fieldsOf(lines string) http.Header {
	n := strings.Count(lines, "\r\n") - 1
	h, values := make(http.Header, n), make([]string, 0, n)
	for range n {
		line, rest, _ := strings.Cut(lines, "\r\n")
		lines = rest
		name, value, _ := strings.Cut(line, ":")
		name, value = textproto.CanonicalMIMEHeaderKey(name), strings.Trim(value, " \t")
		if of := h[name]; of != nil {
			h[name] = append(of, value)
			continue
		}
		values = append(values, value)
		h[name] = values[len(values)-1 : len(values) : len(values)]
	}
	return h
}

// hasToken reports whether a list has a token, in any case (RFC 9110 section 5.6.1).
func hasToken(list []byte, token string) bool {
	for of := range bytes.SplitSeq(list, []byte(",")) {
		if bytes.EqualFold(bytes.Trim(of, " \t"), []byte(token)) {
			return true
		}
	}
	return false
}
