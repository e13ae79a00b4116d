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

var schedules = flag.Int("schedules", 200, "schedules without a loss to be played")

// world is what gateways of some sites see of endpoints of some sites, for tests.
type world struct {
	judge     *Detector
	now       time.Duration
	sites     []string
	gateways  []string // g0 is of the first site, g1 of the second, and so on round
	endpoints int      // of each site
	tries     int      // of each gateway at each endpoint in a period
	// served reports whether an attempt is.
	served func(gateway, site, endpoint int) bool
	ready  map[string]int
	told   []string // changes
}

func newWorld(sites, gateways, endpoints int) *world {
	w := &world{endpoints: endpoints, tries: 1, served: func(int, int, int) bool { return true }, ready: map[string]int{}}
	home := map[string]string{}
	for i := range sites {
		w.sites = append(w.sites, fmt.Sprint("s", i))
		w.ready[w.sites[i]] = endpoints
	}
	for i := range gateways {
		w.gateways = append(w.gateways, fmt.Sprint("g", i))
		home[w.gateways[i]] = w.sites[i%sites]
	}
	w.judge = NewDetector(0, home, nil)
	return w
}

// period plays one; gateways of a site that tell nothing are left out.
func (w *world) period(silent func(gateway int) bool) {
	for g, name := range w.gateways {
		if silent != nil && silent(g) {
			continue
		}
		for s, site := range w.sites {
			if w.judge.State(site) == Lost && g > 1 { // few look
				continue
			}
			for e := range w.endpoints {
				if w.served(g, s, e) {
					w.judge.Observe(name, site, uint64(s*100+e), float64(w.tries), 0)
				} else {
					w.judge.Observe(name, site, uint64(s*100+e), 0, float64(w.tries))
				}
			}
		}
	}
	w.now += time.Second
	for _, c := range w.judge.Step(w.now, w.ready, nil) {
		w.told = append(w.told, fmt.Sprintf("%v %s %v", w.now, c.Site, c.To))
	}
}

func (w *world) play(periods int, served func(g, s, e int) bool, silent func(g int) bool) {
	w.served = served
	for range periods {
		w.period(silent)
	}
}

func all(int, int, int) bool { return true }

// What is no loss is none, however long it stands.
func TestNoLoss(t *testing.T) {
	for name, served := range map[string]func(g, s, e int) bool{
		"one bad endpoint":              func(_, s, e int) bool { return s != 1 || e != 0 },
		"half of a site's endpoints":    func(_, s, e int) bool { return s != 1 || e%2 > 0 },
		"one gateway's link to a site":  func(g, s, _ int) bool { return s != 1 || g != 0 },
		"one gateway sees nobody else":  func(g, s, _ int) bool { return g != 0 || s == 0 },
		"a site sees nobody else":       func(g, s, _ int) bool { return g%3 != 1 || s == 1 },
		"nobody reaches anything":       func(int, int, int) bool { return false },
		"a third of attempts get lost":  func(g, s, e int) bool { return (g*7+s*3+e)%3 > 0 },
		"two of six see a site gone":    func(g, s, _ int) bool { return s != 1 || g != 0 && g != 2 },
		"each site sees itself alone":   func(g, s, _ int) bool { return g%3 == s },
		"a site is reached from within": nil,
	} {
		w := newWorld(3, 9, 6)
		if served == nil {
			served = func(g, s, e int) bool { return true }
		}
		w.play(60, served, nil)
		for _, s := range w.sites {
			if state := w.judge.State(s); state >= Lost {
				t.Errorf("%s: %s is %v: %v", name, s, state, w.told)
			}
		}
	}
	w := newWorld(3, 9, 6) // a release replaces one endpoint after the other
	for step := range 30 {
		w.play(1, func(_, s, e int) bool { return s != 1 || e != step%6 }, nil)
	}
	w.ready["s2"] = 0 // and a list in which a site has none any more
	w.play(10, func(_, s, _ int) bool { return s != 2 }, nil)
	if len(w.judge.sites) != 3 || w.judge.State("s1") >= Lost || w.judge.State("s2") >= Lost {
		t.Errorf("a release, and an empty list: %v", w.told)
	}
}

// Nor is it a loss where few gateways meet a site: one alone, some that are served nowhere
// else, or a few that meet other endpoints than most.
func TestNoLossByFew(t *testing.T) {
	for name, c := range map[string]struct {
		tries  func(g, s, e int) bool // a gateway makes any
		served func(g, s, e int) bool
	}{
		"one that sees it gone": {func(g, s, _ int) bool { return s != 1 || g == 0 }, func(_, s, _ int) bool { return s != 1 }},
		"some that are served nowhere": {
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
							w.judge.Observe(gateway, site, uint64(s*100+e), 4, 0)
						default:
							w.judge.Observe(gateway, site, uint64(s*100+e), 0, 4)
						}
					}
				}
			}
			w.now += time.Second
			w.judge.Step(w.now, w.ready, nil)
		}
		if state := w.judge.State("s1"); state == Lost {
			t.Errorf("%s: it is %v", name, state)
		}
	}
}

