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

// threeSites is a fleet of nine gateways before four servers in each of three sites, which can
// do 900 requests a second. quota is of them; 0: there is none.
func threeSites(seed uint64, quota float64) *Lab {
	var servers []*Server
	names := []string{"a", "b", "c"}
	for i := range 12 {
		servers = append(servers, &Server{Site: names[i%3], Listed: 1, Workers: 2, Speed: 1 + float64(i%2), Queue: 40})
	}
	return New(Config{
		Seed: seed, Way: Sites, Quota: quota, Burst: quota / 4, Gateways: 9, Servers: servers, SiteNames: names, Load: func(time.Duration) float64 { return 0.4 },
		Classes: []Class{{Class: policy.Class{Aim: 250 * time.Millisecond, Deadline: time.Second, Worth: 1}, Part: 1, Work: 40 * time.Millisecond, Spray: 0.5, Hint: 1}},
	})
}

// course is a fleet and a schedule that are played, with what may never be: more let in than the
// quota, a site given up that is there, a table that is older than the one before it.
type course struct {
	*Lab
	had  []life
	gone map[string]time.Duration // sites that are lost, or were; until when
}

// life is a gateway's process, and the table that it had last.
type life struct {
	of    *gateway
	table weights.Version
}

// lags is for how long after its return a plan may have a site as lost.
const lags = 45 * time.Second

// look tells what is not as it ought to be.
func (c *course) look() error {
	for i, n := range c.Nodes {
		if !n.Serves() {
			continue
		}
		s := c.Status(i)
		for _, site := range s.Sites {
			if until, was := c.gone[site.Name]; site.State == sites.Lost && !(was && c.Now < until+lags) {
				return fmt.Errorf("%v: site %s is given up at gateway %d, and all is there", c.Now, site.Name, i)
			}
		}
		if c.had[i].of == c.order[i] && s.Table.Less(c.had[i].table) {
			return fmt.Errorf("%v: gateway %d has table %v after %v", c.Now, i, s.Table, c.had[i].table)
		}
		c.had[i] = life{c.order[i], s.Table}
	}
	if over := c.Overshoot(); over > 0 {
		return fmt.Errorf("%v: %.1f requests more than the quota were admitted", c.Now, over)
	}
	return nil
}

// noteGone notes which sites have no endpoint that is there.
func (c *course) noteGone() {
	there := map[string]bool{}
	for _, s := range c.Servers {
		there[s.Site] = there[s.Site] || !s.dead
	}
	for site, any := range there {
		if !any {
			c.gone[site] = c.Now
		}
	}
}

// run plays on, and looks all the time.
func (c *course) run(lasts time.Duration) error {
	for end := c.Now + lasts; c.Now < end; {
		if err := c.Play(min(200*time.Millisecond, end-c.Now)); err != nil {
			return err
		}
		if err := c.look(); err != nil {
			return err
		}
	}
	return nil
}

const warmUp = 8 * time.Second

// play plays faults, heals all, and looks whether all is as before.
func (c *course) play(faults []gateways.Fault) error {
	if err := c.run(warmUp); err != nil {
		return err
	}
	for _, f := range faults {
		if err := c.run(f.At + warmUp - c.Now); err != nil {
			return err
		}
		f.Do(c.World)
		c.noteGone()
	}
	c.Drop, c.Duplicate, c.Cut = 0, 0, map[[2]int]bool{}
	c.Delay = func() time.Duration { return time.Millisecond }
	c.Load = func(time.Duration) float64 { return 0.75 } // more than the quota
	for _, n := range c.Nodes {
		if !n.Up {
			c.Start(n)
		}
	}
	if err := c.run(80 * time.Second); err != nil { // those that stand still go on in that time
		return err
	}
	tables := map[string]bool{}
	for i := range c.Nodes {
		s := c.Status(i)
		tables[fmt.Sprint(s.Leader, s.Stale, s.Table)] = true
		if s.Stale || s.Leader == "" {
			return fmt.Errorf("afterwards gateway %d has no fresh table: %+v", i, s)
		}
		for _, site := range s.Sites {
			if site.State != sites.Healthy || site.Fraction < 1 {
				return fmt.Errorf("afterwards gateway %d has site %s as %v, and %.2f of it is met", i, site.Name, site.State, site.Fraction)
			}
		}
	}
	if len(tables) > 2 { // the next one may be on its way
		return fmt.Errorf("afterwards %v", tables)
	}
	c.Tally = Tally{}
	if err := c.run(10 * time.Second); err != nil {
		return err
	}
	in := float64(c.Tally.Asked-c.Tally.OverQuota) / (10 * c.Quota)
	if in < 0.92 { // arrivals are at random
		return fmt.Errorf("afterwards %.2f of the quota is used, with %d of %d over it", in, c.Tally.OverQuota, c.Tally.Asked)
	}
	if bad := c.Tally.Refused + c.Tally.Failed; bad > c.Tally.Asked/50 {
		return fmt.Errorf("afterwards %d of %d are refused or failed", bad, c.Tally.Asked)
	}
	return nil
}

// courseOf is the fleet of a seed with quota, weights and sites in force, and its schedule.
func courseOf(seed uint64, lasts time.Duration) (*course, []gateways.Fault) {
	l := threeSites(seed, 540)
	return &course{Lab: l, had: make([]life, len(l.Nodes)), gone: map[string]time.Duration{}}, l.Draw(lasts)
}

// All three are in force while gateways crash, stand still, are cut off from one another and lose
// messages, sites are lost and return, endpoints are replaced and load moves. In no span is more let
// in than the quota; no site is given up that is there; no member takes an older table; and
// afterwards all is as before.
func TestSchedulesOfAllThree(t *testing.T) {
	const lasts = 60 * time.Second
	var falls, asked, failed, over int
	for seed := *from; seed < *from+uint64(*schedules); seed++ {
		c, faults := courseOf(seed, lasts)
		err := c.play(faults)
		falls, asked, failed, over = falls+c.Falls, asked+c.Tally.Asked, failed+c.Tally.Failed, over+c.Tally.OverQuota
		if err == nil {
			continue
		}
		if c, _ := courseOf(seed, lasts); c.play(nil) != nil {
			t.Fatalf("seed %d, also with no fault: %v", seed, err)
		}
		needed := gateways.Shrink(len(faults), func(kept func(int) bool) bool {
			c, faults := courseOf(seed, lasts)
			return c.play(gateways.Kept(faults, kept)) != nil
		})
		t.Fatalf("seed %d: %v\nof %d faults these are needed:\n%s", seed, err, len(faults), gateways.Text(faults, needed))
	}
	t.Logf("%d schedules, %d cold servers fell", *schedules, falls)
}

// A site that is lost with its gateways is given up by all within ten seconds, whoever held the
// duty, met by next to nobody, and whole again after it returns, with no cold server pushed over.
func TestSiteLost(t *testing.T) {
	for seed := range uint64(3) {
		l := threeSites(seed+1, 0)
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
				if s.State != sites.Healthy || s.Fraction < 1 {
					t.Errorf("seed %d: at gateway %d site %s is %v, %.2f of it met", seed, i, s.Name, s.State, s.Fraction)
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
