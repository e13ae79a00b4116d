package hardware

import (
	"fmt"
	"slices"
	"time"

	"spokegw/internal/lab/gateways"
)

const (
	drains    = 3 * time.Second // of an endpoint that is replaced
	siteFault = 12 * time.Second
)

// Draw makes a schedule for a fleet that has not been played yet: all that package gateways
// has happen between gateways, and sites that are lost with theirs and return, releases of
// endpoints, and load that moves.
func (l *Lab) Draw(lasts time.Duration) []gateways.Fault {
	all := gateways.Draw(l.World, lasts)
	add := func(at time.Duration, is string, do func()) {
		all = append(all, gateways.Fault{At: at, Is: is, Do: func(*gateways.World) { do() }})
	}
	for at := time.Duration(l.Rand.Int64N(int64(siteFault))); len(l.SiteNames) > 0 && at < lasts; at += siteFault + time.Duration(l.Rand.Int64N(int64(3*siteFault))) {
		site := l.SiteNames[l.Rand.IntN(len(l.SiteNames))]
		for_ := siteFault/3 + time.Duration(l.Rand.Int64N(int64(siteFault/2)))
		add(at, fmt.Sprintf("site %s is lost for %v", site, for_), func() { l.SetSite(site, true) })
		add(at+for_, fmt.Sprintf("site %s is back", site), func() { l.SetSite(site, false) })
	}
	for at := time.Duration(l.Rand.Int64N(int64(lasts))); at < lasts; at += time.Duration(l.Rand.Int64N(int64(lasts))) {
		first, each := l.Rand.IntN(len(l.Servers)), time.Duration(l.Rand.Int64N(int64(2*time.Second)))
		for n := range len(l.Servers) / 3 {
			i := (first + n) % len(l.Servers)
			add(at+time.Duration(n)*each, fmt.Sprintf("endpoint %d is replaced", i), func() { l.Replace(i) })
		}
	}
	for at := time.Duration(0); at < lasts; at += time.Duration(l.Rand.Int64N(int64(lasts / 2))) {
		load := 0.1 + 0.7*l.Rand.Float64()
		add(at, fmt.Sprintf("load is %.2f", load), func() { l.Load = func(time.Duration) float64 { return load } })
	}
	slices.SortStableFunc(all, func(a, b gateways.Fault) int { return int(a.At - b.At) })
	return all
}

// Replace has an endpoint drain, of which gateways hear within a second, and then be a new
// process, cold.
func (l *Lab) Replace(i int) {
	s := l.Servers[i]
	if s.dead || s.leaving {
		return
	}
	s.leaving = true
	l.tell(i)
	life := s.life
	l.After(drains, func() {
		s.leaving = false
		if s.life == life { // its site was not lost meanwhile
			l.begin(i)
		}
	})
}

// tell has all gateways hear of an endpoint within a second.
func (l *Lab) tell(i int) {
	for _, g := range l.order {
		l.After(time.Duration(l.Rand.Int64N(int64(time.Second))), func() { g.relist(i) })
	}
}
