package operator

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"spokegw/internal/fleet/coordination"
	"spokegw/internal/fleet/message"
	"spokegw/internal/fleet/quota"
	"spokegw/internal/fleet/sites"
)

// Fleet configures this gateway as a member of a fleet.
type Fleet struct {
	Name, Listen string
	Key          []byte // nil: messages are not encrypted
	Partners     []Partner
	Gateways     []FleetGateway
	Weights      bool // endpoint weights follow the measurements of the whole fleet
	Places       []FleetSite
	sites.Settings
	Quota quota.Settings

	key string
}

// FleetSite is a zone or data centre whose loss the fleet plans for.
type FleetSite struct {
	Name string   // the zone's name in discovery
	Near []string // other sites, nearest first
}

// Partner operates gateways in the fleet, which together own a part of each quota.
type Partner struct {
	Name string
	Part float64

	key string
}

type FleetGateway struct{ Name, Partner, Address, Site string }

func readFleet(t *table) *Fleet {
	if t == nil {
		return nil
	}
	f := &Fleet{key: t.key, Name: readName(t), Listen: t.str("listen", "")}
	f.Quota = quota.Settings{
		Lease:  t.duration("lease", 2*time.Second, time.Millisecond, time.Hour),
		Period: t.duration("period", 200*time.Millisecond, time.Millisecond, time.Hour),
		Drift:  t.number("drift", 0.01, 0, 1),
	}
	f.Weights = get(t, "weights", "true or false", false)
	f.Settings = sites.Settings{Utilisation: t.number("utilisation", sites.DefaultSettings.Utilisation, 0.1, 1), Floor: t.number("floor", sites.DefaultSettings.Floor, 0, 0.5)}
	for _, s := range t.tables("site", sites.MaxSites) {
		f.Places = append(f.Places, FleetSite{Name: readName(s), Near: s.stringList("near", sites.MaxSites)})
		s.end()
	}
	f.Key = readFleetKey(t)
	for _, p := range t.tables("partner", quota.MaxGateways) {
		partner := Partner{key: p.key, Name: readName(p), Part: p.number("part", 0, 0, 1)}
		if !p.has("part") {
			p.fault("part", "the part of each quota that the partner owns is expected, from 0 to 1")
		}
		p.end()
		f.Partners = append(f.Partners, partner)
	}
	for _, g := range t.tables("gateway", quota.MaxGateways) {
		f.Gateways = append(f.Gateways, f.readGateway(g))
	}
	t.end()
	t.checkAddrOrFreePort("listen", f.Listen)
	if err := f.Quota.Check(); err != nil {
		t.r.fault(t.key, "%v", err)
	}
	f.check(t)
	return f
}

func (f *Fleet) readGateway(t *table) FleetGateway {
	g := FleetGateway{Name: readName(t), Partner: t.str("partner", ""), Address: t.str("address", ""), Site: t.str("site", "")}
	t.end()
	t.checkAddr("address", g.Address)
	if len(g.Name) > message.MaxName {
		t.fault("name", "%d bytes at most are expected", message.MaxName)
	}
	if slices.ContainsFunc(f.Gateways, func(o FleetGateway) bool { return o.Name == g.Name }) {
		t.fault("name", "the gateway %q is defined twice", g.Name)
	}
	switch known := f.hasSite(g.Site); {
	case len(f.Places) > 0 && !known:
		t.fault("site", "one of [[fleet.site]] is expected, not %.60q", g.Site)
	case len(f.Places) == 0 && g.Site != "":
		t.fault("site", "there is no [[fleet.site]]")
	}
	if !slices.ContainsFunc(f.Partners, func(p Partner) bool { return p.Name == g.Partner }) {
		t.fault("partner", "there is no partner %.60q", g.Partner)
	}
	return g
}

// readFleetKey reads the key from its file.
func readFleetKey(t *table) []byte {
	path := t.str("key", "")
	if path == "" {
		return nil
	}
	text, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		t.fault("key", "a file that can be read is expected: %v", err)
		return nil
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if n := len(key); err != nil || n != 16 && n != 24 && n != 32 {
		t.fault("key", "a file with 32, 48 or 64 hexadecimal digits is expected")
		return nil
	}
	return key
}

func (f *Fleet) hasSite(name string) bool {
	return slices.ContainsFunc(f.Places, func(s FleetSite) bool { return s.Name == name })
}

