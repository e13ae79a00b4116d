// Package operator reads the operator's file: the services behind the sidecar
// and the contracts of the teams that use them. Reading is strict: what is not
// known, does not fit, or contradicts something else is a fault with its place
// and what was expected, and all faults are told at once.
package operator

import (
	"encoding/hex"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"spokegw/internal/broker"
	"spokegw/internal/fault"
	"spokegw/internal/overload"
	"spokegw/internal/quiclb"
	"spokegw/internal/route"
	"spokegw/internal/target"
	"spokegw/policy"
)

// MaxDeadline is the longest deadline that a class may have.
const MaxDeadline = time.Minute

// Bounds on what a file may hold.
const (
	maxFile      = 4 << 20 // bytes
	maxServices  = 32
	maxEndpoints = 1024
	maxTeams     = 16384
	maxCalls     = 32
	maxPaths     = 64
	maxName      = 256 // bytes; a longer Req-Owner is refused
	shareSlack   = 1e-9
)

// File is what an operator's file says. It has been checked by itself, and
// against the platform's class table by Check.
type File struct {
	Services []Service
	Teams    []Team
	// Strangers are the terms of all that have no contract, together; nil: they
	// are refused.
	Strangers *Strangers
	HTTP3     *HTTP3 // nil: off
	HTTP1     HTTP1
	Metrics   string // address that tells the figures to Prometheus; "": off
	Moves     []Move
	Console   string             // path of the socket for operators' tools; "": off
	Keys      Keys               // how keyed requests come to the disk of State
	State     string             // folder on a lasting disk; "": there is none
	Overload  *overload.Settings // of the brake for the sidecar's own processor; nil: off
	Fleet     *Fleet             // nil: this process decides alone

	reader *reader // for faults that show later
	text   []byte
}

// Text is what the file was read from.
func (f *File) Text() []byte { return f.text }

// Keys is how keyed requests come to a disk.
type Keys string

const (
	KeysInImage Keys = "image"  // with all else, every two seconds
	KeysSoon    Keys = "soon"   // together with those that come meanwhile, at once; nothing waits for it
	KeysBefore  Keys = "before" // before they are sent
)

// Kept reports whether keys are kept by themselves, apart from the image.
func (k Keys) Kept() bool { return k == KeysSoon || k == KeysBefore }

// Service is one service behind the sidecar.
type Service struct {
	Name   string
	Weight float64 // of its reserve of descriptors, memory and places
	// Platform tells that the list, class table and settings are those that the
	// platform gives the sidecar. Nothing below is set then.
	Platform       bool
	Paths          []string // prefixes of whole segments that are the service's
	Endpoints      []string // addresses; or
	Registry       string   // the address of a registry that lists them
	Classes        []Class
	Attempts       int // of a request at most
	SecondCopies   bool
	ConnectTimeout time.Duration
	Idle           time.Duration // endpoints close connections that were idle for so long

	key string
}

// Forget drops where the service stands in its file, for comparisons.
func (s *Service) Forget() {
	s.key = ""
	s.Classes = slices.Clone(s.Classes)
	for i := range s.Classes {
		s.Classes[i].key = ""
	}
}

// Class is one class of a service's requests.
type Class struct {
	Name    string
	Paths   []string // prefixes of whole segments
	Methods []string
	policy.Class

	key string
}

// Team is one team's contract.
type Team struct {
	Name  string
	Share float64
	Allow []Allow

	key string
}

// Allow are calls that a team may make, with limits over all of them together.
type Allow struct {
	Service string
	Classes []string // empty: all
	Rate    float64  // requests a second; 0: no limit
	Burst   float64
	Work    float64 // seconds of endpoint work a second; 0: no limit
	Shared  bool    // the limits are the whole fleet's

	key string
}

// Strangers are the terms of those without a contract.
type Strangers struct {
	Share       float64
	Rate, Burst float64 // over all of them and all classes of a service
}

// HTTP1 is the front for HTTP/1.1 clients.
type HTTP1 struct {
	Pipelining bool // requests may be sent ahead of answers
}

// HTTP3 is the front for HTTP/3 clients.
type HTTP3 struct {
	Listen           string
	Certificate, Key string // files
	Connections      int
	Streams          int   // requests that may be open on a connection
	StreamWindow     int64 // bytes
	ConnectionWindow int64 // bytes
	MaxHead          int   // bytes
	Handshake, Idle  time.Duration
	Resets           float64 // a second on a connection
	Unvalidated      int
	Routing          *Routing // nil: connection IDs tell a balancer nothing
}

