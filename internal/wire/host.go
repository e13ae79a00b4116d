package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"spokegw/policy"
)

// host runs the instances of one process. Across instances it keeps only the registered
// lists, which are input and never modified.
type host struct {
	in        *bufio.Reader
	out       *bufio.Writer
	line      int
	now       time.Duration
	lists     map[int][]policy.Endpoint
	instances map[uint32]*instance
	current   *instance
	currentID uint32
	reply     []byte
	lastNamed int64 // instance of the reply's last `by`; -1: none
	fields    []field
}

type instance struct {
	balancer *policy.Balancer
	failed   bool // reported a fault
}

// Serve answers batches until the end of input. Errors include the line number.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{
		in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<18),
		lists: map[int][]policy.Endpoint{}, instances: map[uint32]*instance{},
	}
	for {
		err := h.batch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", h.line, err)
		}
	}
}

// next reads the next line that is not empty. It returns io.EOF only if no partial line
// remains.
func (h *host) next() (string, error) {
	for {
		line, err := h.in.ReadString('\n')
		if err != nil && line == "" {
			return "", err
		}
		h.line++
		if line = strings.TrimRight(line, "\r\n"); line != "" {
			return line, nil
		}
	}
}

// batch answers one batch; io.EOF means that there is none.
func (h *host) batch() error {
	line, err := h.next()
	if err != nil {
		return err
	}
	m, err := parse(line, h.fields)
	if err != nil {
		return err
	}
	if m.name != "tick" {
		return fmt.Errorf("%q outside a batch", m.name)
	}
	r := reader{m: m}
	r.text("sim_time_ms")
	h.now = r.ms("sim_time_ms")
	if r.err != nil {
		return r.err
	}
	h.reply, h.lastNamed, h.current = h.reply[:0], -1, nil
	for {
		line, err := h.next()
		if err != nil {
			return fmt.Errorf("input ends inside a batch")
		}
		if line == "eof_batch" || strings.HasPrefix(line, "eof_batch\t") {
			break
		}
		if err := h.event(line); err != nil {
			return err
		}
	}
	h.reply = append(h.reply, "ok\n"...)
	if _, err := h.out.Write(h.reply); err != nil {
		return fmt.Errorf("reply: %v", err)
	}
	return h.out.Flush()
}

// event handles one line of a batch.
func (h *host) event(line string) error {
	m, err := parse(line, h.fields)
	if err != nil {
		return err
	}
	h.fields = m.fields
	r := &reader{m: m}
	switch m.name {
	case "instance":
		h.currentID = r.id("who")
		h.current = h.instances[h.currentID]
		return r.err
	case "register":
		return h.register(r)
	case "hello":
		return h.hello(r)
	}
	call, err := h.decode(r)
	if err != nil || call == nil {
		return err
	}
	if h.current == nil {
		return fmt.Errorf("%s for instance %d, which was not started", m.name, h.currentID)
	}
	if m.name == "detach" {
		delete(h.instances, h.currentID)
		h.current = nil
		return nil
	}
	if !h.current.failed {
		h.run(call)
	}
	return nil
}

// run makes one call on the current instance and writes its actions. A panic in the
// module becomes a fault.
func (h *host) run(call func(*policy.Balancer) []policy.Action) {
	defer func() {
		if p := recover(); p != nil {
			h.fault(fmt.Sprint(p))
		}
	}()
	for _, a := range call(h.current.balancer) {
		h.nameInstance()
		h.reply = appendAction(h.reply, a)
	}
}

// nameInstance names the current instance in the reply if it has changed.
func (h *host) nameInstance() {
	if h.lastNamed == int64(h.currentID) {
		return
	}
	h.lastNamed = int64(h.currentID)
	h.reply = append(h.reply, "by\twho="...)
	h.reply = strconv.AppendUint(h.reply, uint64(h.currentID), 10)
	h.reply = append(h.reply, '\n')
}

func (h *host) fault(text string) {
	h.nameInstance()
	h.reply = append(h.reply, "fault\ttext="...)
	h.reply = append(h.reply, strings.Map(printable, text)...)
	h.reply = append(h.reply, '\n')
	h.current.failed = true
}

func printable(c rune) rune {
	if c < ' ' {
		return ' '
	}
	return c
}

