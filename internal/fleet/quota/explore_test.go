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
	exploreDepth = flag.Int("explore-depth", 5, "number of consecutive events to explore")
	errExceeded  = errors.New("all together may admit more than the quota")
)

// model consists of three gateways, the first of which is steward, and their messages in
// flight. At the start two of them lend to the third.
type model struct {
	now           time.Duration
	participants  [3]*Participant
	steward       *Steward
	limits        [3]Limit
	demands       [3]Part
	inFlight      []any
	restarts      int // remaining
	demandChanges int // remaining changes of demand
}

var (
	testSettings = Settings{Lease: time.Second, Period: 200 * time.Millisecond, Drift: 0.01}
	testGateways = []Gateway{{"a", "p", Whole / 2}, {"b", "q", Whole / 4}, {"c", "r", Whole / 4}}
)

const maxInFlight = 4

// event is what happens, and the index it applies to.
type event struct {
	action string
	n      int
}

func (m event) String() string { return fmt.Sprint(m.action, " ", m.n) }

func (s model) clone() model {
	for i, h := range s.participants {
		c := *h
		c.steward = h.steward.Clone()
		c.loans = slices.Clone(h.loans)
		for j := range c.loans {
			c.loans[j].entries = slices.Clone(c.loans[j].entries)
		}
		s.participants[i] = &c
	}
	steward := *s.steward
	steward.accounts, steward.partners = nil, slices.Clone(steward.partners)
	for _, a := range s.steward.accounts {
		c := *a
		c.loans, c.grants = slices.Clone(a.loans), slices.Clone(a.grants)
		steward.accounts = append(steward.accounts, &c)
	}
	s.steward, s.inFlight = &steward, slices.Clone(s.inFlight)
	return s
}

func (s model) key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.now, s.limits, s.demands, s.inFlight, s.restarts, s.demandChanges)
	for _, h := range s.participants {
		fmt.Fprint(&b, *h)
	}
	steward := *s.steward
	steward.accounts = nil
	fmt.Fprint(&b, steward)
	for _, a := range s.steward.accounts {
		fmt.Fprint(&b, *a)
	}
	return b.String()
}

func (s model) events() (all []event) {
	for i := range s.participants {
		if len(s.inFlight) < maxInFlight {
			all = append(all, event{"report", i})
		}
		if s.restarts > 0 {
			all = append(all, event{"restart", i})
		}
	}
	for i := range s.inFlight {
		all = append(all, event{"deliver", i}, event{"lose", i})
		if len(s.inFlight) < maxInFlight {
			all = append(all, event{"repeat", i})
		}
	}
	if s.restarts > 0 {
		all = append(all, event{"restart the steward", 0})
	}
	if s.demandChanges > 0 {
		all = append(all, event{"rotate the demands", 0})
	}
	return append(all, event{"wait", 200}, event{"wait", 900})
}

func (s model) step(m event) (model, error) {
	s = s.clone()
	switch m.action {
	case "report":
		s.tick(m.n)
	case "deliver":
		x := s.inFlight[m.n]
		s.inFlight = slices.Delete(s.inFlight, m.n, m.n+1)
		s.deliver(x)
	case "lose":
		s.inFlight = slices.Delete(s.inFlight, m.n, m.n+1)
	case "repeat":
		s.inFlight = append(s.inFlight, s.inFlight[m.n])
	case "restart":
		s.restarts--
		s.participants[m.n] = NewParticipant(s.now, testSettings, testGateways[m.n].Name, s.participants[m.n].incarnation+100, testGateways[m.n].Part)
		s.limits[m.n] = s.participants[m.n].Limit(s.now)
	case "restart the steward":
		s.restarts--
		s.steward = NewSteward(s.now, testSettings, "a", s.steward.incarnation+100, testGateways)
	case "rotate the demands":
		s.demandChanges--
		s.demands[0], s.demands[1], s.demands[2] = s.demands[1], s.demands[2], s.demands[0]
	case "wait":
		s.now += time.Duration(m.n) * time.Millisecond
	}
	sum := Part(0)
	for _, l := range s.limits {
		sum += l.At(s.now)
	}
	if sum > Whole {
		return s, errExceeded
	}
	return s, nil
}

func (s *model) tick(i int) {
	r, ok := s.participants[i].Tick(s.now, s.demands[i], []string{"a"})
	s.limits[i] = s.participants[i].Limit(s.now)
	if ok {
		s.send(r)
	}
}

// send puts a message in flight; it is lost if too many are.
func (s *model) send(m any) {
	if len(s.inFlight) < maxInFlight {
		s.inFlight = append(s.inFlight, m)
	}
}

func (s *model) deliver(m any) {
	switch m := m.(type) {
	case Report:
		for _, r := range s.steward.HandleReport(s.now, m) {
			s.send(r)
		}
	case Reply:
		for i, h := range s.participants {
			if h.name != m.To {
				continue
			}
			urgent := h.HandleReply(s.now, m)
			if s.limits[i] = h.Limit(s.now); urgent {
				s.tick(i)
			}
		}
	}
}

// lentModel returns the system once two gateways have lent to the third, with nothing in flight.
func lentModel() model {
	s := model{steward: NewSteward(0, testSettings, "a", 1, testGateways), demands: [3]Part{0, 0, Whole}, restarts: 1, demandChanges: 1}
	for i, g := range testGateways {
		s.participants[i] = NewParticipant(0, testSettings, g.Name, 1, g.Part)
	}
	for range 12 {
		s.now += testSettings.Period
		for i := range s.participants {
			s.tick(i)
			for len(s.inFlight) > 0 {
				x := s.inFlight[0]
				s.inFlight = s.inFlight[1:]
				s.deliver(x)
			}
		}
	}
	return s
}

// Explores every order of reports, replies, losses, duplicates, waits, a restart and a change of
// demands: the sum of all limits must hold after each event.
func TestEveryOrderOfLeases(t *testing.T) {
	start := lentModel()
	if start.limits[2].At(start.now) < Whole*9/10 {
		t.Fatalf("nothing is lent at the start: %+v", start.limits)
	}
	m := explore.Model[model, event]{Start: start, Events: model.events, Step: model.step, Key: model.key, Depth: *exploreDepth}
	r, err := m.Explore(runtime.GOMAXPROCS(0))
	t.Log(r)
	if err != nil {
		t.Fatal(err)
	}
}