// Routing is what connection IDs tell a balancer before many instances.
type Routing struct {
	Config byte   // rotation codepoint
	Server string // this instance's ID, in hexadecimal digits
	Nonce  int    // bytes
	Key    string // a file with a key in hexadecimal digits; "": all is in plain
}

// Load reads the file at path.
func Load(path string) (*File, error) {
	text, err := read(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// read reads a file, and one byte more than it may have.
func read(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return text, nil
}

// Parse reads a file's text. The error is of type fault.Faults.
func Parse(name string, text []byte) (*File, error) {
	r := &reader{file: name}
	f := &File{reader: r, text: text}
	if len(text) > maxFile {
		r.fault("", "%d bytes at most are expected", maxFile)
		return nil, r.faults
	}
	values := r.decode(text)
	if values == nil && len(r.faults) > 0 {
		return nil, r.faults
	}
	root := &table{r: r, values: values}
	for _, t := range root.tables("service", maxServices) {
		f.Services = append(f.Services, readService(t))
	}
	for _, t := range root.tables("team", maxTeams) {
		f.Teams = append(f.Teams, readTeam(t))
	}
	f.Strangers = readStrangers(root.table("no-contract"))
	f.HTTP3 = readHTTP3(root.table("http3"))
	if h := root.table("http1"); h != nil {
		f.HTTP1.Pipelining = get(h, "pipelining", "true or false", false)
		h.end()
	}
	if m := root.table("metrics"); m != nil {
		f.Metrics = m.text("listen", "")
		m.checkAddrOrFreePort("listen", f.Metrics)
		m.end()
	}
	if t := root.table("console"); t != nil {
		if f.Console = t.text("socket", ""); f.Console == "" {
			t.fault("socket", "the path of a Unix socket is expected")
		}
		t.end()
	}
	if t := root.table("state"); t != nil {
		if f.State = t.text("directory", ""); f.State == "" {
			t.fault("directory", "the name of a folder on a lasting disk is expected")
		}
		f.Keys = Keys(t.oneOf("keys", string(KeysInImage), string(KeysInImage), string(KeysSoon), string(KeysBefore)))
		t.end()
	}
	if t := root.table("overload"); t != nil {
		f.Overload = readOverload(t)
	}
	f.Fleet = readFleet(root.table("fleet"))
	for _, t := range root.tables("move", maxMoves) {
		f.Moves = append(f.Moves, readMove(t))
	}
	root.end()
	f.checkServices()
	f.checkTeams()
	f.checkMoves()
	f.checkQuotas()
	return f, f.err()
}

// err are the faults so far, by line; nil where there are none.
func (f *File) err() error {
	if len(f.reader.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.reader.faults, func(a, b fault.Fault) int { return a.Line - b.Line })
	return f.reader.faults
}

func readService(t *table) Service {
	s := Service{
		key: t.key, Name: name(t), Weight: t.number("weight", 1, 0.01, 100),
		Paths: t.paths("paths"), Endpoints: t.texts("endpoints", maxEndpoints), Registry: t.text("registry", ""),
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
				t.fault(k, "a service without endpoints or registry is the platform's own, whose %s the platform tells; endpoints or a registry are expected beside it", k)
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
			t.fault("endpoints", "%s stands there twice", addr)
		}
	}
	return s
}

// name reads the name of something.
func name(t *table) string {
	n := t.text("name", "")
	if n == "" || len(n) > maxName || strings.ContainsFunc(n, func(c rune) bool { return c <= ' ' || c == 0x7f }) {
		t.fault("name", "a name of 1 to %d bytes without spaces is expected, not %.60q", maxName, n)
	}
	return n
}

// checkAddr: there are no names to look up, so an address is expected.
func (t *table) checkAddr(key, addr string) {
	host, port, err := net.SplitHostPort(addr)
	if n, portErr := strconv.ParseUint(port, 10, 16); err != nil || net.ParseIP(host) == nil || portErr != nil || n == 0 {
		t.fault(key, "an address such as 10.1.0.18:8080 is expected, not %.60q", addr)
	}
}

// paths reads prefixes of paths.
func (t *table) paths(key string) []string {
	paths := t.texts(key, maxPaths)
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
	effects = map[string]policy.Effect{"safe": policy.Repeatable, "keyed": policy.Keyed, "unsafe": policy.Unsafe}
	scopes  = map[string]policy.Scope{"service": policy.ScopeAll, "zone": policy.ScopeZone, "pod": policy.ScopeCell}
	methods = []string{"GET", "POST", "PUT", "PATCH", "DELETE"}
)

func readClass(t *table) Class {
	c := Class{key: t.key, Name: name(t), Paths: t.paths("paths"), Methods: t.texts("methods", len(methods))}
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
		if !slices.Contains(methods, m) || c.Effect == policy.Repeatable && m != "GET" {
			t.fault("methods", "%s are expected, and only GET with a safe class, not %.20q", strings.Join(methods, ", "), m)
		}
		if m == "GET" && c.Effect != policy.Repeatable {
			t.fault("methods", "GET is safe to repeat (RFC 9110, section 9.2.1), which this class is not")
		}
	}
	if len(c.Methods) == 0 {
		c.Methods = []string{"POST"}
		if c.Effect == policy.Repeatable {
			c.Methods = []string{"GET"}
		}
	}
	t.end()
	return c
}

