package election

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
	exploreDepth = flag.Int("explore-depth", 4, "events in a row that are gone through")
	errTwo       = errors.New("two hold the duty at once")
	errTerm      = errors.New("a later holder has no later term")
)

// small is three gateways with messages that are on their way.
type small struct {
	now      time.Duration
	nodes    [3]*Node
	turned   [3]bool // they take a to be down, and would have b
	flight   []Outgoing
	restarts int
	last     Term
	holder   int
}

var (
	smallSet   = Settings{Lease: time.Second, Drift: 0.01}
	smallNames = []string{"a", "b", "c"}
)

const mostFlight = 3

type move struct {
	what string
	n    int
}

func (m move) String() string { return fmt.Sprint(m.what, " ", m.n) }

func (s small) clone() small {
	for i, n := range s.nodes {
		c, v := *n, *n.Voter
		v.choice = v.choice.Clone()
		if c.Voter = &v; n.seat != nil {
			seat := *n.seat
			seat.voices, seat.ends = nil, nil
			for _, o := range n.seat.voices {
				voice := *o
				seat.voices = append(seat.voices, &voice)
			}
			c.seat = &seat
		}
		s.nodes[i] = &c
	}
	s.flight = slices.Clone(s.flight)
	return s
}

func (s small) key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.now, s.turned, s.restarts, s.last, s.holder)
	for _, o := range s.flight {
		if o.Report != nil {
			fmt.Fprint(&b, *o.Report)
		} else {
			fmt.Fprint(&b, *o.Reply)
		}
	}
	for _, n := range s.nodes {
		fmt.Fprint(&b, *n.Voter)
		if n.seat != nil {
			fmt.Fprint(&b, n.seat.known, n.seat.term, n.seat.held, n.seat.heardAt, n.seat.incarnation)
			for _, v := range n.seat.voices {
				fmt.Fprint(&b, *v)
			}
		}
	}
	return b.String()
}

func (s small) events() (all []move) {
	for i := range s.nodes {
		all = append(all, move{"tick", i})
		all = append(all, move{"turn", i})
		if s.restarts > 0 {
			all = append(all, move{"restart", i})
		}
	}
	for i := range s.flight {
		all = append(all, move{"deliver", i}, move{"lose", i})
	}
	if n := len(s.flight); n > 0 && n < mostFlight {
		all = append(all, move{"repeat", n - 1})
	}
	return append(all, move{"wait", 300}, move{"wait", 1100})
}

func (s small) step(m move) (small, error) {
	s = s.clone()
	switch m.what {
	case "tick":
		order := []string{"a", "b"}
		if s.turned[m.n] {
			order = []string{"b"}
		}
		for _, out := range s.nodes[m.n].Tick(s.now, order) {
			s.send(m.n, out)
		}
	case "turn":
		s.turned[m.n] = !s.turned[m.n]
	case "restart":
		s.restarts--
		s.nodes[m.n] = NewNode(s.now, smallSet, smallNames[m.n], s.nodes[m.n].incarnation+100, smallNames)
	case "deliver":
		o := s.flight[m.n]
		s.flight = slices.Delete(s.flight, m.n, m.n+1)
		s.take(slices.Index(smallNames, o.To), o)
	case "lose":
		s.flight = slices.Delete(s.flight, m.n, m.n+1)
	case "repeat":
		s.flight = append(s.flight, s.flight[m.n])
	case "wait":
		s.now += time.Duration(m.n) * time.Millisecond
	}
	return s, s.check()
}

// send puts a message on its way; one to itself is there at once.
func (s *small) send(from int, o Outgoing) {
	if smallNames[from] == o.To {
		s.take(from, o)
	} else if len(s.flight) < mostFlight {
		s.flight = append(s.flight, o)
	}
}

