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
	schedules = flag.Int("schedules", 60, "number of fault schedules to run")
	from      = flag.Uint64("from", 1, "seed of the first schedule")
)

// gateway runs one node as a gateways.Way: the leader may admit the whole quota, so that two
// leaders at once exceed it.
type gateway struct{ node *election.Node }

// fleet creates gateways and holds the latest process of each.
type fleet map[string]gateway

func newGateway(now time.Duration, set quota.Settings, name string, incarnation uint64, plan []quota.Gateway) gateways.Way {
	return fleet{}.make(now, set, name, incarnation, plan)
}

func (f fleet) make(now time.Duration, set quota.Settings, name string, incarnation uint64, plan []quota.Gateway) gateways.Way {
	var names []string
	for _, g := range plan {
		names = append(names, g.Name)
	}
	f[name] = gateway{election.NewNode(now, election.Settings{Lease: set.Lease, Drift: set.Drift}, name, incarnation, names)}
	return f[name]
}

func (g gateway) Tick(now time.Duration, _ quota.Part, candidates []string) []gateways.Message {
	return messages(g.node.Tick(now, candidates))
}

func (g gateway) Take(now time.Duration, body any) []gateways.Message {
	out := body.(election.Outgoing)
	if out.Reply != nil {
		g.node.HandleReply(now, *out.Reply)
		return nil
	}
	reply, ok := g.node.HandleReport(now, *out.Report)
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

func (g gateway) Limit(now time.Duration) quota.Limit {
	if g.node.LeaderTerm(now) == 0 {
		return quota.Limit{}
	}
	return quota.Limit{Grant: quota.Whole, Until: g.node.LeaderUntil()}
}

// Under any fault schedule there must be at most one leader. Once the faults end there must be
// one again, known to all gateways.
func TestSchedules(t *testing.T) {
	minShare := 1.0
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
		if err := w.Run(w.Now + time.Minute); err != nil { // stalled gateways continue
			t.Fatalf("seed %d, then: two hold the duty at once\n%v", seed, err)
		}
		share, err := w.Share(5 * time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if minShare = min(minShare, share); share < 0.99 {
			t.Errorf("seed %d: there is a leader for %.3f of the time afterwards", seed, share)
		}
		known := map[string]bool{}
		for _, n := range w.Nodes {
			leader, _ := f[n.Name].node.Leader(w.Clock(n))
			known[leader] = true
		}
		if len(known) != 1 || known[""] {
			t.Errorf("seed %d: gateways disagree on the leader: %v", seed, known)
		}
	}
	t.Logf("%d schedules, minimum fraction of time with a leader afterwards %.3f", *schedules, minShare)
}

// A minority side of a partition must have no leader, and the majority side must elect one.
func TestMinorityHasNoLeader(t *testing.T) {
	set := quota.Settings{Lease: 2 * time.Second, Period: 200 * time.Millisecond, Drift: 0.01}
	for seed := range uint64(10) {
		w := gateways.New(seed, set, 5, 1, newGateway)
		for _, n := range w.Nodes {
			n.Demand = quota.Whole
		}
		if err := w.Run(10 * time.Second); err != nil {
			t.Fatal(err)
		}
		leader := -1
		for i, n := range w.Nodes {
			if w.Limit(n) > 0 {
				leader = i
			}
		}
		if leader < 0 {
			t.Fatalf("seed %d: there is no leader", seed)
		}
		other := (leader + 1) % 5
		for i := range w.Nodes {
			for _, side := range []int{leader, other} { // cut off the leader and one more
				if i != leader && i != other {
					w.Cut[[2]int{side, i}], w.Cut[[2]int{i, side}] = true, true
				}
			}
		}
		if err := w.Run(w.Now + 2*set.Lease); err != nil {
			t.Fatal(err)
		}
		if w.Limit(w.Nodes[leader])+w.Limit(w.Nodes[other]) > 0 {
			t.Errorf("seed %d: the minority side of two of five has a leader", seed)
		}
		if err := w.Run(w.Now + 3*set.Lease); err != nil {
			t.Fatal(err)
		}
		if w.Sum() == 0 {
			t.Errorf("seed %d: the majority side of three has no leader", seed)
		}
	}
}
