// Package logging implements the sidecar's log: several output formats, a level per package that
// can be changed at run time, and a rate limit per event.
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

// Formats are the output formats.
var Formats = []string{"text", "json", "pretty"}

const (
	// eventRate (per second) and eventBurst limit how often one event is logged. A flood of one
	// event would hide the others, and use processor time that requests need.
	eventRate  = 20.0
	eventBurst = 100.0
	// maxEvents bounds the events with a rate limit of their own; all others share one.
	maxEvents = 512
	// maxPackages bounds the packages with a level of their own, maxLevelTime how long one lasts.
	maxPackages  = 64
	maxLevelTime = 24 * time.Hour
	maxText      = 2048 // bytes per value; the remainder is cut off
)

// Log is the slog.Handler of the sidecar's log.
type Log struct {
	next slog.Handler
	*shared
}

// shared is the state that a log shares with those derived from it.
type shared struct {
	now func() time.Time

	mu       sync.Mutex
	levels   map[string]level // by package; "": all others
	events   map[string]*event
	packages map[uintptr]string // package by the program counter of the log call
}

type level struct {
	level slog.Level
	until time.Time // zero: no expiry
}

// event is the token bucket of one event.
type event struct {
	tokens     float64
	at         time.Time
	suppressed int
}

// New creates a log that writes to w in the given format.
func New(format string, w io.Writer) (*Log, error) {
	opts := &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: truncate} // Handle decides by the package's level
	var next slog.Handler
	switch format {
	case "text":
		next = slog.NewTextHandler(w, opts)
	case "json":
		next = slog.NewJSONHandler(w, opts)
	case "pretty":
		next = tint.NewTextHandler(w, &tint.Options{Level: slog.LevelDebug, TimeFormat: time.StampMilli, ReplaceAttr: truncate})
	default:
		return nil, fmt.Errorf("the log format is %s, not %.40q", strings.Join(Formats, ", "), format)
	}
	return newLog(next, time.Now), nil
}

func newLog(next slog.Handler, now func() time.Time) *Log {
	return &Log{next, &shared{now: now, levels: map[string]level{}, events: map[string]*event{}, packages: map[uintptr]string{}}}
}

// truncate limits the length of a value, which may come from outside. The handlers quote special
// characters.
func truncate(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindString && len(a.Value.String()) > maxText {
		a.Value = slog.StringValue(strings.ToValidUTF8(a.Value.String()[:maxText], "") + "...")
	}
	return a
}

// Enabled returns true: the package is known only in Handle, which applies its level.
func (l *Log) Enabled(context.Context, slog.Level) bool { return true }

// WithAttrs and WithGroup derive a log that shares levels and rate limits.
func (l *Log) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Log{l.next.WithAttrs(attrs), l.shared}
}
func (l *Log) WithGroup(name string) slog.Handler { return &Log{l.next.WithGroup(name), l.shared} }

// Handle logs an event if its package's level and its rate limit allow it. The number of suppressed
// events is added to the next one logged.
func (l *Log) Handle(ctx context.Context, r slog.Record) error {
	suppressed, ok := l.admit(&r)
	if !ok {
		return nil
	}
	if suppressed > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("left_out", suppressed))
	}
	return l.next.Handle(ctx, r)
}

func (s *shared) admit(r *slog.Record) (suppressed int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if r.Level < s.levelOf(s.packageOf(r.PC), now) {
		return 0, false
	}
	name := r.Message
	e := s.events[name]
	if e == nil {
		if len(s.events) >= maxEvents {
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
		e.suppressed++
		return 0, false
	}
	e.tokens--
	suppressed, e.suppressed = e.suppressed, 0
	return suppressed, true
}

func (s *shared) levelOf(pkg string, now time.Time) slog.Level {
	for _, p := range []string{pkg, ""} {
		if l, ok := s.levels[p]; ok {
			if l.until.IsZero() || now.Before(l.until) {
				return l.level
			}
			delete(s.levels, p)
		}
	}
	return slog.LevelInfo
}

// packageOf returns the last element of the path of the package that logs, such as core or http1.
func (s *shared) packageOf(pc uintptr) string {
	if pc == 0 {
		return ""
	}
	if p, ok := s.packages[pc]; ok { // bounded by the number of log calls in the code
		return p
	}
	frame, _ := runtime.CallersFrames([]uintptr{pc}).Next()
	p := frame.Function[strings.LastIndexByte(frame.Function, '/')+1:]
	p, _, _ = strings.Cut(p, ".")
	s.packages[pc] = p
	return p
}

// SetLevel sets the level of a package, such as core, for a time, after which the default applies;
// 0: no expiry. "" stands for all packages without a level of their own.
func (l *Log) SetLevel(part, name string, duration time.Duration) error {
	var lv slog.Level
	if err := lv.UnmarshalText([]byte(name)); err != nil {
		return fmt.Errorf("debug, info, warn or error is expected, not %.40q", name)
	}
	if duration < 0 || duration > maxLevelTime || len(part) > 40 {
		return fmt.Errorf("a package name of at most 40 bytes and a time of at most %v are expected", maxLevelTime)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if _, known := l.levels[part]; !known && len(l.levels) >= maxPackages {
		return fmt.Errorf("%d packages have levels of their own already", len(l.levels))
	}
	configured := level{level: lv}
	if duration > 0 {
		configured.until = now.Add(duration)
	}
	l.levels[part] = configured
	return nil
}

// Level is the level of a package and its remaining time; 0: no expiry.
type Level struct {
	Part  string        `json:"part"` // "": all others
	Level string        `json:"level"`
	For   time.Duration `json:"for_ns,omitempty"`
}

// Levels returns the levels that are set, and that of all others.
func (l *Log) Levels() (levels []Level) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for _, part := range slices.Sorted(maps.Keys(l.levels)) {
		configured := l.levels[part]
		if !configured.until.IsZero() && !now.Before(configured.until) {
			delete(l.levels, part)
			continue
		}
		entry := Level{Part: part, Level: strings.ToLower(configured.level.String())}
		if !configured.until.IsZero() {
			entry.For = configured.until.Sub(now)
		}
		levels = append(levels, entry)
	}
	if len(levels) == 0 || levels[0].Part != "" {
		levels = append([]Level{{Level: "info"}}, levels...)
	}
	return levels
}
