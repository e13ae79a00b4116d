package sites

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

var schedules = flag.Int("schedules", 200, "number of schedules without a loss to run")

// world simulates observations of endpoints by gateways of several sites.
type world struct {
	detector  *Detector
	now       time.Duration
	sites     []string
	gateways  []string // g0 is in the first site, g1 in the second, and so on in turn
	endpoints int      // per site
	attempts  int      // attempts of each gateway at each endpoint in a period
	// served reports whether an attempt is served.
	served  func(gateway, site, endpoint int) bool
	ready   map[string]int
	changes []string // changes of state
}

func newWorld(sites, gateways, endpoints int) *world {
	w := &world{endpoints: endpoints, attempts: 1, served: func(int, int, int) bool { return true }, ready: map[string]int{}}
	home := map[string]string{}
	for i := range sites {
		w.sites = append(w.sites, fmt.Sprint("s", i))
		w.ready[w.sites[i]] = endpoints
	}
	for i := range gateways {
		w.gateways = append(w.gateways, fmt.Sprint("g", i))
		home[w.gateways[i]] = w.sites[i%sites]
	}
	w.detector = NewDetector(0, home, nil)
	return w
}

// period simulates one period without the reports of silent gateways.
func (w *world) period(silent func(gateway int) bool) {
	for g, name := range w.gateways {
		if silent != nil && silent(g) {
			continue
		}
		for s, site := range w.sites {
			if w.detector.State(site) == Lost && g > 1 { // only a few gateways probe
				continue
			}
			for e := range w.endpoints {
				if w.served(g, s, e) {
					w.detector.Observe(name, site, uint64(s*100+e), float64(w.attempts), 0)
				} else {
					w.detector.Observe(name, site, uint64(s*100+e), 0, float64(w.attempts))
				}
			}
		}
	}
	w.now += time.Second
	for _, c := range w.detector.Step(w.now, w.ready, nil) {
		w.changes = append(w.changes, fmt.Sprintf("%v %s %v", w.now, c.Site, c.To))
	}
}

func (w *world) play(periods int, served func(g, s, e int) bool, silent func(g int) bool) {
	w.served = served
	for range periods {
		w.period(silent)
	}
}

func all(int, int, int) bool { return true }

// Failures that are not the loss of a site must never be taken for one, however long they last.
func TestNoLoss(t *testing.T) {
	for name, served := range map[string]func(g, s, e int) bool{
		"one bad endpoint":                  func(_, s, e int) bool { return s != 1 || e != 0 },
		"half of a site's endpoints":        func(_, s, e int) bool { return s != 1 || e%2 > 0 },
		"one gateway's link to a site":      func(g, s, _ int) bool { return s != 1 || g != 0 },
		"one gateway reaches no other site": func(g, s, _ int) bool { return g != 0 || s == 0 },
		"a site reaches no other site":      func(g, s, _ int) bool { return g%3 != 1 || s == 1 },
		"nobody reaches anything":           func(int, int, int) bool { return false },
		"a third of attempts fail":          func(g, s, e int) bool { return (g*7+s*3+e)%3 > 0 },
		"two of six see a site gone":        func(g, s, _ int) bool { return s != 1 || g != 0 && g != 2 },
		"each site reaches only itself":     func(g, s, _ int) bool { return g%3 == s },
		"a site is reached from within":     nil,
	} {
		w := newWorld(3, 9, 6)
		if served == nil {
			served = func(g, s, e int) bool { return true }
		}
		w.play(60, served, nil)
		for _, s := range w.sites {
			if state := w.detector.State(s); state >= Lost {
				t.Errorf("%s: %s is %v: %v", name, s, state, w.changes)
			}
		}
	}
	w := newWorld(3, 9, 6) // a release replaces one endpoint after the other
	for step := range 30 {
		w.play(1, func(_, s, e int) bool { return s != 1 || e != step%6 }, nil)
	}
	w.ready["s2"] = 0 // and a list in which a site has no endpoints any more
	w.play(10, func(_, s, _ int) bool { return s != 2 }, nil)
	if len(w.detector.sites) != 3 || w.detector.State("s1") >= Lost || w.detector.State("s2") >= Lost {
		t.Errorf("a release, and an empty list: %v", w.changes)
	}
}

