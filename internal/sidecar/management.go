package sidecar

import (
	"cmp"
	"errors"
	"fmt"
	"strings"

	"spokegw/internal/core"
	"spokegw/internal/figures"
	"spokegw/internal/management"
)

// Limits of the callers of the management address, and the fraction of the descriptors that
// they may hold, out of those reserved for neither clients nor endpoints.
const (
	callerFraction = 1.0 / 64
	minCallers     = 4
	maxCallers     = 16
)

// listenManagement opens the management address, if one is configured.
func (s *Sidecar) listenManagement() (err error) {
	if s.config.Management == "" {
		return nil
	}
	callers := min(max(int(s.config.Limits.sockets(callerFraction)), minCallers), maxCallers)
	s.management, err = management.Listen(s.config.Management, callers, s.commands())
	return err
}

// AddrManagement returns the management address; "" if there is none.
func (s *Sidecar) AddrManagement() string {
	if s.management == nil {
		return ""
	}
	return s.management.Addr().String()
}

// commands returns the calls that operators can make.
func (s *Sidecar) commands() management.Commands {
	return management.Commands{
		"ready": {Help: "YES once this process serves", Run: func([]string) (string, error) {
			switch {
			case !s.serving.Load():
				return "", errors.New("starting")
			case s.drained.Load():
				return "", errors.New("drained")
			}
			return management.Yes, nil
		}},
		"show-stat":    {Help: "the figures", Run: s.showStat},
		"show-members": {Help: "every endpoint, and why one is avoided", Run: s.showMembers},
		"show-moves":   {Help: "every move between pools, and the evidence", Run: s.showMoves},
		"begin-move":   {Args: "NAME", Help: "begin a move", Run: s.moveCommand("begin"), Changes: true},
		"hold-move":    {Args: "NAME", Help: "keep it at its step", Run: s.moveCommand("hold"), Changes: true},
		"go-on-move":   {Args: "NAME", Help: "let it go on that is held or has halted", Run: s.moveCommand("go-on"), Changes: true},
		"undo-move":    {Args: "NAME", Help: "have it go back", Run: s.moveCommand("undo"), Changes: true},
		"tell-move": {Args: "NAME CLASS failed|late|turned-away|slow NEW BAD OLD BAD", Help: "requests that others saw of the two pools in the same seconds, and how many of them were so",
			Run: s.addMoveEvidence},
		"disable-server": {Args: "ID", Help: "send an endpoint nothing new", Run: func(args []string) (string, error) {
			return s.onEndpoint(args[0], (*core.Service).Disable)
		}, Changes: true},
		"enable-server": {Args: "ID", Help: "take that back", Run: func(args []string) (string, error) {
			return s.onEndpoint(args[0], (*core.Service).Enable)
		}, Changes: true},
		"drain": {Help: "ask clients to leave with their next answer, and be not ready", Run: func([]string) (string, error) {
			s.drain(true)
			return management.Yes, nil
		}, Changes: true},
		"resume": {Help: "take that back", Run: func([]string) (string, error) {
			s.drain(false)
			return management.Yes, nil
		}, Changes: true},
	}
}

// drain starts or ends asking clients to disconnect. Requests are served all the same.
func (s *Sidecar) drain(on bool) {
	s.drained.Store(on)
	s.front.SetDraining(on)
}

func (s *Sidecar) showStat([]string) (string, error) {
	return s.figures.Report(s.members()) + s.fleetStat() + management.End, nil
}

// forEachService calls do for each service.
func (s *Sidecar) forEachService(do func(name string, service *core.Service)) {
	for _, r := range s.currentServices() {
		do(r.service.Name(), r.service)
	}
}

// members counts the endpoints of all services.
func (s *Sidecar) members() (sum figures.Members) {
	s.forEachService(func(_ string, service *core.Service) {
		m := service.CountMembers()
		sum.Listed += m.Listed
		sum.Unavailable += m.Unavailable
	})
	for _, r := range s.currentServices() {
		if r.watcher == nil {
			continue
		}
		l := figures.List{Service: r.service.Name(), Age: r.watcher.Age()}
		l.Answered, l.Failed, l.Late = r.watcher.Calls()
		sum.Lists = append(sum.Lists, l)
	}
	return sum
}

// showMembers writes a line of name=value pairs for each endpoint.
func (s *Sidecar) showMembers([]string) (string, error) {
	var b strings.Builder
	s.forEachService(func(name string, service *core.Service) {
		for _, m := range service.MemberList() {
			fmt.Fprintf(&b, "id=%s service=%s addr=%s kind=%s state=%s avoided=%s in_flight=%.0f part=%.3f health=%.2f warmth=%.2f speed=%.2f\n",
				escapeWord(m.ID), cmp.Or(escapeWord(name), "-"), escapeWord(m.Addr), cmp.Or(escapeWord(m.Kind), "-"), escapeWord(m.State), cmp.Or(m.AvoidedReason, "-"),
				m.InFlight, m.Share, m.Health, m.Warmth, m.Speed)
		}
	})
	return b.String() + management.End, nil
}

// escapeWord replaces spaces and control characters, which would split a word in an answer.
func escapeWord(text string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r == 0x7f {
			return '_'
		}
		return r
	}, text)
}

// onEndpoint calls do for an endpoint, at whichever services list it.
func (s *Sidecar) onEndpoint(id string, do func(*core.Service, string) error) (string, error) {
	err, done := errors.New("there is no service"), false
	s.forEachService(func(_ string, service *core.Service) {
		if e := do(service, id); e == nil {
			done = true
		} else {
			err = e
		}
	})
	if !done {
		return "", err
	}
	return management.Yes, nil
}