func (s *small) take(i int, o Outgoing) {
	if o.Reply != nil {
		s.nodes[i].HandleReply(s.now, *o.Reply)
	} else if reply, ok := s.nodes[i].HandleReport(s.now, *o.Report); ok {
		s.send(i, reply)
	}
}

// check finds two holders at once, or a later one whose term is not later.
func (s *small) check() error {
	holder := -1
	for i, n := range s.nodes {
		term := n.LeaderTerm(s.now)
		if term == 0 {
			continue
		}
		if holder >= 0 {
			return errTwo
		}
		if holder = i; i != s.holder && s.restarts > 0 && term.round() <= s.last.round() {
			return errTerm
		}
		s.holder, s.last = i, max(s.last, term)
	}
	return nil
}

// rounds has some of the gateways report a few times, and hear what they are answered.
func (s *small) rounds(n int, of ...int) {
	for range n {
		s.now += 200 * time.Millisecond
		for _, i := range of {
			next, _ := s.step(move{"tick", i})
			for *s = next; len(s.flight) > 0; {
				o := s.flight[0]
				s.flight = s.flight[1:]
				s.take(slices.Index(smallNames, o.To), o)
			}
		}
	}
	s.check()
}

// held is the system once the first holds the duty, with nothing on its way.
func held() small {
	s := small{restarts: 1, holder: -1}
	for i, name := range smallNames {
		s.nodes[i] = NewNode(0, smallSet, name, 1, smallNames)
	}
	s.rounds(8, 0, 1, 2)
	return s
}

// apart is the system once the second is promised to itself, and the third takes the first
// to be down as well.
func apart() small {
	s := held()
	s.turned[1] = true
	s.rounds(12, 0, 1, 2)
	s.turned[2] = true
	return s
}

// leaving is the system once both others take the first to be down, and have told the
// second, just after they were promised to the first.
func leaving() small {
	s := held()
	s.turned[1], s.turned[2] = true, true
	s.rounds(1, 1, 2)
	return s
}

// Every order of reports, replies, losses, repeats, waits, changes of mind and a restart:
// never do two hold the duty.
func TestEveryOrderOfDuty(t *testing.T) {
	for name, start := range map[string]small{"held by the first": held(), "the second is promised to itself": apart(), "two have turned": leaving()} {
		if start.holder != 0 {
			t.Fatalf("%s: the first one does not hold the duty to begin with", name)
		}
		m := explore.Model[small, move]{Start: start, Events: small.events, Step: small.step, Key: small.key, Depth: *exploreDepth}
		r, err := m.Explore(runtime.GOMAXPROCS(0))
		if t.Logf("%s: %v", name, r); err != nil {
			t.Fatal(err)
		}
	}
}

// What was promised to a seat's former self counts for nothing.
func TestPromiseToFormerSelf(t *testing.T) {
	seat := NewCandidate(0, smallSet, "a", 2, smallNames)
	seat.HandleReport(0, Report{From: "b", Incarnation: 1, Seq: 1, To: "a"})
	seat.HandleReport(0, Report{From: "b", Incarnation: 1, Seq: 2, To: "a", ToIncarnation: 1, Ack: 1, Vote: true})
	if len(seat.Voters(0)) > 0 {
		t.Fatal("then: a promise to another counts")
	}
	seat.HandleReport(0, Report{From: "b", Incarnation: 1, Seq: 3, To: "a", ToIncarnation: 2, Ack: 1, Vote: true})
	if len(seat.Voters(0)) != 1 || len(seat.Voters(smallSet.Lease)) > 0 {
		t.Error("a promise does not count for a lease")
	}
}

// A voter that has started anew promises nothing while its former self may be promised.
func TestRestartedVoterWaits(t *testing.T) {
	_, err := explore.Replay(apart(), small.step, []move{{"restart", 2}, {"tick", 2}, {"deliver", 0}, {"deliver", 0}, {"tick", 2}, {"deliver", 0}})
	if err != nil {
		t.Fatal(err)
	}
}
