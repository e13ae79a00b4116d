package broker

import (
	"encoding/json"
	"math"
	"testing"
	"time"
)

// admits asks at one instant until a team is refused, and returns how often it
// was not.
func admits(b *Broker, now time.Duration, team string, class int) (n int) {
	for n < 10_000 {
		if _, v := b.Admit(now, team, class, 0.001); v.Outcome != Admitted {
			return n
		}
		n++
	}
	return n
}

func standingTerms(classes int, first, second Classes) Terms {
	return Terms{Classes: classes, Contracts: []Contract{
		{Team: "kiosks", Share: 0.5, Calls: []CallLimits{{Classes: first, Rate: 10, Burst: 40}, {Classes: second, Rate: 5, Burst: 7}}},
		{Team: "patrols", Share: 0.3, Calls: []CallLimits{{Classes: AllClasses, Rate: 10, Burst: 40}}},
	}, Uncontracted: &Contract{Share: 0.1, Calls: []CallLimits{{Classes: AllClasses, Rate: 3, Burst: 6}}}}
}

// A team that has used up its burst has none in the process that takes this
// one's place, whatever numbers the classes have there.
func TestStandingGoesOn(t *testing.T) {
	const now = 100 * time.Second
	old := New(now, standingTerms(2, 1, 2))
	for _, a := range []struct {
		team  string
		class int
		want  int
	}{{"kiosks", 0, 40}, {"kiosks", 1, 7}, {"somebody", 0, 6}} {
		if n := admits(old, now, a.team, a.class); n != a.want {
			t.Fatalf("%s is admitted %d times of class %d, %d are expected", a.team, n, a.class, a.want)
		}
	}
	text, err := json.Marshal(old.Snapshot(now))
	if err != nil {
		t.Fatal(err)
	}
	var s Snapshot
	if err := json.Unmarshal(text, &s); err != nil {
		t.Fatal(err)
	}
	const later = 7 * time.Hour // by another clock
	next := New(later, standingTerms(3, 4, 1))
	next.Restore(later, s, []int{2, 0}) // classes have other places
	for _, a := range []struct {
		team  string
		class int
	}{{"kiosks", 2}, {"kiosks", 0}, {"strangers", 0}} {
		if n := admits(next, later, a.team, a.class); n > 0 {
			t.Errorf("%s has a fresh burst of %d in class %d", a.team, n, a.class)
		}
	}
	if n := admits(next, later, "patrols", 0); n != 40 {
		t.Errorf("a team that has asked for nothing is admitted %d times", n)
	}
	if n := admits(next, later+time.Second, "kiosks", 2); n != 10 {
		t.Errorf("a second later %d are admitted, 10 are expected", n)
	}
}

// What is learnt of a capacity that is short, and who is in debt, goes on.
func TestStandingOfShares(t *testing.T) {
	const now = 100 * time.Second
	old := New(now, standingTerms(2, 1, 2))
	old.capacity.estimate = 4
	old.capacity.tighten(Queued)
	for range 400 {
		old.shares.charge(&old.teams["kiosks"].share, old.capacity.rate(), 0.01)
	}
	s := old.Snapshot(now)
	next := New(now, standingTerms(2, 1, 2))
	next.Restore(now, s, []int{0, 1})
	if !next.capacity.tight || next.capacity.estimate != 4 {
		t.Errorf("tight %v at %v", next.capacity.tight, next.capacity.estimate)
	}
	if got, want := next.shares.queued(&next.teams["kiosks"].share), s.Teams[0].Queued+s.Teams[1].Queued; math.Abs(got-want) > 1e-6 || want == 0 {
		t.Errorf("it is %v ahead of its share, %v is expected", got, want)
	}
}

// Where more may have been used since, nobody has a burst, also those who are not told
// of, and all have their rate; what is owed stays owed.
func TestStandingSpent(t *testing.T) {
	const now = 100 * time.Second
	old := New(now, standingTerms(2, 1, 2))
	s := old.Snapshot(now)
	s.Spent, s.Teams = true, s.Teams[:1]
	next := New(now, standingTerms(2, 1, 2))
	next.Restore(now, s, []int{0, 1})
	for _, team := range []string{"kiosks", "patrols", "a stranger"} {
		if n := admits(next, now, team, 0); n != 0 {
			t.Errorf("%s is let out %d", team, n)
		}
	}
	if a := next.teams["patrols"]; a.tokens != 0 {
		t.Errorf("%v repeats are let out", a.tokens)
	}
	full := admits(New(now, standingTerms(2, 1, 2)), now, "kiosks", 0)
	if n := admits(next, now+time.Second, "kiosks", 0); n == 0 || n >= full {
		t.Errorf("a second later %d are admitted, and a burst is %d", n, full)
	}
	if n := admits(next, now+time.Hour, "patrols", 0); n != 40 {
		t.Errorf("an hour later %d are admitted", n)
	}
}

// What can't be meant shuts nobody out, and breaks nothing.
func TestStandingNonsense(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	b := New(0, standingTerms(2, 1, 2))
	b.Restore(0, Snapshot{Estimate: nan, Tight: true, Classes: []ClassEstimate{{nan, nan, nan}, {inf, -1, 0}, {1, 1, 1}, {1, 1, 1}},
		Teams: []TeamUsage{{Team: "kiosks", Tokens: nan, Queued: inf, Calls: []CallUsage{{Class: 0, Requests: math.MaxInt64, Work: -5}, {Class: 99}, {Class: -1}}},
			{Team: "nobody", Tokens: 5}, {Strangers: true, Tokens: inf}}}, []int{0, 1, 7, -1})
	if n := admits(b, longestAhead+time.Second, "kiosks", 0); n == 0 {
		t.Error("a team is shut out for more than a minute by what another process said")
	}
	if n := admits(b, 0, "patrols", 0); n != 40 {
		t.Errorf("a team beside it is admitted %d times", n)
	}
}