// checkSites checks the sites for consistency with one another.
func (f *Fleet) checkSites(t *table) {
	if len(f.Places) == 1 {
		t.fault("site", "at least two sites are expected: with one, no other can take its requests")
	}
	if len(f.Places) > 0 && !f.Weights {
		t.fault("weights", "true is expected with sites: their plan is based on measurements")
	}
	for i, s := range f.Places {
		if slices.ContainsFunc(f.Places[:i], func(o FleetSite) bool { return o.Name == s.Name }) {
			t.fault("site", "the site %q is defined twice", s.Name)
		}
		for _, near := range s.Near {
			if near == s.Name || !f.hasSite(near) {
				t.fault("site", "%.60q: near are others of [[fleet.site]], not %.60q", s.Name, near)
			}
		}
	}
}

// Sites returns the fleet's sites; nil: it has none.
func (f *Fleet) Sites() *coordination.Sites {
	if len(f.Places) == 0 {
		return nil
	}
	result := &coordination.Sites{Settings: f.Settings, Home: map[string]string{}, Near: map[string][]string{}}
	for _, s := range f.Places {
		result.Near[s.Name] = s.Near
	}
	for _, g := range f.Gateways {
		result.Home[g.Name] = g.Site
	}
	return result
}

// check checks partners and gateways for consistency with one another.
func (f *Fleet) check(t *table) {
	f.checkSites(t)
	sum := 0.0
	for i, p := range f.Partners {
		if before := sum; before <= 1+shareTolerance {
			if sum += p.Part; sum > 1+shareTolerance {
				t.r.fault(p.key+".part", "parts up to here sum to %.4g; at most 1 is expected: more can't be owned", sum)
			}
		}
		if slices.ContainsFunc(f.Partners[:i], func(o Partner) bool { return o.Name == p.Name }) {
			t.r.fault(p.key+".name", "the partner %q is defined twice", p.Name)
		}
		if !slices.ContainsFunc(f.Gateways, func(g FleetGateway) bool { return g.Partner == p.Name }) {
			t.r.fault(p.key, "the partner %q has no gateway", p.Name)
		}
	}
	if !slices.ContainsFunc(f.Gateways, func(g FleetGateway) bool { return g.Name == f.Name }) {
		t.fault("name", "this gateway, %q, is expected among [[fleet.gateway]]", f.Name)
	}
}

// Parts returns the gateways with the part of each quota that they own: a partner's part is divided
// evenly among its gateways.
func (f *Fleet) Parts() (gateways []quota.Gateway) {
	for _, g := range f.Gateways {
		n, part := 0, 0.0
		for _, o := range f.Gateways {
			if o.Partner == g.Partner {
				n++
			}
		}
		for _, p := range f.Partners {
			if p.Name == g.Partner {
				part = p.Part
			}
		}
		gateways = append(gateways, quota.Gateway{Name: g.Name, Partner: g.Partner, Part: quota.PartOf(part / float64(n))})
	}
	return gateways
}

// Addresses returns the addresses of the gateways by name.
func (f *Fleet) Addresses() map[string]string {
	addresses := make(map[string]string, len(f.Gateways))
	for _, g := range f.Gateways {
		addresses[g.Name] = g.Address
	}
	return addresses
}

// Quota is a team's allowance whose limits apply to the whole fleet.
type Quota struct {
	Team    string
	Service string
	Class   string // the first class of the allowance; "": it covers all
}

// Name is the name of the quota, the same at all gateways.
func (q Quota) Name() string { return q.Service + "/" + q.Team + "/" + q.Class }

// Quotas returns the quotas that the file defines.
func (f *File) Quotas() (quotas []Quota) {
	for i := range f.Teams {
		for _, a := range f.Teams[i].Allow {
			if a.Shared {
				q := Quota{Team: f.Teams[i].Name, Service: a.Service}
				if len(a.Classes) > 0 {
					q.Class = a.Classes[0]
				}
				quotas = append(quotas, q)
			}
		}
	}
	return quotas
}

// checkQuotas checks the shared limits against the fleet.
func (f *File) checkQuotas() {
	quotas := f.Quotas()
	if len(quotas) > quota.MaxContracts {
		f.reader.fault("", `%d calls have quota = "fleet", %d are allowed`, len(quotas), quota.MaxContracts)
	}
	for i := range f.Teams {
		for _, a := range f.Teams[i].Allow {
			if a.Shared && f.Fleet == nil {
				f.reader.fault(a.key+".quota", "a [fleet] is expected beside it, which shares the limits")
			}
		}
	}
	for _, q := range quotas {
		if n := q.Name(); len(n) > message.MaxName {
			f.reader.fault("", "the quota name %q is too long, at most %d bytes are expected: it consists of service, team and first class", n, message.MaxName)
		}
	}
}