// Nor must there be a loss if few gateways send to a site: a single one, some that no other site
// serves, or a few that use other endpoints than most do.
func TestNoLossByFewObservers(t *testing.T) {
	for name, c := range map[string]struct {
		tries  func(g, s, e int) bool // whether a gateway sends to an endpoint
		served func(g, s, e int) bool
	}{
		"one that sees it gone": {func(g, s, _ int) bool { return s != 1 || g == 0 }, func(_, s, _ int) bool { return s != 1 }},
		"some that no other site serves": {
			func(g, s, _ int) bool { return s != 1 || g < 3 && g != 1 }, func(g, s, _ int) bool { return s != 1 && g > 2 },
		},
		"two at nine endpoints, and four at the one that serves": {
			func(g, s, e int) bool { return s != 1 || (g < 3) == (e > 0) }, func(_, s, e int) bool { return s != 1 || e == 0 },
		},
	} {
		w := newWorld(3, 9, 10)
		for range 20 {
			for g, gateway := range w.gateways {
				for s, site := range w.sites {
					for e := range w.endpoints {
						switch {
						case !c.tries(g, s, e):
						case c.served(g, s, e):
							w.detector.Observe(gateway, site, uint64(s*100+e), 4, 0)
						default:
							w.detector.Observe(gateway, site, uint64(s*100+e), 0, 4)
						}
					}
				}
			}
			w.now += time.Second
			w.detector.Step(w.now, w.ready, nil)
		}
		if state := w.detector.State("s1"); state == Lost {
			t.Errorf("%s: it is %v", name, state)
		}
	}
}

// A lost site must be detected within three periods, with or without the loss of its gateways,
// and also if these still reach its endpoints from within.
func TestLoss(t *testing.T) {
	for name, c := range map[string]struct {
		served func(g, s, e int) bool
		silent func(g int) bool
	}{
		"with its gateways":        {func(_, s, _ int) bool { return s != 1 }, func(g int) bool { return g%3 == 1 }},
		"without its gateways":     {func(_, s, _ int) bool { return s != 1 }, nil},
		"cut off but alive":        {func(g, s, _ int) bool { return s != 1 || g%3 == 1 }, nil},
		"one endpoint still there": {func(_, s, e int) bool { return s != 1 || e == 0 }, nil},
	} {
		w := newWorld(3, 9, 6)
		w.play(5, all, nil)
		w.play(3, c.served, c.silent)
		if w.detector.State("s1") != Lost || w.detector.Fraction("s1") != 0 || w.detector.State("s0") != Healthy || w.detector.State("s2") != Healthy {
			t.Errorf("%s: %v", name, w.changes)
		}
	}
	w := newWorld(2, 6, 4) // with two sites
	w.play(5, all, nil)
	if w.play(3, func(_, s, _ int) bool { return s != 1 }, func(g int) bool { return g%2 == 1 }); w.detector.State("s1") != Lost {
		t.Errorf("with two sites: %v", w.changes)
	}
}

// A site must return in steps for the whole fleet, and be lost again if it fails; one that flaps
// must wait twice as long each time, up to a minute.
func TestReturn(t *testing.T) {
	w := newWorld(3, 9, 6)
	gone := func(_, s, _ int) bool { return s != 1 }
	w.play(3, gone, nil)
	last, waits := 0.0, []time.Duration{}
	for flap := range 8 {
		lost := w.now
		for w.detector.State("s1") == Lost {
			if w.play(1, all, nil); w.now-lost > 2*maxReturnWait {
				t.Fatalf("it never returns: %v", w.changes)
			}
		}
		waits = append(waits, w.now-lost)
		last = 0
		for w.detector.State("s1") == Returning && (flap == 7 || w.detector.Fraction("s1") < 0.5) {
			fraction := w.detector.Fraction("s1")
			if fraction < last || fraction > max(1.5*last, last+minFractionStep)+1e-9 {
				t.Fatalf("the fraction goes from %.2f to %.2f", last, fraction)
			}
			last = fraction
			w.play(1, all, nil)
		}
		if flap < 7 {
			w.play(3, gone, nil)
			if w.detector.State("s1") != Lost {
				t.Fatalf("it fails while it returns, and is %v", w.detector.State("s1"))
			}
		}
	}
	if w.detector.State("s1") != Healthy || w.detector.Fraction("s1") != 1 {
		t.Errorf("it ends up %v", w.detector.State("s1"))
	}
	for i := 1; i < len(waits); i++ {
		if waits[i] < waits[i-1] || waits[i] > maxReturnWait+5*time.Second {
			t.Errorf("waits of %v", waits)
		}
	}
	if waits[5] < 30*time.Second {
		t.Errorf("after six losses it waits %v", waits[5])
	}
	w.play(70, all, nil) // healthy for a minute
	w.play(3, gone, nil)
	if at := w.detector.sites["s1"]; at.state != Lost || at.wait != minReturnWait {
		t.Errorf("after a quiet minute: %v, waits %v", at.state, at.wait)
	}
}

