package coordination

import (
	"math"
	"time"

	"spokegw/internal/fleet/sites"
	"spokegw/internal/fleet/weights"
)

// Sites are the fleet's sites, as the operator's file has them.
type Sites struct {
	sites.Settings
	Home map[string]string   // of gateways
	Near map[string][]string // of a site, the nearest of the others first
}

// far is how far two sites are apart: the place in the file's order.
func (s *Sites) far(from, to string) float64 {
	if from == to {
		return 0
	}
	near := s.Near[from]
	for i, name := range near {
		if name == to {
			return float64(i + 1)
		}
	}
	return float64(len(near) + 1)
}

// planner makes plans for sites of what the holder of the duty is told. It is a
// weights.Planner.
type planner struct {
	*sites.Planner
	sight Observer
	log   func(sites.Change)
	at    map[weights.ID]string // sites of endpoints
	doors map[weights.ID]bool
	worth map[weights.Class]float64
}

func (n *Node) newPlanner(now time.Duration, before []byte) weights.Planner {
	plan, _ := sites.Parse(before) // as it was checked
	n.planner = &planner{Planner: sites.NewPlanner(now, n.sites.Settings, n.sites.Home, n.sites.far, plan), sight: n.sight, log: n.changed}
	return n.planner
}

// Observe takes what a gateway saw.
func (p *planner) Observe(gateway string, seen []weights.Stats, standard func(weights.Class, bool) float64) {
	for i := range seen {
		s := &seen[i]
		served, work := 0.0, 0.0
		for _, c := range s.Cells {
			w := float64(c.Work) / 1e6 * standard(c.Class, c.Warm && !p.doors[s.ID])
			if p.doors[s.ID] {
				n := math.Max(float64(c.Served), 1)
				p.AddDemand(sites.Group{Class: uint16(c.Class), Guaranteed: c.Warm}, n, w, p.worth[c.Class]*n/math.Max(w, 1e-9))
				continue
			}
			served, work = served+float64(c.Served), work+w
		}
		if at, known := p.at[s.ID]; known {
			p.Planner.Observe(gateway, at, uint64(s.ID), served, float64(s.TimedOut+s.Unreached+s.Superseded), work)
		}
	}
}

// Plan is the next plan.
func (p *planner) Plan(now time.Duration, all []weights.Estimate) []byte {
	p.at = make(map[weights.ID]string, len(all))
	by := map[string]*sites.Site{}
	var names []string
	for i := range all {
		e := &all[i]
		if e.Site == "" {
			continue
		}
		p.at[e.ID] = e.Site
		s := by[e.Site]
		if s == nil {
			s = &sites.Site{Name: e.Site}
			by[e.Site] = s
			names = append(names, e.Site)
		}
		if e.Ready {
			s.Ready++
			s.Capacity += e.Capacity * e.Warmth // a cold one carries little yet
			s.Cold = s.Cold || e.Warmth < 1
		}
	}
	p.doors, p.worth = p.sight.Admission()
	list := make([]sites.Site, 0, len(names))
	for _, name := range sortedNames(names) {
		list = append(list, *by[name])
	}
	plan, changes := p.Next(now, list)
	for _, c := range changes {
		p.log(c)
	}
	if len(plan.Sites) == 0 && len(plan.Admit) == 0 {
		return nil
	}
	return plan.Append(nil)
}
