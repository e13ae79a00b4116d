package broker

import (
	"encoding/json"
	"math"
	"testing"
	"time"
)

// countAdmitted sends requests at one instant until the team is refused, and returns how many were
// admitted.
func countAdmitted(b *Broker, now time.Duration, team string, class int) (n int) {
	for n < 10_000 {
		if _, v := b.Admit(now, team, class, 0.001); v.Outcome != Admitted {
			return n
		}
		n++
	}
	return n
}

func snapshotTerms(classes int, first, second Classes) Terms {
	return Terms{Classes: classes, Contracts: []Contract{
		{Team: "kiosks", Share: 0.5, Calls: []CallLimits{{Classes: first, Rate: 10, Burst: 40}, {Classes: second, Rate: 5, Burst: 7}}},
		{Team: "patrols", Share: 0.3, Calls: []CallLimits{{Classes: AllClasses, Rate: 10, Burst: 40}}},
	}, Uncontracted: &Contract{Share: 0.1, Calls: []CallLimits{{Classes: AllClasses, Rate: 3, Burst: 6}}}}
}

// A team that has used up its burst has none in the process that replaces this one, even if the
// classes have other indexes there.
func TestSnapshotRestoresUsage(t *testing.T) {
	const now = 100 * time.Second
	old := New(now, snapshotTerms(2, 1, 2))
	for _, a := range []struct {
		team  string
		class int
		want  int
	}{{"kiosks", 0, 40}, {"kiosks", 1, 7}, {"somebody", 0, 6}} {
		if n := countAdmitted(old, now, a.team, a.class); n != a.want {
			t.Fatalf("%s: %d requests of class %d admitted, want %d", a.team, n, a.class, a.want)
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
	const later = 7 * time.Hour // the next process has another clock
	next := New(later, snapshotTerms(3, 4, 1))
	next.Restore(later, s, []int{2, 0}) // the classes have other indexes
	for _, a := range []struct {
		team  string
		class int
	}{{"kiosks", 2}, {"kiosks", 0}, {"strangers", 0}} {
		if n := countAdmitted(next, later, a.team, a.class); n > 0 {
			t.Errorf("%s has a new burst of %d in class %d", a.team, n, a.class)
		}
	}
	if n := countAdmitted(next, later, "patrols", 0); n != 40 {
		t.Errorf("a team without usage has %d requests admitted, want 40", n)
	}
	if n := countAdmitted(next, later+time.Second, "kiosks", 2); n != 10 {
		t.Errorf("a second later %d are admitted, want 10", n)
	}
}

// The estimate of a short capacity and the debts of teams are restored.
func TestSnapshotRestoresShares(t *testing.T) {
	const now = 100 * time.Second
	old := New(now, snapshotTerms(2, 1, 2))
	old.capacity.estimate = 4
	old.capacity.declareShortage(Queued)
	for range 400 {
		old.shares.charge(&old.teams["kiosks"].share, old.capacity.admitRate(), 0.01)
	}
	s := old.Snapshot(now)
	next := New(now, snapshotTerms(2, 1, 2))
	next.Restore(now, s, []int{0, 1})
	if !next.capacity.tight || next.capacity.estimate != 4 {
		t.Errorf("tight %v with an estimate of %v, want true with 4", next.capacity.tight, next.capacity.estimate)
	}
	if got, want := next.shares.backlog(&next.teams["kiosks"].share), s.Teams[0].Queued+s.Teams[1].Queued; math.Abs(got-want) > 1e-6 || want == 0 {
		t.Errorf("the team has a backlog of %v, want %v", got, want)
	}
}

// If more may have been used since the snapshot, no team has a burst, including teams that are not
// in the snapshot, and all keep their rate; debts stay.
func TestSnapshotSpent(t *testing.T) {
	const now = 100 * time.Second
	old := New(now, snapshotTerms(2, 1, 2))
	s := old.Snapshot(now)
	s.Spent, s.Teams = true, s.Teams[:1]
	next := New(now, snapshotTerms(2, 1, 2))
	next.Restore(now, s, []int{0, 1})
	for _, team := range []string{"kiosks", "patrols", "a stranger"} {
		if n := countAdmitted(next, now, team, 0); n != 0 {
			t.Errorf("%s: %d requests admitted, want none", team, n)
		}
	}
	if a := next.teams["patrols"]; a.tokens != 0 {
		t.Errorf("%v retries are available, want none", a.tokens)
	}
	full := countAdmitted(New(now, snapshotTerms(2, 1, 2)), now, "kiosks", 0)
	if n := countAdmitted(next, now+time.Second, "kiosks", 0); n == 0 || n >= full {
		t.Errorf("a second later %d are admitted, want more than none and less than a burst of %d", n, full)
	}
	if n := countAdmitted(next, now+time.Hour, "patrols", 0); n != 40 {
		t.Errorf("an hour later %d are admitted, want 40", n)
	}
}

// Invalid values in a snapshot lock no team out and do no harm.
func TestSnapshotInvalidValues(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	b := New(0, snapshotTerms(2, 1, 2))
	b.Restore(0, Snapshot{Estimate: nan, Tight: true, Classes: []ClassEstimate{{nan, nan, nan}, {inf, -1, 0}, {1, 1, 1}, {1, 1, 1}},
		Teams: []TeamUsage{{Team: "kiosks", Tokens: nan, Queued: inf, Calls: []CallUsage{{Class: 0, Requests: math.MaxInt64, Work: -5}, {Class: 99}, {Class: -1}}},
			{Team: "nobody", Tokens: 5}, {Strangers: true, Tokens: inf}}}, []int{0, 1, 7, -1})
	if n := countAdmitted(b, maxRestoredDebt+time.Second, "kiosks", 0); n == 0 {
		t.Error("a snapshot locks a team out for more than a minute")
	}
	if n := countAdmitted(b, 0, "patrols", 0); n != 40 {
		t.Errorf("another team has %d requests admitted, want 40", n)
	}
}
