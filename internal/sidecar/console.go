package sidecar

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"spokegw/internal/console"
	"spokegw/internal/core"
	"spokegw/internal/fault"
	"spokegw/internal/logging"
	"spokegw/internal/operator"
)

// ReloadResult is what came of reading the files again.
type ReloadResult struct {
	Changes []operator.Change `json:"changes"`
	Faults  []string          `json:"faults,omitempty"` // of a file that is not used; the other may be
}

// OnReload sets what reads the files again. It is to be set before Run.
func (s *Sidecar) OnReload(reload func() ReloadResult) { s.reload = reload }

// listenConsole opens the socket for operators' tools; nil where the file names none,
// or it can't be opened: requests are served without.
func (s *Sidecar) listenConsole() *console.Server {
	if s.begun == nil || s.begun.Console == "" {
		return nil
	}
	server, err := console.Listen(s.begun.Console, s.calls())
	if err != nil {
		slog.Error("no console", "error", err)
		return nil
	}
	return server
}

// serveConsole serves the socket for operators' tools until ctx ends. A process that
// took over has the path; should it end, this one takes it again.
func (s *Sidecar) serveConsole(ctx context.Context, server *console.Server) {
	for {
		serving, stop := context.WithCancel(ctx)
		var done sync.WaitGroup
		if server != nil {
			done.Go(func() { server.Serve(serving) })
		}
		select {
		case <-ctx.Done():
		case <-s.retake:
		}
		stop()
		done.Wait()
		if ctx.Err() != nil {
			return
		}
		server = s.listenConsole()
	}
}

// retakeConsole has the socket's path taken again.
func (s *Sidecar) retakeConsole() {
	select {
	case s.retake <- struct{}{}:
	default: // it is to be already
	}
}

func (s *Sidecar) calls() map[string]console.Call {
	return map[string]console.Call{
		"members": s.tellMembers, "teams": s.tellTeams, "explain": s.tellExplain,
		"trace": s.tellTrace, "reload": s.tellReload, "diff": s.tellDiff, "log": s.tellLog,
	}
}

// arguments reads the arguments of a call. What is not known is a fault: it would be
// meant for something.
func arguments(raw json.RawMessage, into any) error {
	if len(raw) == 0 {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("its arguments can't be read: %w", err)
	}
	return nil
}

// MemberRow is an endpoint as it is told.
type MemberRow struct {
	ID       string  `json:"id"`
	Service  string  `json:"service"`
	Addr     string  `json:"addr"`
	Kind     string  `json:"kind"`
	State    string  `json:"state"`
	Avoided  string  `json:"avoided,omitempty"`
	InFlight float64 `json:"in_flight"`
	Part     float64 `json:"part"`
	Health   float64 `json:"health"`
	Warmth   float64 `json:"warmth"`
	Speed    float64 `json:"speed"`
}

func (s *Sidecar) tellMembers(_ context.Context, _ json.RawMessage, send func(any) error) (err error) {
	s.each(func(name string, service *core.Service) {
		for _, m := range service.MemberList() {
			if err == nil {
				err = send(MemberRow{m.ID, cmp.Or(name, "-"), m.Addr, m.Kind, m.State, m.AvoidedReason, m.InFlight, m.Share, m.Health, m.Warmth, m.Speed})
			}
		}
	})
	return err
}

// TeamRow is how a team stands with a service.
type TeamRow struct {
	core.TeamStanding
	Tight bool `json:"tight"` // there is too little for all
}

func (s *Sidecar) tellTeams(_ context.Context, _ json.RawMessage, send func(any) error) (err error) {
	if s.begun == nil {
		return errors.New("there are no contracts: the sidecar has no operator's file")
	}
	s.each(func(_ string, service *core.Service) {
		rows, tight := service.Teams()
		slices.SortFunc(rows, func(a, b core.TeamStanding) int { return cmp.Compare(a.Team, b.Team) })
		for _, row := range rows {
			if err == nil {
				err = send(TeamRow{row, tight})
			}
		}
	})
	return err
}

// ExplainRequest is a request that is asked about.
type ExplainRequest struct {
	Method string            `json:"method"`
	Target string            `json:"target"` // path and query
	Header map[string]string `json:"header"`
	Length int64             `json:"length"` // of its body; -1: not told
}

func (s *Sidecar) tellExplain(_ context.Context, raw json.RawMessage, send func(any) error) error {
	var a ExplainRequest
	if err := arguments(raw, &a); err != nil {
		return err
	}
	h := http.Header{}
	for name, value := range a.Header {
		h.Set(name, value)
	}
	if h.Get("Req-Id") == "" {
		h.Set("Req-Id", "explain")
	}
	if h.Get("Req-Deadline") == "" {
		h.Set("Req-Deadline", "1000m")
	}
	return send(s.core.Explain(&core.Head{Method: a.Method, Target: a.Target, Host: "explain", Header: h, Length: a.Length}))
}

