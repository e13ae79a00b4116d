package core

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"spokegw/internal/target"
	"spokegw/policy"
)

// Head is what a front has read of a request before its body.
type Head struct {
	Front  int // index of the front that received it, in the service's limits
	Method string
	Target string      // path and query, unchanged
	Host   string      // the requested authority
	Header http.Header // canonical names
	Length int64       // of the body; -1: unknown
	Client Client      // nil: its connection can't be checked
}

// Client is the sender of a request as the front sees it.
type Client interface {
	// Disconnected reports whether the client has closed its connection. It does not wait. The
	// corresponding call of Exchange.ClientDisconnected may still be pending.
	Disconnected() bool
}

const (
	maxDeadline = time.Hour
	maxName     = 256 // bytes of an id or a key
)

// singleFields are the fields that decide how a request is handled. If one were present twice,
// this sidecar and an endpoint could use different values.
var singleFields = []string{"Req-Id", "Req-Kind", "Req-Owner", "Req-Deadline", "Idempotency-Key"}

// knownFields are the fields that have a meaning for this sidecar or an endpoint. Some
// recipients treat a name spelt with _ as the same field and others as a different one, so a
// field that spells one of these with _ is not forwarded.
var knownFields = map[string]bool{
	"Req-Id": true, "Req-Kind": true, "Req-Owner": true, "Req-Deadline": true, "Req-Retry": true, "Req-Cost": true,
	"Req-Extra": true, "Idempotency-Key": true, "Host": true, "Content-Length": true, "Transfer-Encoding": true,
	"Connection": true, "Upgrade": true, "Content-Type": true, "Content-Encoding": true, "Authorization": true,
}

// isMisspelt reports whether a canonical name spells a known one with _.
func isMisspelt(name string) bool {
	return strings.IndexByte(name, '_') >= 0 && knownFields[http.CanonicalHeaderKey(strings.ReplaceAll(name, "_", "-"))]
}

// read finds the service of a request and parses its head for the decision module. Inconsistent
// requests are refused rather than guessed at: a class field that contradicts the path, a
// method that does not match the class, a body where none is allowed.
func (t *Table) read(head *Head) (*Mount, tableClass, policy.Request, *Answer) {
	m, class, q, err := t.route(head)
	if err == nil {
		err = m.describe(&q, class, head)
	}
	var unknown notFound
	switch {
	case errors.As(err, &unknown) && t.Contracts:
		return nil, class, q, &Answer{Status: http.StatusNotFound, Reason: err.Error()}
	case err != nil:
		return nil, class, q, malformed(http.StatusBadRequest, err.Error())
	}
	return m, class, q, nil
}

// notFound states that no service has a class for a path.
type notFound string

func (path notFound) Error() string {
	return fmt.Sprintf("unknown class: nothing is served at %.100q", string(path))
}

// route finds the service and class of a request by its path, which is forwarded exactly as it
// was matched.
func (t *Table) route(head *Head) (m *Mount, class tableClass, q policy.Request, err error) {
	h := head.Header
	for _, name := range singleFields {
		if v := h[name]; len(v) > 1 || len(v) == 1 && len(v[0]) > maxName {
			return nil, class, q, fmt.Errorf("%s stands there twice or is too long", name)
		}
	}
	if h.Get("Req-Id") == "" {
		return nil, class, q, errors.New("Req-Id is missing")
	}
	if len(h["Upgrade"]) > 0 {
		return nil, class, q, errors.New("the protocol can't be changed (Upgrade)")
	}
	path, query, err := target.Split(head.Target)
	if err != nil {
		return nil, class, q, err
	}
	to, ok := t.routes.Find(path)
	if !ok {
		return nil, class, q, notFound(path)
	}
	m = &t.mounts[to.Service]
	class = m.class(to.Class)
	q.Class = class.number
	if kind := h.Get("Req-Kind"); kind != "" && kind != class.name {
		return nil, class, q, fmt.Errorf("Req-Kind %.100q is not the class in the path, %.100q", kind, class.name)
	}
	if q.Key = queryValue(query, "user"); len(q.Key) > maxName {
		return nil, class, q, errors.New("the key is too long")
	}
	return m, class, q, nil
}

// describe parses the head of a request to one of the service's classes.
func (m *Mount) describe(q *policy.Request, class tableClass, head *Head) error {
	h := head.Header
	effect := class.rules.Effect
	if !slices.Contains(class.Methods, head.Method) {
		return fmt.Errorf("the method of this class is %s", strings.Join(class.Methods, " or "))
	}
	if head.Method == http.MethodGet && head.Length != 0 {
		return errors.New("a GET has no body")
	}
	if keyed := h.Get("Idempotency-Key") != ""; keyed != (effect == policy.Keyed) {
		return errors.New("Idempotency-Key is missing, or the class has none")
	}
	var err error
	if q.TimeLeft, err = parseDeadline(h.Get("Req-Deadline")); err != nil {
		return err
	}
	if limit := class.rules.Deadline; limit > 0 {
		q.TimeLeft = min(q.TimeLeft, limit) // clients never wait longer than this, whatever they request
	}
	// A tenant above its share takes capacity from the others; an unknown tenant has no share.
	q.Tenant = slices.Index(m.settings.tenants, h.Get("Req-Owner"))
	if text := h.Get("Req-Cost"); text != "" { // ParseFloat would allocate an error for each request without the field
		if cost, err := strconv.ParseFloat(text, 64); err == nil && cost > 0 && cost < 1e12 {
			q.Cost = cost / 1e6
		}
	}
	return nil
}

// parseDeadline parses a number and its unit: m is milliseconds, u microseconds.
func parseDeadline(text string) (time.Duration, error) {
	unit := time.Duration(0)
	switch {
	case strings.HasSuffix(text, "m"):
		unit = time.Millisecond
	case strings.HasSuffix(text, "u"):
		unit = time.Microsecond
	}
	if unit > 0 {
		x, err := strconv.ParseFloat(text[:len(text)-1], 64)
		if d := x * float64(unit); err == nil && d > 0 && d <= float64(maxDeadline) {
			return time.Duration(d), nil
		}
	}
	return 0, fmt.Errorf("bad Req-Deadline %.100q", text)
}

// queryValue finds one parameter. url.ParseQuery would discard a query in which any other
// parameter is malformed.
func queryValue(query, name string) string {
	for part := range strings.SplitSeq(query, "&") {
		if k, v, _ := strings.Cut(part, "="); k == name {
			if decoded, err := url.QueryUnescape(v); err == nil {
				return decoded
			}
			return v
		}
	}
	return ""
}
