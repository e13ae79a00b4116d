package quota_test

import (
	"flag"
	"testing"
	"time"

	"spokegw/internal/fleet/quota"
	"spokegw/internal/lab/gateways"
)

var (
	schedules = flag.Int("schedules", 60, "number of fault schedules to run")
	large     = flag.Uint64("large", 0, "one in this many schedules has a large fleet; 0: none")
	from      = flag.Uint64("from", 1, "seed of the first schedule")
)

// worldOf returns the fleet of a seed, and its fault schedule.
func worldOf(seed uint64, lasts time.Duration) (*gateways.World, []gateways.Fault) {
	set := testSettings
	if seed%3 == 1 {
		set = quota.Settings{Lease: 500 * time.Millisecond, Period: 50 * time.Millisecond, Drift: 0.01}
	}
	partners, each := 2+int(seed%3), 1+int(seed/3%4)
	if *large > 0 && seed%*large == 0 { // 3 to 8 partners, 10 to 500 gateways
		partners = 3 + int(seed / *large % 6)
		each = []int{4, 12, 30, 60}[seed / *large % 4]
	}
	w := gateways.New(seed, set, partners, each, gateways.Leases)
	for _, n := range w.Nodes {
		n.Demand = quota.PartOf(w.Rand.Float64())
	}
	return w, gateways.Draw(w, lasts)
}

// playSchedule plays faults and then heals all. It returns the fraction of usable quota that is
// used afterwards.
func playSchedule(w *gateways.World, faults []gateways.Fault) (share float64, err error) {
	if err := w.Play(faults); err != nil {
		return 0, err
	}
	w.Drop, w.Duplicate, w.Cut = 0, 0, map[[2]int]bool{}
	w.Delay = func() time.Duration { return time.Millisecond }
	for _, n := range w.Nodes {
		if !n.Up {
			w.Start(n)
		}
	}
	if err := w.Run(w.Now + time.Minute); err != nil { // stalled gateways continue during this time
		return 0, err
	}
	w.Nodes[0].Demand = quota.Whole
	if err := w.Run(w.Now + 5*time.Second); err != nil {
		return 0, err
	}
	return w.Share(5 * time.Second)
}

// Under any fault schedule all together must never admit more than the quota, and once the faults
// end the quota must be used again.
func TestSchedules(t *testing.T) {
	const lasts = 40 * time.Second
	minShare := 1.0
	for seed := *from; seed < *from+uint64(*schedules); seed++ {
		w, faults := worldOf(seed, lasts)
		share, err := playSchedule(w, faults)
		if err != nil {
			t.Fatalf("seed %d:\n%sthen: %v\n%v", seed, shrink(seed, lasts), gateways.ErrOver, err)
		}
		if minShare = min(minShare, share); share < 0.95 {
			t.Errorf("seed %d: %.3f of the usable quota is used afterwards", seed, share)
		}
	}
	t.Logf("%d schedules, minimum use afterwards %.3f", *schedules, minShare)
}

// shrink returns the shortest part of a schedule that still fails.
func shrink(seed uint64, lasts time.Duration) string {
	_, all := worldOf(seed, lasts)
	return gateways.Text(all, gateways.Shrink(len(all), func(kept func(int) bool) bool {
		w, faults := worldOf(seed, lasts)
		_, err := playSchedule(w, gateways.Kept(faults, kept))
		return err != nil
	}))
}