// TraceRequest is what is to be traced.
type TraceRequest struct {
	core.Filter
	Count int           `json:"count"` // traces until the call ends; 0: until its caller leaves
	For   time.Duration `json:"for_ns"`
}

// longestTrace ends a trace that somebody has left open.
const longestTrace = 10 * time.Minute

// DroppedTraces ends a trace whose caller did not read fast enough.
type DroppedTraces struct {
	Missed int64 `json:"missed"`
}

func (s *Sidecar) tellTrace(ctx context.Context, raw json.RawMessage, send func(any) error) error {
	var a TraceRequest
	if err := arguments(raw, &a); err != nil {
		return err
	}
	tap, stop, err := s.core.Tap(a.Filter)
	if err != nil {
		return err
	}
	defer stop()
	if a.For <= 0 || a.For > longestTrace {
		a.For = longestTrace
	}
	ctx, cancel := context.WithTimeout(ctx, a.For)
	defer cancel()
	for n := 0; a.Count <= 0 || n < a.Count; n++ {
		select {
		case t := <-tap.Traces():
			if err := send(t); err != nil {
				return err
			}
			continue
		case <-ctx.Done():
		}
		break
	}
	if n := tap.Dropped(); n > 0 {
		return send(DroppedTraces{n})
	}
	return nil
}

func (s *Sidecar) tellReload(ctx context.Context, _ json.RawMessage, send func(any) error) error {
	if s.reload == nil {
		return errors.New("the files of this sidecar can't be read again")
	}
	slog.Info("an operator asked", "call", "reload", "from", console.Caller(ctx))
	return send(s.reload())
}

// tellDiff tells what a file would change, and every fault of it.
func (s *Sidecar) tellDiff(_ context.Context, raw json.RawMessage, send func(any) error) error {
	var a struct{ Name, Text string }
	if err := arguments(raw, &a); err != nil {
		return err
	}
	s.mu.Lock()
	old := s.config.Operator
	s.mu.Unlock()
	f, err := operator.Parse(a.Name, []byte(a.Text))
	if err == nil {
		err = s.config.CheckOperator(f)
	}
	if err != nil {
		return send(ReloadResult{Faults: faultTexts(err)})
	}
	return send(ReloadResult{Changes: operator.Diff(old, f)})
}

// faultTexts are the faults of an error, one by one.
func faultTexts(err error) (all []string) {
	var faults fault.Faults
	if !errors.As(err, &faults) {
		return []string{err.Error()}
	}
	for _, f := range faults {
		all = append(all, f.Error())
	}
	return all
}

// SetLog has the levels of a log told and set over the socket. It is to be called
// before Run.
func (s *Sidecar) SetLog(l *logging.Log) { s.log = l }

// tellLog sets a level, if one is told, and tells those that there are.
func (s *Sidecar) tellLog(ctx context.Context, raw json.RawMessage, send func(any) error) error {
	var a logging.Level
	if err := arguments(raw, &a); err != nil {
		return err
	}
	if s.log == nil {
		return errors.New("the levels of this sidecar's log can't be set")
	}
	if a.Level != "" {
		if err := s.log.SetLevel(a.Part, a.Level, a.For); err != nil {
			return err
		}
		slog.Info("an operator asked", "call", "log", "part", a.Part, "level", a.Level, "for", a.For, "from", console.Caller(ctx))
	}
	for _, one := range s.log.Levels() {
		if err := send(one); err != nil {
			return err
		}
	}
	return nil
}

// ReloadFiles takes over both files again, the configuration and, where there is one,
// the operator's. A file that can't be used changes nothing, and the other is taken
// over all the same. It may be called by several goroutines.
func (s *Sidecar) ReloadFiles(config func() (Config, error), file func() (*operator.File, error)) (r ReloadResult) {
	s.reloading.Lock()
	defer s.reloading.Unlock()
	c, err := config()
	if err == nil {
		err = s.Reload(c)
	}
	s.CountReload(err)
	if err != nil {
		slog.Error("the new configuration is not used", "error", err)
		r.Faults = faultTexts(err)
	}
	if file == nil {
		return r
	}
	s.mu.Lock()
	old := s.config.Operator
	s.mu.Unlock()
	f, err := file()
	if err == nil {
		err = s.ReloadOperator(f)
	}
	s.CountReload(err)
	if err != nil {
		slog.Error("the new operator's file is not used", "error", err)
		r.Faults = append(r.Faults, faultTexts(err)...)
		return r
	}
	r.Changes = operator.Diff(old, f)
	return r
}