// A site that is gone is given up within three periods, whether or not its gateways go with
// it, and also where they see it alive from within.
func TestLoss(t *testing.T) {
	for name, c := range map[string]struct {
		served func(g, s, e int) bool
		silent func(g int) bool
	}{
		"with its gateways":        {func(_, s, _ int) bool { return s != 1 }, func(g int) bool { return g%3 == 1 }},
		"without them":             {func(_, s, _ int) bool { return s != 1 }, nil},
		"cut off but alive":        {func(g, s, _ int) bool { return s != 1 || g%3 == 1 }, nil},
		"one endpoint still there": {func(_, s, e int) bool { return s != 1 || e == 0 }, nil},
	} {
		w := newWorld(3, 9, 6)
		w.play(5, all, nil)
		w.play(3, c.served, c.silent)
		if w.judge.State("s1") != Lost || w.judge.Fraction("s1") != 0 || w.judge.State("s0") != Healthy || w.judge.State("s2") != Healthy {
			t.Errorf("%s: %v", name, w.told)
		}
	}
	w := newWorld(2, 6, 4) // of two sites
	w.play(5, all, nil)
	if w.play(3, func(_, s, _ int) bool { return s != 1 }, func(g int) bool { return g%2 == 1 }); w.judge.State("s1") != Lost {
		t.Errorf("of two: %v", w.told)
	}
}

// It comes back in steps, for the whole fleet, and is given up again where it fails; one that
// flaps waits twice as long each time, up to a minute.
func TestReturn(t *testing.T) {
	w := newWorld(3, 9, 6)
	gone := func(_, s, _ int) bool { return s != 1 }
	w.play(3, gone, nil)
	last, waits := 0.0, []time.Duration{}
	for flap := range 8 {
		lost := w.now
		for w.judge.State("s1") == Lost {
			if w.play(1, all, nil); w.now-lost > 2*longestWait {
				t.Fatalf("it never returns: %v", w.told)
			}
		}
		waits = append(waits, w.now-lost)
		last = 0
		for w.judge.State("s1") == Returning && (flap == 7 || w.judge.Fraction("s1") < 0.5) {
			part := w.judge.Fraction("s1")
			if part < last || part > max(1.5*last, last+partStep)+1e-9 {
				t.Fatalf("the part goes from %.2f to %.2f", last, part)
			}
			last = part
			w.play(1, all, nil)
		}
		if flap < 7 {
			w.play(3, gone, nil)
			if w.judge.State("s1") != Lost {
				t.Fatalf("it fails while it returns, and is %v", w.judge.State("s1"))
			}
		}
	}
	if w.judge.State("s1") != Healthy || w.judge.Fraction("s1") != 1 {
		t.Errorf("it is %v in the end", w.judge.State("s1"))
	}
	for i := 1; i < len(waits); i++ {
		if waits[i] < waits[i-1] || waits[i] > longestWait+5*time.Second {
			t.Errorf("waits of %v", waits)
		}
	}
	if waits[5] < 30*time.Second {
		t.Errorf("after six losses it waits %v", waits[5])
	}
	w.play(70, all, nil) // whole for a minute
	w.play(3, gone, nil)
	if at := w.judge.sites["s1"]; at.state != Lost || at.wait != firstWait {
		t.Errorf("after a quiet minute: %v, waits %v", at.state, at.wait)
	}
}

// A second site lost while the first returns, another one than the lost one that answers, all
// of them lost, and a part that fails a little.
func TestOddReturns(t *testing.T) {
	w := newWorld(4, 12, 6)
	w.play(3, func(_, s, _ int) bool { return s != 1 }, nil)
	w.play(6, all, nil)
	if w.judge.State("s1") != Returning {
		t.Fatalf("%v", w.told)
	}
	w.play(3, func(_, s, _ int) bool { return s != 2 }, nil)
	if w.judge.State("s2") != Lost || w.judge.State("s1") == Lost {
		t.Errorf("a second one: %v", w.told)
	}
	w = newWorld(3, 9, 6)
	w.play(3, func(_, s, _ int) bool { return s == 0 }, nil)
	w.play(20, func(_, s, _ int) bool { return s != 2 }, nil)
	if w.judge.State("s1") != Healthy || w.judge.State("s2") != Lost {
		t.Errorf("of two that were lost one answers: %v", w.told)
	}
	w = newWorld(3, 9, 6)
	w.play(10, func(int, int, int) bool { return false }, nil)
	for _, s := range w.sites {
		if w.judge.State(s) == Lost {
			t.Errorf("all were gone at once, and %s is given up: there is nowhere to go", s)
		}
	}
	w = newWorld(3, 9, 6)
	w.play(3, func(_, s, _ int) bool { return s != 1 }, nil)
	for w.judge.State("s1") == Lost {
		w.play(1, all, nil)
	}
	w.play(4, all, nil)
	before := w.judge.Fraction("s1")
	w.play(2, func(g, s, e int) bool { return s != 1 || (g+e)%5 > 1 }, nil)
	if after := w.judge.Fraction("s1"); after >= before {
		t.Errorf("two in five fail, and the part goes from %.2f to %.2f", before, after)
	}
}

// In schedules without the loss of a site none is given up: gateways with bad links,
// bad endpoints, releases and cuts of gateways from everybody.
func TestFalseLosses(t *testing.T) {
	lost := 0
	for seed := range uint64(*schedules) {
		r := rand.New(rand.NewPCG(seed, 1))
		w := newWorld(2+r.IntN(5), 4+r.IntN(20), 2+r.IntN(12))
		w.tries = 1 + r.IntN(3)
		for range 15 {
			badGateway, badSite := r.IntN(len(w.gateways)), r.IntN(len(w.sites))
			bad := map[[2]int]bool{}
			for range r.IntN(w.endpoints*len(w.sites)/2 + 1) { // of each site six in ten at most
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
		if slices.ContainsFunc(w.told, func(c string) bool { return strings.HasSuffix(c, "lost") }) {
			if lost++; lost < 4 {
				t.Errorf("seed %d, %d sites, %d gateways, %d endpoints: %v", seed, len(w.sites), len(w.gateways), w.endpoints, w.told)
			}
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d schedules have a loss that is none", lost, *schedules)
	}
}
