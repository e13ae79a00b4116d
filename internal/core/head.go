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
	Front  int // by which it came, of those that the service has room for
	Method string
	Target string      // path and query, as they were sent
	Host   string      // the authority asked
	Header http.Header // canonical names
	Length int64       // of the body; -1: not told
	Client Client      // nil: who sent it can't be looked for
}

// Client is who sent a request, as its front sees it.
type Client interface {
	// Disconnected reports whether the client has closed its connection. It does not wait. Word of
	// that may still be on its way, as Exchange.ClientDisconnected.
	Disconnected() bool
}

const (
	maxDeadline = time.Hour
	maxName     = 256 // bytes of an id or a key
)

// single are the fields that decide what becomes of a request. Two of one
// would let this sidecar and an endpoint go by different ones.
var single = []string{"Req-Id", "Req-Kind", "Req-Owner", "Req-Deadline", "Idempotency-Key"}

// known are the fields that mean something to this sidecar or an endpoint. A
// field that spells one of them with _ is another to the one and the same to
// the other, so it goes no further.
var known = map[string]bool{
	"Req-Id": true, "Req-Kind": true, "Req-Owner": true, "Req-Deadline": true, "Req-Retry": true, "Req-Cost": true,
	"Req-Extra": true, "Idempotency-Key": true, "Host": true, "Content-Length": true, "Transfer-Encoding": true,
	"Connection": true, "Upgrade": true, "Content-Type": true, "Content-Encoding": true, "Authorization": true,
}

// misspelt reports whether a canonical name spells a known one with _.
func misspelt(name string) bool {
	return strings.IndexByte(name, '_') >= 0 && known[http.CanonicalHeaderKey(strings.ReplaceAll(name, "_", "-"))]
}

// read reads what the module is to know of a request, and finds its service.
// What the protocol has no place for is refused rather than guessed at: a class
// of which path and field tell different things, a method that does not go with
// it, a body where there is none.
func (t *Table) read(head *Head) (*Mount, entry, policy.Request, *Answer) {
	m, class, q, err := t.route(head)
	if err == nil {
		err = m.describe(&q, class, head)
	}
	var none notFound
	switch {
	case errors.As(err, &none) && t.Contracts:
		return nil, class, q, &Answer{Status: http.StatusNotFound, Reason: err.Error()}
	case err != nil:
		return nil, class, q, malformed(http.StatusBadRequest, err.Error())
	}
	return m, class, q, nil
}

// notFound tells that no service has a class for a path.
type notFound string

func (path notFound) Error() string {
	return fmt.Sprintf("unknown class: nothing is served at %.100q", string(path))
}

// route finds the service and class of a request by its path, which is sent on
// as it was matched.
func (t *Table) route(head *Head) (m *Mount, class entry, q policy.Request, err error) {
	h := head.Header
	for _, name := range single {
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
	class = m.entry(to.Class)
	q.Class = class.number
	if kind := h.Get("Req-Kind"); kind != "" && kind != class.name {
		return nil, class, q, fmt.Errorf("Req-Kind %.100q is not the class in the path, %.100q", kind, class.name)
	}
	if q.Key = queryValue(query, "user"); len(q.Key) > maxName {
		return nil, class, q, errors.New("the key is too long")
	}
	return m, class, q, nil
}

// describe reads what a head of one of the service's classes tells.
func (m *Mount) describe(q *policy.Request, class entry, head *Head) error {
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
	if longest := class.rules.Deadline; longest > 0 {
		q.TimeLeft = min(q.TimeLeft, longest) // nobody waits for longer, whatever he says
	}
	// One over its share costs the others; a tenant that nobody knows has none.
	q.Tenant = slices.Index(m.settled.tenants, h.Get("Req-Owner"))
	if text := h.Get("Req-Cost"); text != "" { // the error for none is allocated each time
		if cost, err := strconv.ParseFloat(text, 64); err == nil && cost > 0 && cost < 1e12 {
			q.Cost = cost / 1e6
		}
	}
	return nil
}

// parseDeadline reads a number and its unit: m is milliseconds, u microseconds.
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

// queryValue finds one parameter. url.ParseQuery would drop a query in which
// any other parameter is odd.
func queryValue(query, name string) string {
	for part := range strings.SplitSeq(query, "&") {
		if k, v, _ := strings.Cut(part, "="); k == name {
			if plain, err := url.QueryUnescape(v); err == nil {
				return plain
			}
			return v
		}
	}
	return ""
}
