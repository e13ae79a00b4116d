package operator

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"spokegw/internal/fleet/message"
	"spokegw/internal/fleet/quota"
)

// Fleet is this gateway's place among those that decide together.
type Fleet struct {
	Name, Listen string
	Key          []byte // nil: messages are not sealed
	Partners     []Partner
	Gateways     []FleetGateway
	Weights      bool // endpoints are weighed by what the whole fleet measures
	quota.Settings

	key string
}

// Partner has gateways of its own in the fleet, and a part of each quota for them together.
type Partner struct {
	Name string
	Part float64

	key string
}

// FleetGateway is one gateway of the fleet.
type FleetGateway struct{ Name, Partner, Address string }

func readFleet(t *table) *Fleet {
	if t == nil {
		return nil
	}
	f := &Fleet{key: t.key, Name: name(t), Listen: t.text("listen", "")}
	f.Settings = quota.Settings{
		Lease:  t.duration("lease", 2*time.Second, time.Millisecond, time.Hour),
		Period: t.duration("period", 200*time.Millisecond, time.Millisecond, time.Hour),
		Drift:  t.number("drift", 0.01, 0, 1),
	}
	f.Weights = get(t, "weights", "true or false", false)
	f.Key = readFleetKey(t)
	for _, p := range t.tables("partner", quota.MaxGateways) {
		partner := Partner{key: p.key, Name: name(p), Part: p.number("part", 0, 0, 1)}
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
	if err := f.Settings.Check(); err != nil {
		t.r.fault(t.key, "%v", err)
	}
	f.check(t)
	return f
}

func (f *Fleet) readGateway(t *table) FleetGateway {
	g := FleetGateway{Name: name(t), Partner: t.text("partner", ""), Address: t.text("address", "")}
	t.end()
	t.checkAddr("address", g.Address)
	if len(g.Name) > message.MaxName {
		t.fault("name", "%d bytes at most are expected", message.MaxName)
	}
	if slices.ContainsFunc(f.Gateways, func(o FleetGateway) bool { return o.Name == g.Name }) {
		t.fault("name", "the gateway %q stands there twice", g.Name)
	}
	if !slices.ContainsFunc(f.Partners, func(p Partner) bool { return p.Name == g.Partner }) {
		t.fault("partner", "there is no partner %.60q", g.Partner)
	}
	return g
}

// readFleetKey reads the file with the key.
func readFleetKey(t *table) []byte {
	path := t.text("key", "")
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

// check checks partners and gateways against one another.
func (f *Fleet) check(t *table) {
	sum := 0.0
	for i, p := range f.Partners {
		if before := sum; before <= 1+shareSlack {
			if sum += p.Part; sum > 1+shareSlack {
				t.r.fault(p.key+".part", "parts up to here sum to %.4g; at most 1 is expected: more can't be owned", sum)
			}
		}
		if slices.ContainsFunc(f.Partners[:i], func(o Partner) bool { return o.Name == p.Name }) {
			t.r.fault(p.key+".name", "the partner %q stands there twice", p.Name)
		}
		if !slices.ContainsFunc(f.Gateways, func(g FleetGateway) bool { return g.Partner == p.Name }) {
			t.r.fault(p.key, "the partner %q has no gateway", p.Name)
		}
	}
	if !slices.ContainsFunc(f.Gateways, func(g FleetGateway) bool { return g.Name == f.Name }) {
		t.fault("name", "this gateway, %q, is expected among [[fleet.gateway]]", f.Name)
	}
}

// Parts are the gateways with the parts that they own: each partner's, evenly divided.
func (f *Fleet) Parts() (all []quota.Gateway) {
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
		all = append(all, quota.Gateway{Name: g.Name, Partner: g.Partner, Part: quota.Of(part / float64(n))})
	}
	return all
}

// Addresses are those at which gateways are reached, by name.
func (f *Fleet) Addresses() map[string]string {
	all := make(map[string]string, len(f.Gateways))
	for _, g := range f.Gateways {
		all[g.Name] = g.Address
	}
	return all
}

// Quota is a call of a team's whose limits the whole fleet shares.
type Quota struct {
	Team    string
	Service string
	Class   string // one of the call's; "": any
}

// Name is the quota's at all gateways.
func (q Quota) Name() string { return q.Service + "/" + q.Team + "/" + q.Class }

// Quotas are those of the file.
func (f *File) Quotas() (all []Quota) {
	for i := range f.Teams {
		for _, a := range f.Teams[i].Allow {
			if a.Shared {
				q := Quota{Team: f.Teams[i].Name, Service: a.Service}
				if len(a.Classes) > 0 {
					q.Class = a.Classes[0]
				}
				all = append(all, q)
			}
		}
	}
	return all
}

// checkQuotas checks the shared calls against the fleet.
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
			f.reader.fault("", "the quota %q is told by a name of %d bytes at most: service, team and first class", n, message.MaxName)
		}
	}
}
