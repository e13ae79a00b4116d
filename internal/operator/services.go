package operator

import (
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"spokegw/internal/broker"
	"spokegw/internal/route"
	"spokegw/internal/target"
	"spokegw/policy"
)

// Service configures one service behind the sidecar.
type Service struct {
	Name   string
	Weight float64 // relative weight when descriptors, memory and request slots are reserved
	// Platform reports that the endpoint list, class table and settings come from the platform. The
	// fields below are then not set.
	Platform       bool
	Paths          []string // path prefixes of whole segments that belong to the service
	Endpoints      []string // addresses; alternative to Registry
	Registry       string   // address of a registry that lists the endpoints
	Classes        []Class
	Attempts       int // maximum per request
	SecondCopies   bool
	ConnectTimeout time.Duration
	Idle           time.Duration // endpoints close connections that have been idle for this time

	key string
}

// ClearPositions clears the service's positions in its file, for comparisons.
func (s *Service) ClearPositions() {
	s.key = ""
	s.Classes = slices.Clone(s.Classes)
	for i := range s.Classes {
		s.Classes[i].key = ""
	}
}

// Class configures one class of a service's requests.
type Class struct {
	Name    string
	Paths   []string // prefixes of whole segments
	Methods []string
	policy.Class

	key string
}

func readService(t *table) Service {
	s := Service{
		key: t.key, Name: readName(t), Weight: t.number("weight", 1, 0.01, 100),
		Paths: t.pathPrefixes("paths"), Endpoints: t.stringList("endpoints", maxEndpoints), Registry: t.str("registry", ""),
		Attempts: int(t.number("attempts", 3, 1, 10)), SecondCopies: get(t, "second-copies", "true or false", true),
		ConnectTimeout: t.duration("connect-timeout", 250*time.Millisecond, time.Millisecond, time.Minute),
		Idle:           t.duration("idle", 10*time.Second, 100*time.Millisecond, time.Hour),
	}
	for _, c := range t.tables("class", broker.MaxClasses) {
		s.Classes = append(s.Classes, readClass(c))
	}
	t.end()
	s.Platform = len(s.Endpoints) == 0 && s.Registry == "" && !t.has("endpoints")
	switch {
	case s.Platform:
		for _, k := range []string{"paths", "class", "attempts", "second-copies", "connect-timeout", "idle"} {
			if t.has(k) {
				t.fault(k, "a service without endpoints or registry is the platform's own, whose %s the platform configures; endpoints or a registry are expected with it", k)
			}
		}
	case len(s.Endpoints) > 0 && s.Registry != "":
		t.fault("registry", "either endpoints or a registry is expected, not both")
	case len(s.Endpoints) == 0 && s.Registry == "":
		t.fault("endpoints", "at least one address is expected")
	case len(s.Classes) == 0:
		t.r.fault(t.key, "at least one [[service.class]] is expected")
	}
	for _, addr := range s.Endpoints {
		t.checkAddr("endpoints", addr)
	}
	if s.Registry != "" {
		t.checkAddr("registry", s.Registry)
	}
	for i, addr := range s.Endpoints {
		if slices.Contains(s.Endpoints[:i], addr) {
			t.fault("endpoints", "%s is listed twice", addr)
		}
	}
	return s
}

// readName reads and checks the key "name".
func readName(t *table) string {
	n := t.str("name", "")
	if n == "" || len(n) > maxName || strings.ContainsFunc(n, func(c rune) bool { return c <= ' ' || c == 0x7f }) {
		t.fault("name", "a name of 1 to %d bytes without spaces is expected, not %.60q", maxName, n)
	}
	return n
}

// checkAddr requires an IP address and a port: names are not resolved.
func (t *table) checkAddr(key, addr string) {
	host, port, err := net.SplitHostPort(addr)
	if n, portErr := strconv.ParseUint(port, 10, 16); err != nil || net.ParseIP(host) == nil || portErr != nil || n == 0 {
		t.fault(key, "an address such as 10.1.0.18:8080 is expected, not %.60q", addr)
	}
}

// pathPrefixes reads a list of path prefixes.
func (t *table) pathPrefixes(key string) []string {
	paths := t.stringList(key, maxPaths)
	for _, p := range paths {
		plain, query, err := target.Split(p)
		switch {
		case err != nil:
			t.fault(key, "%v", err)
		case query != "" || plain != p || len(p) < 2 || strings.HasSuffix(p, "/") || strings.Count(p, "/") > route.MaxDepth:
			t.fault(key, "a path such as /forecast is expected, of at most %d segments and with no / at its end, not %.60q", route.MaxDepth, p)
		}
	}
	return paths
}

var (
	effects = map[string]policy.Effect{"safe": policy.Idempotent, "keyed": policy.Keyed, "unsafe": policy.Unsafe}
	scopes  = map[string]policy.Scope{"service": policy.ScopeAll, "zone": policy.ScopeZone, "pod": policy.ScopeCell}
	methods = []string{"GET", "POST", "PUT", "PATCH", "DELETE"}
)

func readClass(t *table) Class {
	c := Class{key: t.key, Name: readName(t), Paths: t.pathPrefixes("paths"), Methods: t.stringList("methods", len(methods))}
	if !t.has("effect") {
		t.r.fault(t.key, "effect is missing: safe, keyed or unsafe is expected")
	}
	c.Effect = effects[t.oneOf("effect", "unsafe", "safe", "keyed", "unsafe")]
	if !t.has("aim") || !t.has("deadline") {
		t.r.fault(t.key, `aim and deadline are expected, such as aim = "400ms" and deadline = "1.2s"`)
	}
	c.Aim = t.duration("aim", time.Millisecond, time.Millisecond, MaxDeadline)
	c.Deadline = t.duration("deadline", MaxDeadline, time.Millisecond, MaxDeadline)
	if c.Aim > c.Deadline {
		t.fault("aim", "at most the deadline of %v is expected, not %v", c.Deadline, c.Aim)
	}
	c.Worth = t.number("worth", 1, 0, 1e6)
	c.LateWorth = t.number("late-worth", 0.5, 0, 1)
	keyed := c.Effect == policy.Keyed
	if keyed != t.has("window") {
		t.fault("window", "a window is expected with a keyed class, and with no other: how long a repeat is discarded for")
	}
	c.DedupWindow = t.duration("window", 0, time.Millisecond, 24*time.Hour)
	if !keyed && t.has("scope") {
		t.fault("scope", "a scope is expected with a keyed class only")
	}
	c.Scope = scopes[t.oneOf("scope", "pod", "service", "zone", "pod")]
	if len(c.Paths) == 0 {
		c.Paths = []string{"/" + c.Name}
		if p, _, err := target.Split(c.Paths[0]); err != nil || p != c.Paths[0] {
			t.fault("name", "a class without paths has /name for its path, which %.60q can't be part of", c.Name)
		}
	}
	for _, m := range c.Methods {
		if !slices.Contains(methods, m) || c.Effect == policy.Idempotent && m != "GET" {
			t.fault("methods", "%s are expected, and only GET with a safe class, not %.20q", strings.Join(methods, ", "), m)
		}
		if m == "GET" && c.Effect != policy.Idempotent {
			t.fault("methods", "GET is safe to repeat (RFC 9110, section 9.2.1), but this class is not safe")
		}
	}
	if len(c.Methods) == 0 {
		c.Methods = []string{"POST"}
		if c.Effect == policy.Idempotent {
			c.Methods = []string{"GET"}
		}
	}
	t.end()
	return c
}
