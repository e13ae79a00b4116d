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
	exploreDepth  = flag.Int("explore-depth", 4, "number of consecutive events to explore")
	errTwoLeaders = errors.New("two hold the duty at once")
	errTerm       = errors.New("a later holder has no later term")
)

// model consists of three gateways and their messages in flight.
type model struct {
	now      time.Duration
	nodes    [3]*Node
	prefersB [3]bool // the gateway takes a to be down, and prefers b
	inFlight []Outgoing
	restarts int
	lastTerm Term
	leader   int
}

var (
	testSettings = Settings{Lease: time.Second, Drift: 0.01}
	testNames    = []string{"a", "b", "c"}
)

const maxInFlight = 3

type event struct {
	action string
	n      int
}

func (m event) String() string { return fmt.Sprint(m.action, " ", m.n) }

func (s model) clone() model {
	for i, n := range s.nodes {
		c, v := *n, *n.Voter
		v.peer = v.peer.Clone()
		if c.Voter = &v; n.candidate != nil {
			candidate := *n.candidate
			candidate.voters, candidate.expiries = nil, nil
			for _, o := range n.candidate.voters {
				state := *o
				candidate.voters = append(candidate.voters, &state)
			}
			c.candidate = &candidate
		}
		s.nodes[i] = &c
	}
	s.inFlight = slices.Clone(s.inFlight)
	return s
}

func (s model) key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.now, s.prefersB, s.restarts, s.lastTerm, s.leader)
	for _, o := range s.inFlight {
		if o.Report != nil {
			fmt.Fprint(&b, *o.Report)
		} else {
			fmt.Fprint(&b, *o.Reply)
		}
	}
	for _, n := range s.nodes {
		fmt.Fprint(&b, *n.Voter)
		if n.candidate != nil {
			fmt.Fprint(&b, n.candidate.maxTerm, n.candidate.term, n.candidate.prevUntil, n.candidate.lastReportAt, n.candidate.incarnation)
			for _, v := range n.candidate.voters {
				fmt.Fprint(&b, *v)
			}
		}
	}
	return b.String()
}

func (s model) events() (all []event) {
	for i := range s.nodes {
		all = append(all, event{"tick", i})
		all = append(all, event{"turn", i})
		if s.restarts > 0 {
			all = append(all, event{"restart", i})
		}
	}
	for i := range s.inFlight {
		all = append(all, event{"deliver", i}, event{"lose", i})
	}
	if n := len(s.inFlight); n > 0 && n < maxInFlight {
		all = append(all, event{"repeat", n - 1})
	}
	return append(all, event{"wait", 300}, event{"wait", 1100})
}

func (s model) step(m event) (model, error) {
	s = s.clone()
	switch m.action {
	case "tick":
		order := []string{"a", "b"}
		if s.prefersB[m.n] {
			order = []string{"b"}
		}
		for _, out := range s.nodes[m.n].Tick(s.now, order) {
			s.send(m.n, out)
		}
	case "turn":
		s.prefersB[m.n] = !s.prefersB[m.n]
	case "restart":
		s.restarts--
		s.nodes[m.n] = NewNode(s.now, testSettings, testNames[m.n], s.nodes[m.n].incarnation+100, testNames)
	case "deliver":
		o := s.inFlight[m.n]
		s.inFlight = slices.Delete(s.inFlight, m.n, m.n+1)
		s.deliver(slices.Index(testNames, o.To), o)
	case "lose":
		s.inFlight = slices.Delete(s.inFlight, m.n, m.n+1)
	case "repeat":
		s.inFlight = append(s.inFlight, s.inFlight[m.n])
	case "wait":
		s.now += time.Duration(m.n) * time.Millisecond
	}
	return s, s.check()
}

// send puts a message in flight; one to the sender itself is delivered at once.
func (s *model) send(from int, o Outgoing) {
	if testNames[from] == o.To {
		s.deliver(from, o)
	} else if len(s.inFlight) < maxInFlight {
		s.inFlight = append(s.inFlight, o)
	}
}

