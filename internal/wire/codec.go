// Package wire runs instances of the decision module behind the bench's line protocol.
// It makes no decisions itself.
package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"spokegw/internal/jsonfile"
	"spokegw/policy"
)

// message is one line: its name, and its fields in order.
type message struct {
	name   string
	fields []field
}

type field struct{ name, value string }

// parse splits a line. The fields reuse buf.
func parse(line string, buf []field) (message, error) {
	name, rest, more := strings.Cut(line, "\t")
	m := message{name: name, fields: buf[:0]}
	for more {
		var part string
		if strings.HasPrefix(rest, "options=") || strings.HasPrefix(rest, "text=") {
			part, more = rest, false // these extend to the end of the line
		} else {
			part, rest, more = strings.Cut(rest, "\t")
		}
		key, value, ok := strings.Cut(part, "=")
		if !ok || key == "" {
			return m, fmt.Errorf("%s: %q is not name=value", name, part)
		}
		m.fields = append(m.fields, field{key, value})
	}
	return m, nil
}

// reader reads typed values from a message and keeps the first error.
type reader struct {
	m   message
	err error
}

func (r *reader) lookup(name string) (string, bool) {
	for i := range r.m.fields {
		if r.m.fields[i].name == name {
			return r.m.fields[i].value, true
		}
	}
	return "", false
}

func (r *reader) fail(name, value, want string) {
	if r.err == nil {
		r.err = fmt.Errorf("%s: %s=%q is not %s", r.m.name, name, value, want)
	}
}

func (r *reader) text(name string) string {
	v, ok := r.lookup(name)
	if !ok && r.err == nil {
		r.err = fmt.Errorf("%s: %s is missing", r.m.name, name)
	}
	return v
}

// id reads a required number below 2^32.
func (r *reader) id(name string) uint32 {
	v := r.text(name)
	if r.err != nil {
		return 0
	}
	n, err := strconv.ParseUint(v, 10, 32)
	if err != nil {
		r.fail(name, v, "a number below 2^32")
	}
	return uint32(n)
}

// integer reads an optional integer; the default is 0.
func (r *reader) integer(name string) int {
	v, ok := r.lookup(name)
	if !ok {
		return 0
	}
	n, err := strconv.ParseInt(v, 10, 32)
	if err != nil {
		r.fail(name, v, "a whole number")
	}
	return int(n)
}

// number reads an optional number; the default is 0.
func (r *reader) number(name string) float64 {
	v, ok := r.lookup(name)
	if !ok {
		return 0
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		r.fail(name, v, "a number")
		return 0
	}
	return x
}

// ms reads an optional duration in milliseconds.
func (r *reader) ms(name string) time.Duration { return fromMS(r.number(name)) }

// flag reads an optional bool.
func (r *reader) flag(name string) bool {
	v, ok := r.lookup(name)
	if ok && v != "0" && v != "1" {
		r.fail(name, v, "0 or 1")
	}
	return v == "1"
}

// numbers reads an optional load report.
func (r *reader) numbers(name string) []float64 {
	v, ok := r.lookup(name)
	if !ok || v == "" {
		return nil
	}
	var out []float64
	for part := range strings.SplitSeq(v, ",") {
		x, err := strconv.ParseFloat(part, 64)
		if err != nil {
			r.fail(name, v, "numbers set apart by commas")
			return nil
		}
		out = append(out, x)
	}
	return out
}

// maxMS, in milliseconds, keeps a duration within the range of time.Duration.
const maxMS = 1e12

