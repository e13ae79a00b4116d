package hardware

import (
	"math"
	"time"

	"spokegw/internal/fleet/coordination"
	"spokegw/internal/fleet/sites"
	"spokegw/internal/fleet/weights"
	"spokegw/policy"
)

const (
	coldTime    = 20 * time.Second // a server that has started is warm after this, and
	coldLeast   = 0.15             // has so much of its capacity at first
	unconnected = 50 * time.Millisecond
	breakAfter  = 3 // attempts that fail in a row, after which a Breaker gives a site up
	breakFor    = 5 * time.Second
)

// layout is the fleet's sites: gateways are in them in turn.
func (l *Lab) layout(names []string) *coordination.Sites {
	if l.Way < Sites || len(l.SiteNames) == 0 {
		return nil
	}
	s := &coordination.Sites{Settings: sites.DefaultSettings, Home: map[string]string{}, Near: map[string][]string{}}
	for i, name := range names {
		s.Home[name] = l.SiteNames[i%len(l.SiteNames)]
	}
	return s
}

// SetSite has a site be lost, with its gateways, or come back, cold.
func (l *Lab) SetSite(name string, lost bool) {
	for i, s := range l.Servers {
		if s.Site != name {
			continue
		}
		s.dead = lost
		s.busy, s.waiting, s.life = 0, nil, s.life+1
		if !lost {
			l.begin(i)
		}
	}
	for i, n := range l.Nodes {
		switch home := l.SiteNames[i%len(l.SiteNames)]; {
		case home != name:
		case lost:
			l.Crash(n)
		default:
			l.Start(n)
		}
	}
}

// begin has a server be a new process, of which gateways hear within a second.
func (l *Lab) begin(i int) {
	l.Servers[i].started = l.Now
	l.ids[i] = weights.NewID("", l.names[i], l.Now)
	l.tell(i)
}

// relist tells the decision module of a server that has started, or that the plan has turned.
func (g *gateway) relist(i int) {
	l := g.lab
	if l.gateways[g.name] != g {
		return
	}
	e := policy.Endpoint{ID: policy.EndpointID(i), Kind: l.Servers[i].Kind, NominalSize: l.Servers[i].Listed, Started: l.Servers[i].started}
	if l.Way == Breaker {
		e.Started = 0 // what is back is back
	}
	if g.avoided[i] || l.Servers[i].leaving {
		e.Readiness = policy.Draining
	}
	g.sums[i].ID = l.ids[i]
	g.carryOut(g.balancer.Endpoints(l.Now, []policy.Endpoint{e}, false))
}

// applyPlan has the decision module send to the endpoints that the plan routes to, and to no others.
func (g *gateway) applyPlan(now time.Duration) {
	l := g.lab
	if g.enforcer = g.node.Enforcer(now); g.enforcer == nil {
		return
	}
	for i, s := range l.Servers {
		if avoided := !g.enforcer.RoutesTo(s.Site, uint64(l.ids[i])); avoided != g.avoided[i] {
			g.avoided[i] = avoided
			g.relist(i)
		}
	}
}

// broken is a Breaker's rule: a site at which attempts fail in a row gets nothing for a time.
func (g *gateway) broken(at int, r policy.Result) {
	l := g.lab
	site := l.Servers[at].Site
	if r == policy.Served {
		g.fails[site] = 0
	} else if r != policy.Cancelled {
		g.fails[site]++
	}
	if l.Way != Breaker || g.fails[site] < breakAfter {
		return
	}
	g.fails[site] = 0
	for i, s := range l.Servers {
		if s.Site != site || g.avoided[i] {
			continue
		}
		g.avoided[i] = true
		g.relist(i)
		l.After(breakFor, func() {
			g.avoided[i] = false
			g.relist(i)
		})
	}
}

// warmth is the part of its capacity that a server has.
func (s *Server) warmth(now time.Duration) float64 {
	if s.started == 0 || now-s.started >= coldTime {
		return 1
	}
	return coldLeast + (1-coldLeast)*(now-s.started).Seconds()/coldTime.Seconds()
}

// fall counts what a cold server is sent in a second, and has it fall over where that is too
// much: more than N + 2 root N + 2 requests of mean work, N being what it can do.
func (l *Lab) fall(i int) {
	s := l.Servers[i]
	if s.started == 0 || l.Now-s.started >= coldTime {
		return
	}
	if second := l.Now / time.Second; second != s.second {
		s.second, s.got = second, 0
	}
	s.got++
	can := float64(s.Workers) * s.Speed * s.warmth(l.Now) / l.meanWork()
	if float64(s.got) > can+2*math.Sqrt(can)+2 {
		l.Falls++
		s.dead, s.got = true, 0
		s.busy, s.waiting, s.life = 0, nil, s.life+1
		life := s.life
		l.After(2*time.Second, func() {
			if s.life == life {
				s.dead = false
				l.begin(i)
			}
		})
	}
}

func (l *Lab) meanWork() (mean float64) {
	for _, c := range l.Classes {
		mean += c.Part * c.Work.Seconds()
	}
	return mean
}

// Admission returns the IDs that count requests at the gateways' admission, and the worth of classes.
func (g *gateway) Admission() (map[weights.ID]bool, map[weights.Class]float64) {
	worth := map[weights.Class]float64{}
	for i, c := range g.lab.Classes {
		worth[weights.Class(i)] = c.Worth
	}
	return map[weights.ID]bool{weights.AdmissionID(""): true}, worth
}

// Met is the part of the gateways that go on which meet an endpoint of a site, by the mean.
func (l *Lab) Met(site string) float64 {
	met, all := 0.0, 0.0
	for _, g := range l.order {
		if l.gateways[g.name] != g || !l.up(g) {
			continue
		}
		for i, s := range l.Servers {
			if s.Site == site {
				if all++; !g.avoided[i] {
					met++
				}
			}
		}
	}
	return met / math.Max(all, 1)
}

func (l *Lab) up(g *gateway) bool {
	for i, o := range l.order {
		if o == g {
			return l.Nodes[i].Up
		}
	}
	return false
}