func readTeam(t *table) Team {
	team := Team{key: t.key, Name: name(t), Share: t.number("share", 0, 0, 1)}
	for _, a := range t.tables("allow", maxCalls) {
		team.Allow = append(team.Allow, readAllow(a))
	}
	if len(team.Allow) == 0 {
		t.r.fault(t.key, "at least one [[team.allow]] is expected")
	}
	t.end()
	return team
}

func readAllow(t *table) Allow {
	a := Allow{
		key: t.key, Service: t.text("service", ""), Classes: t.texts("classes", broker.MaxClasses),
		Rate: t.number("rate", 0, 0.001, 1e6), Work: t.number("work", 0, 0.0001, 1e6),
	}
	a.Burst = t.number("burst", math.Max(1, a.Rate), 1, 1e7) // a second's worth
	if t.has("burst") && !t.has("rate") {
		t.fault("burst", "a burst is expected with a rate only")
	}
	if a.Shared = t.oneOf("quota", "process", "process", "fleet") == "fleet"; a.Shared && !t.has("rate") && !t.has("work") {
		t.fault("quota", "a rate or work is expected beside it, which the fleet shares")
	}
	if a.Service == "" {
		t.fault("service", "the name of a service is expected")
	}
	if t.has("classes") && len(a.Classes) == 0 {
		t.fault("classes", "at least one class is expected; without the key all are meant")
	}
	t.end()
	return a
}

func readStrangers(t *table) *Strangers {
	if t == nil {
		return nil
	}
	action := t.oneOf("action", "refuse", "refuse", "share")
	s := &Strangers{Share: t.number("share", 0.01, 0, 1), Rate: t.number("rate", 0, 0.001, 1e6)}
	s.Burst = t.number("burst", math.Max(1, s.Rate), 1, 1e7)
	t.end()
	if action == "refuse" {
		if given, ok := t.values["action"]; ok && given != "refuse" {
			return nil // that is a fault already
		}
		for _, k := range []string{"share", "rate", "burst"} {
			if t.has(k) {
				t.fault(k, `%s is expected with action = "share" only`, k)
			}
		}
		return nil
	}
	return s
}

func readHTTP3(t *table) *HTTP3 {
	if t == nil {
		return nil
	}
	h := &HTTP3{
		Listen: t.text("listen", ""), Certificate: t.text("certificate", ""), Key: t.text("key", ""),
		Connections:  int(t.number("connections", 64, 1, 100000)),
		Streams:      int(t.number("streams", 16, 1, 1000)),
		StreamWindow: int64(t.number("stream-window", 72<<10, 16<<10, 16<<20)), ConnectionWindow: int64(t.number("connection-window", 144<<10, 16<<10, 64<<20)),
		MaxHead:   int(t.number("head", 8<<10, 1<<10, 64<<10)),
		Handshake: t.duration("handshake", 2*time.Second, 100*time.Millisecond, time.Minute),
		Idle:      t.duration("idle", 30*time.Second, time.Second, 10*time.Minute),
		Resets:    t.number("resets", 50, 1, 1e6), Unvalidated: int(t.number("unvalidated", 16, 0, 100000)),
	}
	h.Routing = readRouting(t.table("routing"))
	t.end()
	if t.checkAddrOrFreePort("listen", h.Listen); h.Certificate == "" || h.Key == "" {
		t.r.fault(t.key, "certificate and key are expected, the names of PEM files")
	}
	if h.ConnectionWindow < h.StreamWindow {
		t.fault("connection-window", "at least the stream-window of %d is expected", h.StreamWindow)
	}
	return h
}

