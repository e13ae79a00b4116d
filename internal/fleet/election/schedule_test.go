package election_test

import (
	"flag"
	"testing"
	"time"

	"spokegw/internal/fleet/election"
	"spokegw/internal/fleet/quota"
	"spokegw/internal/lab/gateways"
)

var (
	schedules = flag.Int("schedules", 60, "fault schedules to be played")
	from      = flag.Uint64("from", 1, "the first one's seed")
)

// way has one gateway take part: whoever holds the duty may admit the whole quota, so that
// two holders at once are over it.
type way struct{ node *election.Node }

// fleet makes ways, and has the latest of each gateway.
type fleet map[string]way

func newWay(now time.Duration, set quota.Settings, name string, incarnation uint64, plan []quota.Gateway) gateways.Way {
	return fleet{}.make(now, set, name, incarnation, plan)
}

func (f fleet) make(now time.Duration, set quota.Settings, name string, incarnation uint64, plan []quota.Gateway) gateways.Way {
	var names []string
	for _, g := range plan {
		names = append(names, g.Name)
	}
	f[name] = way{election.NewNode(now, election.Settings{Lease: set.Lease, Drift: set.Drift}, name, incarnation, names)}
	return f[name]
}

func (w way) Tick(now time.Duration, _ quota.Part, candidates []string) []gateways.Message {
	return messages(w.node.Tick(now, candidates))
}

func (w way) Take(now time.Duration, body any) []gateways.Message {
	out := body.(election.Outgoing)
	if out.Reply != nil {
		w.node.HandleReply(now, *out.Reply)
		return nil
	}
	reply, ok := w.node.HandleReport(now, *out.Report)
	if !ok {
		return nil
	}
	return messages([]election.Outgoing{reply})
}

func messages(all []election.Outgoing) (out []gateways.Message) {
	for _, o := range all {
		out = append(out, gateways.Message{To: o.To, Body: o})
	}
	return out
}

func (w way) Limit(now time.Duration) quota.Limit {
	if w.node.LeaderTerm(now) == 0 {
		return quota.Limit{}
	}
	return quota.Limit{Grant: quota.Whole, Until: w.node.LeaderUntil()}
}

// Whatever happens, at most one holds the duty; and when it is over one does again, whom
// nearly all know.
func TestSchedules(t *testing.T) {
	least := 1.0
	for seed := *from; seed < *from+uint64(*schedules); seed++ {
		set := quota.Settings{Lease: 2 * time.Second, Period: 200 * time.Millisecond, Drift: 0.01}
		f := fleet{}
		w := gateways.New(seed, set, 3, 1+int(seed%4), f.make)
		if err := w.Play(gateways.Draw(w, 40*time.Second)); err != nil {
			t.Fatalf("seed %d, then: two hold the duty at once\n%v", seed, err)
		}
		w.Drop, w.Duplicate, w.Cut = 0, 0, map[[2]int]bool{}
		w.Delay = func() time.Duration { return time.Millisecond }
		for _, n := range w.Nodes {
			if n.Demand = quota.Whole; !n.Up {
				w.Start(n)
			}
		}
		if err := w.Run(w.Now + time.Minute); err != nil { // those that stand still go on
			t.Fatalf("seed %d, then: two hold the duty at once\n%v", seed, err)
		}
		share, err := w.Share(5 * time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if least = min(least, share); share < 0.99 {
			t.Errorf("seed %d: the duty is held for %.3f of the time afterwards", seed, share)
		}
		known := map[string]bool{}
		for _, n := range w.Nodes {
			holder, _ := f[n.Name].node.Leader(w.Clock(n))
			known[holder] = true
		}
		if len(known) != 1 || known[""] {
			t.Errorf("seed %d: not all know of the same that holds it: %v", seed, known)
		}
	}
	t.Logf("%d schedules, the least part of the time that it is held afterwards %.3f", *schedules, least)
}

// A side of a cut that has less than half holds nothing, and the other takes the duty over.
func TestMinorityHoldsNothing(t *testing.T) {
	set := quota.Settings{Lease: 2 * time.Second, Period: 200 * time.Millisecond, Drift: 0.01}
	for seed := range uint64(10) {
		w := gateways.New(seed, set, 5, 1, newWay)
		for _, n := range w.Nodes {
			n.Demand = quota.Whole
		}
		if err := w.Run(10 * time.Second); err != nil {
			t.Fatal(err)
		}
		holder := -1
		for i, n := range w.Nodes {
			if w.Limit(n) > 0 {
				holder = i
			}
		}
		if holder < 0 {
			t.Fatalf("seed %d: nobody holds the duty", seed)
		}
		other := (holder + 1) % 5
		for i := range w.Nodes {
			for _, side := range []int{holder, other} { // the holder and one more are cut off
				if i != holder && i != other {
					w.Cut[[2]int{side, i}], w.Cut[[2]int{i, side}] = true, true
				}
			}
		}
		if err := w.Run(w.Now + 2*set.Lease); err != nil {
			t.Fatal(err)
		}
		if w.Limit(w.Nodes[holder])+w.Limit(w.Nodes[other]) > 0 {
			t.Errorf("seed %d: a side of two of five holds the duty", seed)
		}
		if err := w.Run(w.Now + 3*set.Lease); err != nil {
			t.Fatal(err)
		}
		if w.Sum() == 0 {
			t.Errorf("seed %d: the side of three has not taken the duty over", seed)
		}
	}
}
