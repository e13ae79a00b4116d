package coordination

import (
	"math"
	"time"

	"spokegw/internal/fleet/sites"
	"spokegw/internal/fleet/weights"
)

// Sites is the fleet's sites in the operator's file.
type Sites struct {
	sites.Settings
	Home map[string]string   // of gateways
	Near map[string][]string // of a site, the other sites in order of distance
}

// distance returns the distance of two sites: the position in the file's order.
func (s *Sites) distance(from, to string) float64 {
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

// planner makes plans for sites from the reports that the leader receives. It implements
// weights.Planner.
type planner struct {
	*sites.Planner
	observer     Observer
	onChange     func(sites.Change)
	siteOf       map[weights.ID]string // sites of endpoints
	admissionIDs map[weights.ID]bool
	worth        map[weights.Class]float64
}

func (n *Node) newPlanner(now time.Duration, previous []byte) weights.Planner {
	plan, _ := sites.Parse(previous) // it was validated when it was received
	n.planner = &planner{Planner: sites.NewPlanner(now, n.sites.Settings, n.sites.Home, n.sites.distance, plan), observer: n.observer, onChange: n.addChange}
	return n.planner
}

// Observe adds a gateway's observations.
func (p *planner) Observe(gateway string, stats []weights.Stats, workFactor func(weights.Class, bool) float64) {
	for i := range stats {
		s := &stats[i]
		served, work := 0.0, 0.0
		for _, c := range s.Cells {
			cellWork := float64(c.Work) / 1e6 * workFactor(c.Class, c.Warm && !p.admissionIDs[s.ID])
			if p.admissionIDs[s.ID] {
				requests := math.Max(float64(c.Served), 1)
				p.AddDemand(sites.Group{Class: uint16(c.Class), Guaranteed: c.Warm}, requests, cellWork, p.worth[c.Class]*requests/math.Max(cellWork, 1e-9))
				continue
			}
			served, work = served+float64(c.Served), work+cellWork
		}
		if site, known := p.siteOf[s.ID]; known {
			p.Planner.Observe(gateway, site, uint64(s.ID), served, float64(s.TimedOut+s.Unreached+s.Superseded), work)
		}
	}
}

// Plan returns the next plan.
func (p *planner) Plan(now time.Duration, all []weights.Estimate) []byte {
	p.siteOf = make(map[weights.ID]string, len(all))
	bySite := map[string]*sites.Site{}
	var names []string
	for i := range all {
		e := &all[i]
		if e.Site == "" {
			continue
		}
		p.siteOf[e.ID] = e.Site
		s := bySite[e.Site]
		if s == nil {
			s = &sites.Site{Name: e.Site}
			bySite[e.Site] = s
			names = append(names, e.Site)
		}
		if e.Ready {
			s.Ready++
			s.Capacity += e.Capacity * e.Warmth // a cold endpoint has little of its capacity yet
			s.Cold = s.Cold || e.Warmth < 1
		}
	}
	p.admissionIDs, p.worth = p.observer.Admission()
	list := make([]sites.Site, 0, len(names))
	for _, name := range sortedNames(names) {
		list = append(list, *bySite[name])
	}
	plan, changes := p.Next(now, list)
	for _, c := range changes {
		p.onChange(c)
	}
	if len(plan.Sites) == 0 && len(plan.Admit) == 0 {
		return nil
	}
	return plan.Append(nil)
}
