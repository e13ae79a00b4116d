package hardware

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"spokegw/internal/fleet/sites"
	"spokegw/internal/fleet/weights"
	"spokegw/internal/lab/gateways"
	"spokegw/policy"
)

var (
	schedules = flag.Int("schedules", 6, "fault schedules to be played")
	from      = flag.Uint64("from", 1, "the first one's seed")
)

// threeSites is a fleet of nine gateways before four servers in each of three sites.
func threeSites(seed uint64) *Lab {
	var servers []*Server
	names := []string{"a", "b", "c"}
	for i := range 12 {
		servers = append(servers, &Server{Site: names[i%3], Listed: 1, Workers: 2, Speed: 1 + float64(i%2), Queue: 40})
	}
	return New(Config{
		Seed: seed, Way: Sites, Gateways: 9, Servers: servers, SiteNames: names, Load: func(time.Duration) float64 { return 0.4 },
		Classes: []Class{{Class: policy.Class{Aim: 250 * time.Millisecond, Deadline: time.Second, Worth: 1}, Part: 1, Work: 40 * time.Millisecond, Spray: 0.5, Hint: 1}},
	})
}

// Gateways crash, stand still, are cut off from one another and lose messages, while all
// servers go on. No site is ever given up; no member takes a table that is older than the one
// it has; at the end all have one table of one holder again, by which nothing is refused.
func TestScheduleOfFaults(t *testing.T) {
	for seed := *from; seed < *from+uint64(*schedules); seed++ {
		l := threeSites(seed)
		l.Play(8 * time.Second)
		lasts := 30 * time.Second
		type at struct {
			life  *gateway
			table weights.Number
		}
		had := make([]at, len(l.Nodes))
		look := func() {
			for i := range l.Nodes {
				s := l.Status(i)
				for _, site := range s.Sites {
					if site.State == sites.Lost || site.State == sites.Returning {
						t.Fatalf("seed %d, %v: site %s is %v at gateway %d, and all is there", seed, l.Now, site.Name, site.State, i)
					}
				}
				if had[i].life == l.order[i] && s.Table.Less(had[i].table) {
					t.Fatalf("seed %d, %v: gateway %d has table %v after %v", seed, l.Now, i, s.Table, had[i].table)
				}
				had[i] = at{l.order[i], s.Table}
			}
		}
		faults := gateways.Draw(l.World, lasts)
		for len(faults) > 0 {
			l.Play(200 * time.Millisecond)
			for len(faults) > 0 && faults[0].At+8*time.Second <= l.Now {
				faults[0].Do(l.World)
				faults = faults[1:]
			}
			look()
		}
		l.Drop, l.Duplicate, l.Cut = 0, 0, map[[2]int]bool{}
		l.Delay = func() time.Duration { return time.Millisecond }
		for _, n := range l.Nodes {
			if !n.Up {
				l.Start(n)
			}
		}
		for range 70 { // those that stand still go on in that time
			l.Play(time.Second)
			look()
		}
		tables := map[string]bool{}
		for i := range l.Nodes {
			s := l.Status(i)
			tables[fmt.Sprint(s.Holder, s.Stale, s.Table)] = true
		}
		if len(tables) > 2 { // the next one may be on its way
			t.Errorf("seed %d: afterwards %v", seed, tables)
		}
		for i := range l.Nodes {
			if s := l.Status(i); s.Stale || s.Holder == "" {
				t.Errorf("seed %d: gateway %d has no fresh table: %+v", seed, i, s)
			}
		}
	}
}

// A site that is lost with its gateways is given up by all within ten seconds, whoever held the
// duty, met by next to nobody, and whole again after it returns, with no cold server pushed over.
func TestSiteLost(t *testing.T) {
	for seed := range uint64(3) {
		l := threeSites(seed + 1)
		l.Play(10 * time.Second)
		l.SetSite("b", true)
		l.Play(10 * time.Second)
		if met := l.Met("b"); met > 0.3 {
			t.Errorf("seed %d: %.2f of the others meet the lost site", seed, met)
		}
		l.SetSite("b", false)
		l.Play(40 * time.Second)
		for i := range l.Nodes {
			for _, s := range l.Status(i).Sites {
				if s.State != sites.Whole || s.Part < 1 {
					t.Errorf("seed %d: at gateway %d site %s is %v, %.2f of it met", seed, i, s.Name, s.State, s.Part)
				}
			}
		}
		if l.Falls > 0 {
			t.Errorf("seed %d: %d cold servers fell", seed, l.Falls)
		}
		if lost := l.Tally.Asked - l.Tally.Good - l.Tally.Late - l.Tally.Refused - l.Tally.Failed; lost > 100 {
			t.Errorf("seed %d: %d of %d requests have no answer", seed, lost, l.Tally.Asked)
		}
	}
}