func fromMS(ms float64) time.Duration {
	ms = math.Min(math.Max(ms, -maxMS), maxMS)
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

func appendMS(dst []byte, d time.Duration) []byte {
	return strconv.AppendFloat(dst, float64(d)/float64(time.Millisecond), 'f', 3, 64)
}

var results = map[string]policy.Result{
	"served": policy.Served, "server_error": policy.Errored, "turned_away": policy.Declined,
	"no_answer": policy.NoAnswer, "no_connection": policy.NoConnection,
	"connection_lost": policy.ConnectionLost, "called_off": policy.Cancelled, "not_sent": policy.NotSent,
}

func (r *reader) result() policy.Result {
	v := r.text("ending")
	res, ok := results[v]
	if !ok {
		r.fail("ending", v, "an outcome")
	}
	return res
}

func (r *reader) endpoint() policy.Endpoint {
	e := policy.Endpoint{
		ID:          policy.EndpointID(r.id("endpoint")),
		Kind:        r.integer("machine"),
		Zone:        r.integer("region_part"),
		Cell:        r.integer("group"),
		Started:     r.ms("start_time_ms"),
		NominalSize: r.number("nominal"),
	}
	switch v, ok := r.lookup("readiness"); {
	case !ok || v == "IN":
	case v == "LAME":
		e.Readiness = policy.Draining
	case v == "OUT":
		e.Readiness = policy.Removed
	default:
		r.fail("readiness", v, "IN, LAME or OUT")
	}
	return e
}

// Settings is the settings object as the module's hosts need it: the module's own part,
// and what real sockets need in addition.
type Settings struct {
	Policy         policy.Settings
	Classes        []string // names, by index
	Tenants        []string
	Kinds          []string
	Zones          []string
	Report         []string // names of the fields of a load report
	ConnectTimeout time.Duration
}

// named is a list element that the settings refer to by index.
type named struct {
	Name string `json:"name"`
}

// options is the part of the settings object that is used.
type options struct {
	Classes []struct {
		named
		Aim    float64  `json:"aim_ms"`
		Limit  float64  `json:"hard_limit_ms"`
		Effect string   `json:"effect"`
		Scope  string   `json:"key_scope"`
		Window *float64 `json:"dedup_window_ms"` // nil: absent
		Worth  float64  `json:"worth"`
		Late   float64  `json:"late_worth"`
	} `json:"classes"`
	Tenants []struct {
		named
		Share float64 `json:"share"`
	} `json:"tenants"`
	Kinds     []string `json:"kinds"`
	Zones     []string `json:"azs"`
	FleetSize int      `json:"fleet_size"`
	Zone      int      `json:"zone"`
	Discovery string   `json:"discovery"`
	WorthBy   string   `json:"worth_by"`
	Domain    struct {
		WarmKeys bool `json:"warm_keys"`
	} `json:"domain"`
	Limits struct {
		Cancelling     bool    `json:"cancelling"`
		MayProbe       bool    `json:"may_probe"`
		SecondCopies   bool    `json:"second_copies"`
		SendCap        int     `json:"send_cap"`
		ConnIdle       float64 `json:"conn_idle_ms"`
		ConnectTimeout float64 `json:"connect_timeout_ms"`
	} `json:"limits"`
	Penalties struct {
		CrossZone float64 `json:"cross_zone"`
		Handshake float64 `json:"handshake"`
		Probe     float64 `json:"probe"`
		Conn      float64 `json:"connection"`
	} `json:"penalties"`
	Report struct {
		Fields []string `json:"fields"`
	} `json:"report"`
	Rules struct {
		AskWithin     float64 `json:"ask_within_ms"`
		StartCapacity float64 `json:"start_capacity"`
		Cold          float64 `json:"cold_ms"`
		DrainGrace    float64 `json:"drain_grace_ms"`
		FallMultiple  float64 `json:"fall_multiple"`
		FallTime      float64 `json:"fall_ms"`
	} `json:"rules"`
}

// missingKeyedKeys returns the keys that a class lacks and needs because of its effect.
func (o *options) missingKeyedKeys(class int) (missing []string) {
	c := &o.Classes[class]
	if c.Effect != keyedEffect {
		return nil
	}
	if c.Scope == "" {
		missing = append(missing, "key_scope")
	}
	if c.Window == nil {
		missing = append(missing, "dedup_window_ms")
	}
	return missing
}

var (
	effects = map[string]policy.Effect{"read_like": policy.Idempotent, keyedEffect: policy.Keyed, "non_idempotent": policy.Unsafe}
	scopes  = map[string]policy.Scope{"": policy.ScopeAll, "all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell}
	fields  = map[string]policy.ReportField{"rif": policy.FieldInFlight, "q": policy.FieldQueue, "rate": policy.FieldRate}
)

// unknown stands for a name that the module has no value for; New refuses it.
const unknown = 255

func lookup[T ~uint8](table map[string]T, name string) T {
	if v, ok := table[name]; ok {
		return v
	}
	return unknown
}

// DecodeSettings decodes the settings object; unknown keys are ignored.
func DecodeSettings(text []byte) (Settings, error) {
	var o options
	if err := json.Unmarshal(text, &o); err != nil {
		return Settings{}, fmt.Errorf("options: %w", err)
	}
	p := policy.Settings{
		FleetSize: o.FleetSize, Zone: o.Zone,
		DiscoveryOnRequest: o.Discovery == "on_request", PollWithin: fromMS(o.Rules.AskWithin), DrainGrace: fromMS(o.Rules.DrainGrace),
		WarmupTime: fromMS(o.Rules.Cold), StartCapacity: o.Rules.StartCapacity,
		OverloadMultiple: o.Rules.FallMultiple, OverloadTime: fromMS(o.Rules.FallTime),
		MaxAttempts: o.Limits.SendCap, HedgedAttempts: o.Limits.SecondCopies,
		Cancel: o.Limits.Cancelling, MayProbe: o.Limits.MayProbe,
		ConnIdleTimeout: fromMS(o.Limits.ConnIdle), WarmKeys: o.Domain.WarmKeys, WorthByWork: o.WorthBy == "work",
		Prices: policy.Prices{CrossZone: o.Penalties.CrossZone, Probe: o.Penalties.Probe, Connection: o.Penalties.Conn, Handshake: o.Penalties.Handshake},
	}
	s := Settings{
		Kinds: o.Kinds, Zones: o.Zones, Report: o.Report.Fields,
		ConnectTimeout: fromMS(o.Limits.ConnectTimeout),
	}
	for i, c := range o.Classes {
		if missing := o.missingKeyedKeys(i); len(missing) > 0 {
			return Settings{}, fmt.Errorf("options: classes[%s]: a class with the effect %s needs %w", c.Name, keyedEffect, &jsonfile.MissingKeysError{Keys: missing})
		}
		window := 0.0
		if c.Window != nil {
			window = *c.Window
		}
		s.Classes = append(s.Classes, c.Name)
		p.Classes = append(p.Classes, policy.Class{
			Aim: fromMS(c.Aim), Deadline: fromMS(c.Limit),
			Effect: lookup(effects, c.Effect), Scope: lookup(scopes, c.Scope),
			DedupWindow: fromMS(window), Worth: c.Worth, LateWorth: c.Late,
		})
	}
	for _, t := range o.Tenants {
		s.Tenants = append(s.Tenants, t.Name)
		p.Tenants = append(p.Tenants, policy.Tenant{Share: t.Share})
	}
	for _, f := range o.Report.Fields {
		p.ReportFields = append(p.ReportFields, fields[f])
	}
	s.Policy = p
	return s, nil
}

// appendAction appends one action as a line.
func appendAction(dst []byte, a policy.Action) []byte {
	num := func(name string, n uint32) {
		dst = append(append(append(dst, '\t'), name...), '=')
		dst = strconv.AppendUint(dst, uint64(n), 10)
	}
	duration := func(name string, d time.Duration) {
		dst = append(append(append(dst, '\t'), name...), '=')
		dst = appendMS(dst, d)
	}
	switch a := a.(type) {
	case policy.Send:
		dst = append(dst, "relay"...)
		num("xid", uint32(a.Request))
		duration("cap_ms", a.Timeout)
		num("endpoint", uint32(a.Endpoint))
	case policy.Refuse:
		dst = append(dst, "bounce"...)
		num("xid", uint32(a.Request))
		if a.RetryAfter > 0 {
			duration("cool_down_ms", a.RetryAfter)
		}
	case policy.Fail:
		dst = append(dst, "lose"...)
		num("xid", uint32(a.Request))
	case policy.Cancel:
		dst = append(dst, "call_off"...)
		num("xid", uint32(a.Request))
		num("shot", uint32(a.Attempt))
	case policy.Probe:
		dst = append(dst, "health_check"...)
		num("endpoint", uint32(a.Endpoint))
	case policy.SetTimer:
		dst = append(dst, "notify_me\ttoken="...)
		dst = strconv.AppendUint(dst, uint64(a.Token.Purpose), 10)
		dst = append(dst, '.')
		dst = strconv.AppendUint(dst, uint64(a.Token.Request), 10)
		duration("in_ms", max(a.Delay, 0))
	case policy.Subscribe:
		dst = append(dst, "keep_informed\tenable=1"...)
	default:
		panic(fmt.Sprintf("wire: no line for %T", a))
	}
	return append(dst, '\n')
}

func parseToken(text string) (policy.Token, error) {
	purpose, req, ok := strings.Cut(text, ".")
	p, err1 := strconv.ParseUint(purpose, 10, 8)
	q, err2 := strconv.ParseUint(req, 10, 32)
	if !ok || err1 != nil || err2 != nil {
		return policy.Token{}, fmt.Errorf("timeout_fired: token=%q was never set", text)
	}
	return policy.Token{Purpose: uint8(p), Request: policy.RequestID(q)}, nil
}