// Covers a second site lost while the first returns, recovery of only one of two lost sites, the
// loss of all, and a returning site with some failures.
func TestUnusualReturns(t *testing.T) {
	w := newWorld(4, 12, 6)
	w.play(3, func(_, s, _ int) bool { return s != 1 }, nil)
	w.play(6, all, nil)
	if w.detector.State("s1") != Returning {
		t.Fatalf("%v", w.changes)
	}
	w.play(3, func(_, s, _ int) bool { return s != 2 }, nil)
	if w.detector.State("s2") != Lost || w.detector.State("s1") == Lost {
		t.Errorf("a second lost site: %v", w.changes)
	}
	w = newWorld(3, 9, 6)
	w.play(3, func(_, s, _ int) bool { return s == 0 }, nil)
	w.play(20, func(_, s, _ int) bool { return s != 2 }, nil)
	if w.detector.State("s1") != Healthy || w.detector.State("s2") != Lost {
		t.Errorf("one of two lost sites recovers: %v", w.changes)
	}
	w = newWorld(3, 9, 6)
	w.play(10, func(int, int, int) bool { return false }, nil)
	for _, s := range w.sites {
		if w.detector.State(s) == Lost {
			t.Errorf("all sites were gone at once, and %s is marked lost with no other left", s)
		}
	}
	w = newWorld(3, 9, 6)
	w.play(3, func(_, s, _ int) bool { return s != 1 }, nil)
	for w.detector.State("s1") == Lost {
		w.play(1, all, nil)
	}
	w.play(4, all, nil)
	before := w.detector.Fraction("s1")
	w.play(2, func(g, s, e int) bool { return s != 1 || (g+e)%5 > 1 }, nil)
	if after := w.detector.Fraction("s1"); after >= before {
		t.Errorf("two in five fail, and the fraction goes from %.2f to %.2f", before, after)
	}
}

// Schedules without the loss of a site must not mark any as lost: gateways with bad links, bad
// endpoints, releases, and gateways cut off from all others.
func TestFalseLosses(t *testing.T) {
	lost := 0
	for seed := range uint64(*schedules) {
		r := rand.New(rand.NewPCG(seed, 1))
		w := newWorld(2+r.IntN(5), 4+r.IntN(20), 2+r.IntN(12))
		w.attempts = 1 + r.IntN(3)
		for range 15 {
			badGateway, badSite := r.IntN(len(w.gateways)), r.IntN(len(w.sites))
			bad := map[[2]int]bool{}
			for range r.IntN(w.endpoints*len(w.sites)/2 + 1) { // at most six in ten of each site
				s := r.IntN(len(w.sites))
				n := 0
				for e := range w.endpoints {
					if bad[[2]int{s, e}] {
						n++
					}
				}
				if 10*(n+1) <= 6*w.endpoints {
					bad[[2]int{s, r.IntN(w.endpoints)}] = true
				}
			}
			cut, noise := r.IntN(3) == 0, 0.2*r.Float64()
			w.play(1+r.IntN(4), func(g, s, e int) bool {
				if bad[[2]int{s, e}] || g == badGateway && (s == badSite || cut && s != g%len(w.sites)) {
					return false
				}
				return r.Float64() >= noise
			}, nil)
		}
		if slices.ContainsFunc(w.changes, func(c string) bool { return strings.HasSuffix(c, "lost") }) {
			if lost++; lost < 4 {
				t.Errorf("seed %d, %d sites, %d gateways, %d endpoints: %v", seed, len(w.sites), len(w.gateways), w.endpoints, w.changes)
			}
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d schedules have a false loss", lost, *schedules)
	}
}
