// Package logging is the sidecar's log: one form of several, levels by part that can
// be changed while it runs, and a bound on how often one event is told.
package logging

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lmittmann/tint"
)

// Formats are those that a log may have.
var Formats = []string{"text", "json", "pretty"}

const (
	// eventRate and eventBurst bound how often one event is told, a second. A flood of
	// one hides the others, and costs the processor that requests need.
	eventRate  = 20.0
	eventBurst = 100.0
	// mostEvents bounds the events that are told apart; the rest share one bound.
	mostEvents = 512
	// mostParts bounds the parts that have a level of their own, longest how long.
	mostParts = 64
	longest   = 24 * time.Hour
	maxText   = 2048 // bytes of one value: the rest of it is cut off
)

// Log tells what goes on. It is a slog.Handler.
type Log struct {
	next slog.Handler
	*shared
}

// shared is what a log and those made of it have together.
type shared struct {
	now func() time.Time

	mu     sync.Mutex
	levels map[string]level // by part; "": all others
	events map[string]*event
	parts  map[uintptr]string // by where an event is told
}

type level struct {
	level slog.Level
	until time.Time // zero: for good
}

// event is how often one was told of late.
type event struct {
	tokens  float64
	at      time.Time
	leftOut int
}

// New makes a log of a form that is written to w.
func New(form string, w io.Writer) (*Log, error) {
	opts := &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: bounded} // what is told is decided here
	var next slog.Handler
	switch form {
	case "text":
		next = slog.NewTextHandler(w, opts)
	case "json":
		next = slog.NewJSONHandler(w, opts)
	case "pretty":
		next = tint.NewTextHandler(w, &tint.Options{Level: slog.LevelDebug, TimeFormat: time.StampMilli, ReplaceAttr: bounded})
	default:
		return nil, fmt.Errorf("the log is %s, not %.40q", strings.Join(Formats, ", "), form)
	}
	return newLog(next, time.Now), nil
}

func newLog(next slog.Handler, now func() time.Time) *Log {
	return &Log{next, &shared{now: now, levels: map[string]level{}, events: map[string]*event{}, parts: map[uintptr]string{}}}
}

// bounded cuts what others may have made long. The handlers quote what is odd in it.
func bounded(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindString && len(a.Value.String()) > maxText {
		a.Value = slog.StringValue(strings.ToValidUTF8(a.Value.String()[:maxText], "") + "...")
	}
	return a
}

// Enabled is always so: the part that tells is known only when it does.
func (l *Log) Enabled(context.Context, slog.Level) bool { return true }

// WithAttrs and WithGroup make a log of this one.
func (l *Log) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Log{l.next.WithAttrs(attrs), l.shared}
}
func (l *Log) WithGroup(name string) slog.Handler { return &Log{l.next.WithGroup(name), l.shared} }

// Handle tells an event, if its part is to tell such, and it has not been told too
// often. How many were left out is told with the next one.
func (l *Log) Handle(ctx context.Context, r slog.Record) error {
	left, tell := l.admit(&r)
	if !tell {
		return nil
	}
	if left > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("left_out", left))
	}
	return l.next.Handle(ctx, r)
}

func (s *shared) admit(r *slog.Record) (leftOut int, tell bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if r.Level < s.levelOf(s.part(r.PC), now) {
		return 0, false
	}
	name := r.Message
	e := s.events[name]
	if e == nil {
		if len(s.events) >= mostEvents {
			name = ""
			e = s.events[name]
		}
		if e == nil {
			e = &event{tokens: eventBurst, at: now}
			s.events[name] = e
		}
	}
	e.tokens = min(e.tokens+max(now.Sub(e.at).Seconds(), 0)*eventRate, eventBurst)
	e.at = now
	if e.tokens < 1 {
		e.leftOut++
		return 0, false
	}
	e.tokens--
	leftOut, e.leftOut = e.leftOut, 0
	return leftOut, true
}

func (s *shared) levelOf(part string, now time.Time) slog.Level {
	for _, p := range []string{part, ""} {
		if l, ok := s.levels[p]; ok {
			if l.until.IsZero() || now.Before(l.until) {
				return l.level
			}
			delete(s.levels, p)
		}
	}
	return slog.LevelInfo
}

// part is the last part of the package that tells, such as core or http1.
func (s *shared) part(pc uintptr) string {
	if pc == 0 {
		return ""
	}
	if p, ok := s.parts[pc]; ok { // there are as many as places that tell
		return p
	}
	frame, _ := runtime.CallersFrames([]uintptr{pc}).Next()
	p := frame.Function[strings.LastIndexByte(frame.Function, '/')+1:]
	p, _, _ = strings.Cut(p, ".")
	s.parts[pc] = p
	return p
}

// SetLevel has a part, such as core, tell what is of a level and above, for so long and
// as before after that; 0: for good. "" is all parts that have none of their own.
func (l *Log) SetLevel(part, name string, lasts time.Duration) error {
	var lv slog.Level
	if err := lv.UnmarshalText([]byte(name)); err != nil {
		return fmt.Errorf("debug, info, warn or error is expected, not %.40q", name)
	}
	if lasts < 0 || lasts > longest || len(part) > 40 {
		return fmt.Errorf("a part, and a time of up to %v, are expected", longest)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if _, known := l.levels[part]; !known && len(l.levels) >= mostParts {
		return fmt.Errorf("%d parts have levels of their own already", len(l.levels))
	}
	set := level{level: lv}
	if lasts > 0 {
		set.until = now.Add(lasts)
	}
	l.levels[part] = set
	return nil
}

// Level is the level of a part, and how long it lasts; 0: for good.
type Level struct {
	Part  string        `json:"part"` // "": all others
	Level string        `json:"level"`
	For   time.Duration `json:"for_ns,omitempty"`
}

// Levels are those that were set, and that of all others.
func (l *Log) Levels() (all []Level) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for _, part := range slices.Sorted(maps.Keys(l.levels)) {
		set := l.levels[part]
		if !set.until.IsZero() && !now.Before(set.until) {
			delete(l.levels, part)
			continue
		}
		one := Level{Part: part, Level: strings.ToLower(set.level.String())}
		if !set.until.IsZero() {
			one.For = set.until.Sub(now)
		}
		all = append(all, one)
	}
	if len(all) == 0 || all[0].Part != "" {
		all = append([]Level{{Level: "info"}}, all...)
	}
	return all
}