func (h *host) hello(r *reader) error {
	seed, err := strconv.ParseInt(r.text("init_seed"), 10, 64)
	if r.err != nil {
		return r.err
	}
	if err != nil {
		return fmt.Errorf("hello: init_seed is not a number")
	}
	settings, err := DecodeSettings([]byte(r.text("options")))
	if r.err != nil {
		return r.err
	}
	if err != nil {
		return err
	}
	h.current = &instance{}
	h.instances[h.currentID] = h.current
	if h.current.balancer, err = policy.New(settings.Policy, uint64(seed)); err != nil {
		h.fault(err.Error())
	}
	return nil
}

// register reads the numbered list that follows the line.
func (h *host) register(r *reader) error {
	id, n := int(r.id("set_id")), r.integer("items")
	if r.err != nil {
		return r.err
	}
	var list []policy.Endpoint
	for range n {
		line, err := h.next()
		if err != nil {
			return fmt.Errorf("input ends inside a list")
		}
		m, err := parse(line, h.fields)
		if err != nil {
			return err
		}
		h.fields = m.fields
		if m.name != "endpoint" {
			return fmt.Errorf("%q inside a list of %d entries", m.name, n)
		}
		entry := reader{m: m}
		list = append(list, entry.endpoint())
		if entry.err != nil {
			return entry.err
		}
	}
	h.lists[id] = list
	return nil
}

// decode turns an event into a call on the module; nil for an unknown message.
func (h *host) decode(r *reader) (func(*policy.Balancer) []policy.Action, error) {
	now := h.now
	var call func(*policy.Balancer) []policy.Action
	switch r.m.name {
	case "detach":
		call = func(*policy.Balancer) []policy.Action { return nil }
	case "announce":
		return h.announce(r)
	case "job_in":
		q := policy.Request{
			ID: policy.RequestID(r.id("xid")), Class: r.integer("tier_class"), Tenant: r.integer("party"),
			TimeLeft: r.ms("left_ms"),
		}
		q.Key, _ = r.lookup("object")
		if r.integer("attrs")&1 != 0 {
			q.Cost = r.number("predicted_ms") / 1000
		}
		call = func(b *policy.Balancer) []policy.Action { return b.Request(now, q) }
	case "vanished":
		id := policy.RequestID(r.id("xid"))
		call = func(b *policy.Balancer) []policy.Action { return b.ClientDisconnected(now, id) }
	case "result":
		o := policy.Outcome{
			Request: policy.RequestID(r.id("xid")), Attempt: r.integer("shot"), Endpoint: policy.EndpointID(r.id("endpoint")),
			Result: r.result(), Complete: r.flag("complete"), Elapsed: r.ms("elapsed_ms"),
		}
		call = func(b *policy.Balancer) []policy.Action { return b.Outcome(now, o) }
	case "streaming":
		id, n := policy.RequestID(r.id("xid")), r.integer("shot")
		call = func(b *policy.Balancer) []policy.Action { return b.StreamStarted(now, id, n) }
	case "checked":
		p := policy.ProbeResult{
			Endpoint: policy.EndpointID(r.id("endpoint")), Result: r.result(), Report: r.numbers("usage"),
		}
		call = func(b *policy.Balancer) []policy.Action { return b.Probed(now, p) }
	case "timeout_fired":
		text := r.text("token")
		if r.err != nil {
			return nil, r.err
		}
		t, err := parseToken(text)
		if err != nil {
			return nil, err
		}
		call = func(b *policy.Balancer) []policy.Action { return b.Timer(now, t) }
	}
	return call, r.err
}

func (h *host) announce(r *reader) (func(*policy.Balancer) []policy.Action, error) {
	now := h.now
	how := r.text("how")
	if r.err != nil {
		return nil, r.err
	}
	switch how {
	case "FAILED":
		return func(b *policy.Balancer) []policy.Action { return b.DiscoveryFailed(now) }, nil
	case "FULL", "SAVED", "INCREMENTAL":
		set := int(r.id("set_id"))
		list, ok := h.lists[set]
		if r.err == nil && !ok {
			r.err = fmt.Errorf("announce: list %d was not registered", set)
		}
		full := how != "INCREMENTAL"
		return func(b *policy.Balancer) []policy.Action { return b.Endpoints(now, list, full) }, r.err
	}
	return nil, fmt.Errorf("announce: how=%q is not known", how)
}