func (s *model) deliver(i int, o Outgoing) {
	if o.Reply != nil {
		s.nodes[i].HandleReply(s.now, *o.Reply)
	} else if reply, ok := s.nodes[i].HandleReport(s.now, *o.Report); ok {
		s.send(i, reply)
	}
}

// check detects two leaders at once, and a later leader whose term is not later.
func (s *model) check() error {
	leader := -1
	for i, n := range s.nodes {
		term := n.LeaderTerm(s.now)
		if term == 0 {
			continue
		}
		if leader >= 0 {
			return errTwoLeaders
		}
		if leader = i; i != s.leader && s.restarts > 0 && term.round() <= s.lastTerm.round() {
			return errTerm
		}
		s.leader, s.lastTerm = i, max(s.lastTerm, term)
	}
	return nil
}

// rounds has some gateways report n times and delivers all messages.
func (s *model) rounds(n int, gateways ...int) {
	for range n {
		s.now += 200 * time.Millisecond
		for _, i := range gateways {
			next, _ := s.step(event{"tick", i})
			for *s = next; len(s.inFlight) > 0; {
				o := s.inFlight[0]
				s.inFlight = s.inFlight[1:]
				s.deliver(slices.Index(testNames, o.To), o)
			}
		}
	}
	s.check()
}

// firstLeads returns the system once the first gateway is leader, with nothing in flight.
func firstLeads() model {
	s := model{restarts: 1, leader: -1}
	for i, name := range testNames {
		s.nodes[i] = NewNode(0, testSettings, name, 1, testNames)
	}
	s.rounds(8, 0, 1, 2)
	return s
}

// secondVotesForItself returns the system once the second gateway votes for itself, and the third
// takes the first to be down as well.
func secondVotesForItself() model {
	s := firstLeads()
	s.prefersB[1] = true
	s.rounds(12, 0, 1, 2)
	s.prefersB[2] = true
	return s
}

// twoPreferSecond returns the system once both others take the first to be down and have reported to
// the second, just after they voted for the first.
func twoPreferSecond() model {
	s := firstLeads()
	s.prefersB[1], s.prefersB[2] = true, true
	s.rounds(1, 1, 2)
	return s
}

// Explores every order of reports, replies, losses, duplicates, waits, changes of preference and
// a restart: there must never be two leaders.
func TestEveryOrderOfElection(t *testing.T) {
	for name, start := range map[string]model{"the first is leader": firstLeads(), "the second votes for itself": secondVotesForItself(), "two prefer the second": twoPreferSecond()} {
		if start.leader != 0 {
			t.Fatalf("%s: the first gateway is not leader at the start", name)
		}
		m := explore.Model[model, event]{Start: start, Events: model.events, Step: model.step, Key: model.key, Depth: *exploreDepth}
		r, err := m.Explore(runtime.GOMAXPROCS(0))
		if t.Logf("%s: %v", name, r); err != nil {
			t.Fatal(err)
		}
	}
}

// A vote for an earlier candidate of the same gateway must not count.
func TestVoteForEarlierCandidate(t *testing.T) {
	candidate := NewCandidate(0, testSettings, "a", 2, testNames)
	candidate.HandleReport(0, Report{From: "b", Incarnation: 1, Seq: 1, To: "a"})
	candidate.HandleReport(0, Report{From: "b", Incarnation: 1, Seq: 2, To: "a", ToIncarnation: 1, Ack: 1, Vote: true})
	if len(candidate.Voters(0)) > 0 {
		t.Fatal("then: a promise to another counts")
	}
	candidate.HandleReport(0, Report{From: "b", Incarnation: 1, Seq: 3, To: "a", ToIncarnation: 2, Ack: 1, Vote: true})
	if len(candidate.Voters(0)) != 1 || len(candidate.Voters(testSettings.Lease)) > 0 {
		t.Error("a vote does not count for a lease")
	}
}

// A restarted voter must not vote while the vote of its previous incarnation may be valid.
func TestRestartedVoterWaits(t *testing.T) {
	_, err := explore.Replay(secondVotesForItself(), model.step, []event{{"restart", 2}, {"tick", 2}, {"deliver", 0}, {"deliver", 0}, {"tick", 2}, {"deliver", 0}})
	if err != nil {
		t.Fatal(err)
	}
}