func readRouting(t *table) *Routing {
	if t == nil {
		return nil
	}
	r := &Routing{
		Config: byte(t.number("config", 0, 0, quiclb.MaxConfig)), Server: t.text("server", ""),
		Nonce: int(t.number("nonce", 8, 4, 18)), Key: t.text("key", ""),
	}
	t.end()
	server, err := hex.DecodeString(r.Server)
	if err != nil {
		t.fault("server", "hexadecimal digits in pairs are expected, not %.40q", r.Server)
	} else if _, err := quiclb.New(quiclb.Config{Config: r.Config, Server: server, NonceLen: r.Nonce}); err != nil {
		t.r.fault(t.key, "%v", err)
	}
	return r
}

// checkAddrOrFreePort: port 0 is a free one, for tests and the lab.
func (t *table) checkAddrOrFreePort(key, addr string) {
	if host, port, err := net.SplitHostPort(addr); err == nil && port == "0" {
		addr = net.JoinHostPort(host, "1")
	}
	t.checkAddr(key, addr)
}

// checkServices checks the services against one another.
func (f *File) checkServices() {
	r := f.reader
	names, prefixes := map[string]bool{}, map[string]string{}
	platform := 0
	for i := range f.Services {
		s := &f.Services[i]
		if names[s.Name] {
			r.fault(s.key+".name", "the service %q stands there twice", s.Name)
		}
		names[s.Name] = true
		if s.Platform {
			if platform++; platform == 2 {
				r.fault(s.key, "endpoints or a registry are expected: the platform's own service stands there already")
			}
		}
		classes := map[string]bool{}
		for _, c := range s.Classes {
			if classes[c.Name] {
				r.fault(c.key+".name", "the class %q stands there twice", c.Name)
			}
			classes[c.Name] = true
			for _, p := range c.Paths {
				if by := prefixes[p]; by != "" {
					r.fault(c.key+".paths", "the path %s is that of %s already", p, by)
				}
				prefixes[p] = fmt.Sprintf("class %q of service %q", c.Name, s.Name)
				if len(s.Paths) > 0 && !slices.ContainsFunc(s.Paths, func(fence string) bool { return p == fence || strings.HasPrefix(p, fence+"/") }) {
					r.fault(c.key, "the path %s of the class is outside the paths of its service", p)
				}
			}
		}
	}
	f.checkFences(prefixes)
	if platform == 0 {
		r.fault("", `the platform's own service is expected too, as a [[service]] with nothing but a name, such as name = "maps"`)
	}
}

// checkFences checks that the paths of a service are no other's.
func (f *File) checkFences(prefixes map[string]string) {
	owners := map[string]string{}
	for i := range f.Services {
		s := &f.Services[i]
		for _, p := range s.Paths {
			if by, taken := owners[p]; taken {
				f.reader.fault(s.key+".paths", "the path %s is that of service %q already", p, by)
			}
			owners[p] = s.Name
			if by := prefixes[p]; by != "" && !strings.HasSuffix(by, fmt.Sprintf("of service %q", s.Name)) {
				f.reader.fault(s.key+".paths", "the path %s is that of %s", p, by)
			}
		}
	}
}

// checkTeams checks the contracts against one another and the services.
func (f *File) checkTeams() {
	r := f.reader
	sum := 0.0
	if f.Strangers != nil {
		sum = f.Strangers.Share
	}
	names := map[string]bool{}
	for i := range f.Teams {
		t := &f.Teams[i]
		if names[t.Name] {
			r.fault(t.key+".name", "the team %q stands there twice", t.Name)
		}
		names[t.Name] = true
		if before := sum; before <= 1+shareSlack {
			if sum += t.Share; sum > 1+shareSlack {
				r.fault(t.key+".share", "shares up to here, that without a contract included, sum to %.4g; at most 1 is expected: more can't be owed", sum)
			}
		}
		f.checkAllows(t)
	}
}

