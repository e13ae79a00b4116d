package main

import (
	"time"

	"spokegw/internal/fleet/quota"
	"spokegw/internal/lab/gateways"
)

// ways are those that are played side by side, in the order of the table.
var ways = []struct {
	name string
	make gateways.Make
}{
	{"equal parts", equalParts},
	{"gossip", gossip},
	{"counter", counter},
	{"RLQS", rlqs},
	{"one steward", oneSteward},
	{"ceded parts", gateways.Leases},
}

// fixed is a gateway that has its even part and says nothing.
type fixed struct{ part quota.Part }

func equalParts(_ time.Duration, _ quota.Settings, _ string, _ uint64, plan []quota.Gateway) gateways.Way {
	return &fixed{plan[0].Part}
}

func (f *fixed) Tick(time.Duration, quota.Part, []string) []gateways.Message { return nil }
func (f *fixed) Take(time.Duration, any) []gateways.Message                  { return nil }
func (f *fixed) Limit(time.Duration) quota.Limit                             { return quota.Limit{Own: f.part} }

// gossiper tells all of its demand, and takes the part of the demand that it knows of.
type gossiper struct {
	set    quota.Settings
	name   string
	demand quota.Part
	heard  map[string]told
}

type told struct {
	from   string
	demand quota.Part
	at     time.Duration // when it came
}

func gossip(_ time.Duration, set quota.Settings, name string, _ uint64, _ []quota.Gateway) gateways.Way {
	return &gossiper{set: set, name: name, heard: map[string]told{}}
}

func (g *gossiper) Tick(_ time.Duration, demand quota.Part, candidates []string) (out []gateways.Message) {
	g.demand = demand
	for _, c := range candidates {
		if c != g.name {
			out = append(out, gateways.Message{To: c, Body: told{from: g.name, demand: demand}})
		}
	}
	return out
}

func (g *gossiper) Take(now time.Duration, body any) []gateways.Message {
	t := body.(told)
	t.at = now
	g.heard[t.from] = t
	return nil
}

func (g *gossiper) Limit(now time.Duration) quota.Limit {
	sum := g.demand.Fraction()
	for _, t := range g.heard {
		if now-t.at < g.set.Lease {
			sum += t.demand.Fraction()
		}
	}
	if sum <= 1 {
		return quota.Limit{Own: g.demand}
	}
	return quota.Limit{Own: quota.PartOf(g.demand.Fraction() / sum)}
}

// server is what three of the ways have in common: one gateway divides the whole quota by
// what the others tell it, and each uses what it was given for a time.
type server struct {
	set  quota.Settings
	name string
	part quota.Part

	chosen   bool          // the first of the candidates serves, and not always the first gateway
	lasts    time.Duration // an assignment
	reuse    time.Duration // a last one, beyond its end
	fallback quota.Part    // with none
	waits    bool          // one that begins to serve gives nothing for a lease
	counts   bool          // what is out to others is not given again until it has ended

	serves  bool
	since   time.Duration // it serves
	heard   map[string]told
	out     map[string][]given // that was assigned, by whom it is for
	given   quota.Part
	until   time.Duration
	another bool // it was given something ever
}

// given is an assignment that is out until a time.
type given struct {
	part quota.Part
	end  time.Duration
}

type assignment struct {
	part quota.Part
	sent time.Duration // by the clock of whom it is for: when it asked
}

type request struct {
	told
	sent time.Duration
}

func newServer(now time.Duration, set quota.Settings, name string, plan []quota.Gateway) *server {
	return &server{set: set, name: name, part: plan[0].Part, heard: map[string]told{}, out: map[string][]given{}, since: now}
}

// counter is asked for each span of two periods ahead, and who has no answer has nothing.
func counter(now time.Duration, set quota.Settings, name string, _ uint64, plan []quota.Gateway) gateways.Way {
	s := newServer(now, set, name, plan)
	s.lasts, s.counts = 2*set.Period, true
	return s
}

// rlqs is Envoy's rate limit quota service as its API is published: buckets are assigned
// for a time, a last assignment is used beyond its end for a while, then a fallback; and
// with no assignment yet the same fallback.
func rlqs(now time.Duration, set quota.Settings, name string, _ uint64, plan []quota.Gateway) gateways.Way {
	s := newServer(now, set, name, plan)
	s.lasts, s.reuse, s.fallback = set.Lease, set.Lease, s.part
	return s
}

// oneSteward has the best candidate lease all that there is; one that has just become
// that gives nothing until the leases of the one before have ended.
func oneSteward(now time.Duration, set quota.Settings, name string, _ uint64, plan []quota.Gateway) gateways.Way {
	s := newServer(now, set, name, plan)
	s.chosen, s.lasts, s.waits, s.counts = true, set.Lease, true, true
	return s
}

func (s *server) Tick(now time.Duration, demand quota.Part, candidates []string) []gateways.Message {
	to := "g000"
	if s.chosen && len(candidates) > 0 {
		to = candidates[0]
	}
	if serves := to == s.name; serves != s.serves {
		s.serves, s.since = serves, now
	}
	return []gateways.Message{{To: to, Body: request{told{from: s.name, demand: demand}, now}}}
}

func (s *server) Take(now time.Duration, body any) []gateways.Message {
	switch m := body.(type) {
	case assignment:
		if until := m.sent + s.lasts; until > s.until {
			s.given, s.until, s.another = m.part, until, true
		}
	case request:
		m.at = now
		s.heard[m.from] = m.told
		if s.waits && (!s.serves || now-s.since < s.set.Lease*103/100) {
			return nil
		}
		return []gateways.Message{{To: m.from, Body: assignment{s.divide(now, m.from), m.sent}}}
	}
	return nil
}

// divide is what one of those that were heard of lately is to have.
func (s *server) divide(now time.Duration, to string) quota.Part {
	sum := 0.0
	for _, t := range s.heard {
		if now-t.at < s.lasts*103/100 {
			sum += t.demand.Fraction()
		}
	}
	part := quota.PartOf(s.heard[to].demand.Fraction() / max(sum, 1))
	if !s.counts {
		return part
	}
	left := quota.Whole
	for name, all := range s.out {
		most := quota.Part(0)
		kept := all[:0]
		for _, g := range all {
			if g.end > now {
				kept, most = append(kept, g), max(most, g.part)
			}
		}
		if s.out[name] = kept; name != to {
			left -= most
		}
	}
	part = max(0, min(part, left))
	s.out[to] = append(s.out[to], given{part, now + s.lasts*103/100})
	return part
}

func (s *server) Limit(now time.Duration) quota.Limit {
	if now < s.until+s.reuse && s.another {
		return quota.Limit{Grant: s.given, Until: s.until + s.reuse, Own: 0}
	}
	return quota.Limit{Own: s.fallback}
}
