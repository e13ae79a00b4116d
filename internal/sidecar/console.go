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

// ReloadResult is the result of reading the files again.
type ReloadResult struct {
	Changes []operator.Change `json:"changes"`
	Faults  []string          `json:"faults,omitempty"` // of a file that was rejected; the other one may be in force
}

// OnReload sets the function that reads the files again. It must be called before Run.
func (s *Sidecar) OnReload(reload func() ReloadResult) { s.reload = reload }

// listenConsole opens the socket for operators' tools. It returns nil if the file names none,
// or if it can't be opened: requests are served without it.
func (s *Sidecar) listenConsole() *console.Server {
	if s.initialFile == nil || s.initialFile.Console == "" {
		return nil
	}
	server, err := console.Listen(s.initialFile.Console, s.calls())
	if err != nil {
		slog.Error("no console", "error", err)
		return nil
	}
	return server
}

// serveConsole serves the socket for operators' tools until ctx ends. A successor process takes
// over the socket's path; if that process ends, this one opens the path again.
func (s *Sidecar) serveConsole(ctx context.Context, server *console.Server) {
	for {
		serving, stop := context.WithCancel(ctx)
		var done sync.WaitGroup
		if server != nil {
			done.Go(func() { server.Serve(serving) })
		}
		select {
		case <-ctx.Done():
		case <-s.consoleReopen:
		}
		stop()
		done.Wait()
		if ctx.Err() != nil {
			return
		}
		server = s.listenConsole()
	}
}

// reopenConsole requests that the socket is opened again.
func (s *Sidecar) reopenConsole() {
	select {
	case s.consoleReopen <- struct{}{}:
	default: // already requested
	}
}

func (s *Sidecar) calls() map[string]console.Call {
	return map[string]console.Call{
		"members": s.handleMembers, "teams": s.handleTeams, "explain": s.handleExplain,
		"trace": s.handleTrace, "reload": s.handleReload, "diff": s.handleDiff, "log": s.handleLog,
		"rejected": s.handleRejected,
	}
}

// decodeArgs decodes the arguments of a call.
func decodeArgs(raw json.RawMessage, into any) error {
	if len(raw) == 0 {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("its arguments can't be read: %w", err)
	}
	return nil
}

// MemberRow is an endpoint in an answer to the call members.
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

func (s *Sidecar) handleMembers(_ context.Context, _ json.RawMessage, send func(any) error) (err error) {
	s.forEachService(func(name string, service *core.Service) {
		for _, m := range service.MemberList() {
			if err == nil {
				err = send(MemberRow{m.ID, cmp.Or(name, "-"), m.Addr, m.Kind, m.State, m.AvoidedReason, m.InFlight, m.Share, m.Health, m.Warmth, m.Speed})
			}
		}
	})
	return err
}

// TeamRow is a team's usage of a service.
type TeamRow struct {
	core.TeamStanding
	Tight bool `json:"tight"` // the capacity does not suffice for all teams
}

func (s *Sidecar) handleTeams(_ context.Context, _ json.RawMessage, send func(any) error) (err error) {
	if s.initialFile == nil {
		return errors.New("there are no contracts: the sidecar has no operator's file")
	}
	s.forEachService(func(_ string, service *core.Service) {
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

// ExplainRequest is a request to be explained.
type ExplainRequest struct {
	Method string            `json:"method"`
	Target string            `json:"target"` // path and query
	Header map[string]string `json:"header"`
	Length int64             `json:"length"` // of its body; -1: unknown
}

func (s *Sidecar) handleExplain(_ context.Context, raw json.RawMessage, send func(any) error) error {
	var a ExplainRequest
	if err := decodeArgs(raw, &a); err != nil {
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

// TraceRequest selects the requests to trace.
type TraceRequest struct {
	core.Filter
	Count int           `json:"count"` // traces until the call ends; 0: until its caller disconnects
	For   time.Duration `json:"for_ns"`
}

// maxTraceDuration ends a trace that its caller left open.
const maxTraceDuration = 10 * time.Minute

// DroppedTraces ends a trace whose caller did not read fast enough.
type DroppedTraces struct {
	Missed int64 `json:"missed"`
}

func (s *Sidecar) handleTrace(ctx context.Context, raw json.RawMessage, send func(any) error) error {
	var a TraceRequest
	if err := decodeArgs(raw, &a); err != nil {
		return err
	}
	tap, stop, err := s.core.Tap(a.Filter)
	if err != nil {
		return err
	}
	defer stop()
	if a.For <= 0 || a.For > maxTraceDuration {
		a.For = maxTraceDuration
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

func (s *Sidecar) handleReload(ctx context.Context, _ json.RawMessage, send func(any) error) error {
	if s.reload == nil {
		return errors.New("this sidecar does not support reloading its files")
	}
	slog.Info("an operator asked", "call", "reload", "from", console.Caller(ctx))
	return send(s.reload())
}

// handleDiff reports what a file would change, or all its faults.
func (s *Sidecar) handleDiff(_ context.Context, raw json.RawMessage, send func(any) error) error {
	var a struct{ Name, Text string }
	if err := decodeArgs(raw, &a); err != nil {
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

// faultTexts returns the text of each fault in an error.
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

// SetLog lets the levels of a log be read and set over the socket. It must be called before
// Run.
func (s *Sidecar) SetLog(l *logging.Log) { s.log = l }

// handleLog sets a level, if one is given, and reports the levels in force.
func (s *Sidecar) handleLog(ctx context.Context, raw json.RawMessage, send func(any) error) error {
	var a logging.Level
	if err := decodeArgs(raw, &a); err != nil {
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
	for _, level := range s.log.Levels() {
		if err := send(level); err != nil {
			return err
		}
	}
	return nil
}

// ReloadFiles reloads the configuration and, if there is one, the operator's file. An invalid
// file changes nothing and does not prevent the other from being loaded. It is safe for
// concurrent use.
func (s *Sidecar) ReloadFiles(config func() (Config, error), file func() (*operator.File, error)) (r ReloadResult) {
	s.reloading.Lock()
	defer s.reloading.Unlock()
	c, err := config()
	if err == nil {
		err = s.Reload(c)
	}
	r.Faults = s.recordReload(ConfigurationFile, err)
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
	if faults := s.recordReload(OperatorsFile, err); err != nil {
		r.Faults = append(r.Faults, faults...)
		return r
	}
	r.Changes = operator.Diff(old, f)
	return r
}