func (f *File) checkAllows(t *Team) {
	r := f.reader
	type call struct{ service, class string }
	taken := map[call]bool{}
	for _, a := range t.Allow {
		i := slices.IndexFunc(f.Services, func(s Service) bool { return s.Name == a.Service })
		if i < 0 {
			if a.Service != "" {
				r.fault(a.key+".service", "there is no service %.60q", a.Service)
			}
			continue
		}
		s := &f.Services[i]
		classes := a.Classes
		if len(classes) == 0 {
			classes = []string{""} // all
		}
		for _, c := range classes {
			if c != "" && !s.Platform && !slices.ContainsFunc(s.Classes, func(k Class) bool { return k.Name == c }) {
				r.fault(a.key+".classes", "service %q has no class %.60q", s.Name, c)
			}
			if taken[call{a.Service, c}] || taken[call{a.Service, ""}] || c == "" && slices.ContainsFunc(t.Allow, func(b Allow) bool { return b.Service == a.Service && b.key != a.key }) {
				r.fault(a.key, "class %q of service %q stands in two allows of team %q", c, a.Service, t.Name)
			}
			taken[call{a.Service, c}] = true
		}
	}
}

// Check checks the file against the platform's classes: their paths are their
// names, and contracts may name them. The error is of type fault.Faults.
func (f *File) Check(platform []string) error {
	r := f.reader
	theirs := func(path string) bool { // a class of the platform's, or within one
		first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
		return slices.Contains(platform, first)
	}
	for i := range f.Services {
		s := &f.Services[i]
		for _, p := range s.Paths {
			if theirs(p) {
				r.fault(s.key+".paths", "the path %s is that of a class of the platform's", p)
			}
		}
		for _, c := range s.Classes {
			for _, p := range c.Paths {
				if theirs(p) {
					r.fault(c.key, "the path %s is that of a class of the platform's", p)
				}
			}
		}
	}
	for _, t := range f.Teams {
		for _, a := range t.Allow {
			i := slices.IndexFunc(f.Services, func(s Service) bool { return s.Name == a.Service })
			for _, c := range a.Classes {
				if i >= 0 && f.Services[i].Platform && !slices.Contains(platform, c) {
					r.fault(a.key+".classes", "the platform's service %q has no class %.60q, it has %s", a.Service, c, strings.Join(platform, ", "))
				}
			}
		}
	}
	f.checkPlatformGuards(platform)
	return f.err()
}

// Terms are the contracts with one service, whose classes are in this order.
// The file has been checked.
func (f *File) Terms(service string, classes []string) broker.Terms {
	t := broker.Terms{Classes: len(classes)}
	for i := range f.Teams {
		c := broker.Contract{Team: f.Teams[i].Name, Share: f.Teams[i].Share}
		for _, a := range f.Teams[i].Allow {
			if a.Service == service {
				c.Calls = append(c.Calls, broker.Call{Classes: a.set(classes), Rate: a.Rate, Burst: a.Burst, Work: a.Work, Shared: a.Shared})
			}
		}
		if len(c.Calls) > 0 {
			t.Contracts = append(t.Contracts, c)
		} else {
			t.Contracts = append(t.Contracts, broker.Contract{Team: c.Team}) // known, with no call here: no stranger
		}
	}
	if s := f.Strangers; s != nil {
		t.Strangers = &broker.Contract{Share: s.Share, Calls: []broker.Call{{Classes: broker.AllClasses, Rate: s.Rate, Burst: s.Burst}}}
	}
	return t
}

func (a *Allow) set(classes []string) (set broker.Classes) {
	if len(a.Classes) == 0 {
		return broker.AllClasses
	}
	for i, c := range classes {
		if slices.Contains(a.Classes, c) && i < broker.MaxClasses {
			set |= 1 << i
		}
	}
	return set
}

// readOverload reads the brake's settings; what is not told is as overload.Defaults has it.
func readOverload(t *table) *overload.Settings {
	d := overload.Defaults
	set := overload.Settings{
		Target:   t.duration("target", d.Target, time.Millisecond, time.Second),
		Interval: t.duration("interval", d.Interval, 2*time.Millisecond, 10*time.Second),
	}
	if err := set.Validate(); err != nil {
		t.fault("", "%v", err)
	}
	t.end()
	return &set
}
