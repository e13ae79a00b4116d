package quota

import (
	"errors"
	"flag"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"spokegw/internal/explore"
)

var (
	exploreDepth = flag.Int("explore-depth", 5, "events in a row that are gone through")
	errOver      = errors.New("all together may admit more than the quota")
)

// small is three gateways, of which the first is steward, with messages that are on their
// way. Two of them lend to the third when it begins.
type small struct {
	now      time.Duration
	holders  [3]*Participant
	steward  *Steward
	limits   [3]Limit
	demands  [3]Part
	flight   []any
	restarts int // that may come yet
	turns    int // changes of demand
}

var (
	smallSet  = Settings{Lease: time.Second, Period: 200 * time.Millisecond, Drift: 0.01}
	smallPlan = []Gateway{{"a", "p", Whole / 2}, {"b", "q", Whole / 4}, {"c", "r", Whole / 4}}
)

const mostFlight = 4

// move is one event: what happens, and to which.
type move struct {
	what string
	n    int
}

func (m move) String() string { return fmt.Sprint(m.what, " ", m.n) }

func (s small) clone() small {
	for i, h := range s.holders {
		c := *h
		c.steward = h.steward.Clone()
		c.ceded = slices.Clone(h.ceded)
		for j := range c.ceded {
			c.ceded[j].entries = slices.Clone(c.ceded[j].entries)
		}
		s.holders[i] = &c
	}
	w := *s.steward
	w.accounts, w.partners = nil, slices.Clone(w.partners)
	for _, a := range s.steward.accounts {
		c := *a
		c.cessions, c.grants = slices.Clone(a.cessions), slices.Clone(a.grants)
		w.accounts = append(w.accounts, &c)
	}
	s.steward, s.flight = &w, slices.Clone(s.flight)
	return s
}

func (s small) key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.now, s.limits, s.demands, s.flight, s.restarts, s.turns)
	for _, h := range s.holders {
		fmt.Fprint(&b, *h)
	}
	w := *s.steward
	w.accounts = nil
	fmt.Fprint(&b, w)
	for _, a := range s.steward.accounts {
		fmt.Fprint(&b, *a)
	}
	return b.String()
}

func (s small) events() (all []move) {
	for i := range s.holders {
		if len(s.flight) < mostFlight {
			all = append(all, move{"report", i})
		}
		if s.restarts > 0 {
			all = append(all, move{"restart", i})
		}
	}
	for i := range s.flight {
		all = append(all, move{"deliver", i}, move{"lose", i})
		if len(s.flight) < mostFlight {
			all = append(all, move{"repeat", i})
		}
	}
	if s.restarts > 0 {
		all = append(all, move{"restart the steward", 0})
	}
	if s.turns > 0 {
		all = append(all, move{"turn the demands", 0})
	}
	return append(all, move{"wait", 200}, move{"wait", 900})
}

func (s small) step(m move) (small, error) {
	s = s.clone()
	switch m.what {
	case "report":
		s.tick(m.n)
	case "deliver":
		x := s.flight[m.n]
		s.flight = slices.Delete(s.flight, m.n, m.n+1)
		s.take(x)
	case "lose":
		s.flight = slices.Delete(s.flight, m.n, m.n+1)
	case "repeat":
		s.flight = append(s.flight, s.flight[m.n])
	case "restart":
		s.restarts--
		s.holders[m.n] = NewParticipant(s.now, smallSet, smallPlan[m.n].Name, s.holders[m.n].incarnation+100, smallPlan[m.n].Part)
		s.limits[m.n] = s.holders[m.n].Limit(s.now)
	case "restart the steward":
		s.restarts--
		s.steward = NewSteward(s.now, smallSet, "a", s.steward.incarnation+100, smallPlan)
	case "turn the demands":
		s.turns--
		s.demands[0], s.demands[1], s.demands[2] = s.demands[1], s.demands[2], s.demands[0]
	case "wait":
		s.now += time.Duration(m.n) * time.Millisecond
	}
	sum := Part(0)
	for _, l := range s.limits {
		sum += l.At(s.now)
	}
	if sum > Whole {
		return s, errOver
	}
	return s, nil
}

func (s *small) tick(i int) {
	r, ok := s.holders[i].Tick(s.now, s.demands[i], []string{"a"})
	s.limits[i] = s.holders[i].Limit(s.now)
	if ok {
		s.send(r)
	}
}

// send puts a message on its way; what there is no room for is lost.
func (s *small) send(m any) {
	if len(s.flight) < mostFlight {
		s.flight = append(s.flight, m)
	}
}

func (s *small) take(m any) {
	switch m := m.(type) {
	case Report:
		for _, r := range s.steward.HandleReport(s.now, m) {
			s.send(r)
		}
	case Reply:
		for i, h := range s.holders {
			if h.name != m.To {
				continue
			}
			hurry := h.HandleReply(s.now, m)
			if s.limits[i] = h.Limit(s.now); hurry {
				s.tick(i)
			}
		}
	}
}

// lent is the system once two have lent to the third, with nothing on its way.
func lent() small {
	s := small{steward: NewSteward(0, smallSet, "a", 1, smallPlan), demands: [3]Part{0, 0, Whole}, restarts: 1, turns: 1}
	for i, g := range smallPlan {
		s.holders[i] = NewParticipant(0, smallSet, g.Name, 1, g.Part)
	}
	for range 12 {
		s.now += smallSet.Period
		for i := range s.holders {
			s.tick(i)
			for len(s.flight) > 0 {
				x := s.flight[0]
				s.flight = s.flight[1:]
				s.take(x)
			}
		}
	}
	return s
}

// Every order of reports, replies, losses, repeats, waits, a restart and a change of
// demands: the sum holds after each.
func TestEveryOrderOfLeases(t *testing.T) {
	start := lent()
	if start.limits[2].At(start.now) < Whole*9/10 {
		t.Fatalf("nothing is lent to begin with: %+v", start.limits)
	}
	m := explore.Model[small, move]{Start: start, Events: small.events, Step: small.step, Key: small.key, Depth: *exploreDepth}
	r, err := m.Explore(runtime.GOMAXPROCS(0))
	t.Log(r)
	if err != nil {
		t.Fatal(err)
	}
}
