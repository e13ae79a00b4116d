package main

import (
	"time"

	"spokegw/internal/fleet/quota"
	"spokegw/internal/lab/gateways"
)

// algorithms are the compared algorithms, in the order of the table's columns.
var algorithms = []struct {
	name string
	make gateways.Make
}{
	{"equal parts", equalParts},
	{"gossip", gossip},
	{"counter", counter},
	{"RLQS", rlqs},
	{"one steward", singleLeader},
	{"ceded parts", gateways.Leases},
}

// fixedShare is a gateway that uses its static share and sends no messages.
type fixedShare struct{ part quota.Part }

func equalParts(_ time.Duration, _ quota.Settings, _ string, _ uint64, plan []quota.Gateway) gateways.Way {
	return &fixedShare{plan[0].Part}
}

func (f *fixedShare) Tick(time.Duration, quota.Part, []string) []gateways.Message { return nil }
func (f *fixedShare) Take(time.Duration, any) []gateways.Message                  { return nil }
func (f *fixedShare) Limit(time.Duration) quota.Limit                             { return quota.Limit{Own: f.part} }

// gossiper reports its demand to all others, and uses the quota in proportion to its part
// of the demand that it knows of.
type gossiper struct {
	settings quota.Settings
	name     string
	demand   quota.Part
	received map[string]demandReport
}

type demandReport struct {
	from       string
	demand     quota.Part
	receivedAt time.Duration // set by the receiver
}

func gossip(_ time.Duration, settings quota.Settings, name string, _ uint64, _ []quota.Gateway) gateways.Way {
	return &gossiper{settings: settings, name: name, received: map[string]demandReport{}}
}

func (g *gossiper) Tick(_ time.Duration, demand quota.Part, candidates []string) (out []gateways.Message) {
	g.demand = demand
	for _, c := range candidates {
		if c != g.name {
			out = append(out, gateways.Message{To: c, Body: demandReport{from: g.name, demand: demand}})
		}
	}
	return out
}

func (g *gossiper) Take(now time.Duration, body any) []gateways.Message {
	report := body.(demandReport)
	report.receivedAt = now
	g.received[report.from] = report
	return nil
}

func (g *gossiper) Limit(now time.Duration) quota.Limit {
	sum := g.demand.Fraction()
	for _, t := range g.received {
		if now-t.receivedAt < g.settings.Lease {
			sum += t.demand.Fraction()
		}
	}
	if sum <= 1 {
		return quota.Limit{Own: g.demand}
	}
	return quota.Limit{Own: quota.PartOf(g.demand.Fraction() / sum)}
}

// server is the common part of three algorithms: one gateway divides the whole quota by the
// reported demands, and each gateway uses its assignment for a limited time.
type server struct {
	settings  quota.Settings
	name      string
	evenShare quota.Part

	elected           bool          // the first candidate serves, instead of always the first gateway
	validity          time.Duration // of an assignment
	reuseAfterExpiry  time.Duration // how long the last assignment is used after it expired
	fallback          quota.Part    // share without a usable assignment
	waitsForLease     bool          // a new server assigns nothing for one lease
	tracksOutstanding bool          // quota assigned to others is not assigned again until it expires

	serving      bool
	servingSince time.Duration // start of serving
	received     map[string]demandReport
	outstanding  map[string][]outstandingGrant // unexpired assignments by recipient
	assigned     quota.Part
	validUntil   time.Duration
	everAssigned bool // has ever received an assignment
}

// outstandingGrant is an assignment that counts against the quota until end.
type outstandingGrant struct {
	part quota.Part
	end  time.Duration
}

type assignment struct {
	part        quota.Part
	requestedAt time.Duration // by the recipient's clock
}

type assignmentRequest struct {
	demandReport
	requestedAt time.Duration
}

func newServer(now time.Duration, settings quota.Settings, name string, plan []quota.Gateway) *server {
	return &server{settings: settings, name: name, evenShare: plan[0].Part, received: map[string]demandReport{}, outstanding: map[string][]outstandingGrant{}, servingSince: now}
}

// counter assigns quota for two periods at a time; a gateway without an answer has none.
func counter(now time.Duration, settings quota.Settings, name string, _ uint64, plan []quota.Gateway) gateways.Way {
	s := newServer(now, settings, name, plan)
	s.validity, s.tracksOutstanding = 2*settings.Period, true
	return s
}

// rlqs is Envoy's rate limit quota service (RLQS) as its API is published: buckets are
// assigned for a limited time, the last assignment is used for a while after it expired,
// then a fallback, which also applies before the first assignment.
func rlqs(now time.Duration, settings quota.Settings, name string, _ uint64, plan []quota.Gateway) gateways.Way {
	s := newServer(now, settings, name, plan)
	s.validity, s.reuseAfterExpiry, s.fallback = settings.Lease, settings.Lease, s.evenShare
	return s
}

// singleLeader has the best candidate lease out the whole quota. A new leader assigns
// nothing until the leases of its predecessor have expired.
func singleLeader(now time.Duration, settings quota.Settings, name string, _ uint64, plan []quota.Gateway) gateways.Way {
	s := newServer(now, settings, name, plan)
	s.elected, s.validity, s.waitsForLease, s.tracksOutstanding = true, settings.Lease, true, true
	return s
}

func (s *server) Tick(now time.Duration, demand quota.Part, candidates []string) []gateways.Message {
	leader := "g000"
	if s.elected && len(candidates) > 0 {
		leader = candidates[0]
	}
	if serves := leader == s.name; serves != s.serving {
		s.serving, s.servingSince = serves, now
	}
	return []gateways.Message{{To: leader, Body: assignmentRequest{demandReport{from: s.name, demand: demand}, now}}}
}

func (s *server) Take(now time.Duration, body any) []gateways.Message {
	switch m := body.(type) {
	case assignment:
		if until := m.requestedAt + s.validity; until > s.validUntil {
			s.assigned, s.validUntil, s.everAssigned = m.part, until, true
		}
	case assignmentRequest:
		m.receivedAt = now
		s.received[m.from] = m.demandReport
		if s.waitsForLease && (!s.serving || now-s.servingSince < s.settings.Lease*103/100) {
			return nil
		}
		return []gateways.Message{{To: m.from, Body: assignment{s.divide(now, m.from), m.requestedAt}}}
	}
	return nil
}

// divide returns the assignment for one gateway, in proportion to the demands that were
// reported recently.
func (s *server) divide(now time.Duration, to string) quota.Part {
	sum := 0.0
	for _, t := range s.received {
		if now-t.receivedAt < s.validity*103/100 {
			sum += t.demand.Fraction()
		}
	}
	part := quota.PartOf(s.received[to].demand.Fraction() / max(sum, 1))
	if !s.tracksOutstanding {
		return part
	}
	remaining := quota.Whole
	for name, grants := range s.outstanding {
		largest := quota.Part(0)
		live := grants[:0]
		for _, g := range grants {
			if g.end > now {
				live, largest = append(live, g), max(largest, g.part)
			}
		}
		if s.outstanding[name] = live; name != to {
			remaining -= largest
		}
	}
	part = max(0, min(part, remaining))
	s.outstanding[to] = append(s.outstanding[to], outstandingGrant{part, now + s.validity*103/100})
	return part
}

func (s *server) Limit(now time.Duration) quota.Limit {
	if now < s.validUntil+s.reuseAfterExpiry && s.everAssigned {
		return quota.Limit{Grant: s.assigned, Until: s.validUntil + s.reuseAfterExpiry, Own: 0}
	}
	return quota.Limit{Own: s.fallback}
}
