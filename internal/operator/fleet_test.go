package operator

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"spokegw/internal/fleet/quota"
)

const fleetFile = `
[[service]]
name = "maps"

[[team]]
name = "agencies"

[[team.allow]]
service = "maps"
rate = 400
burst = 40
quota = "fleet"

[fleet]
name = "g1"
listen = "127.0.0.1:7946"
lease = "2s"
period = "200ms"

[[fleet.partner]]
name = "bijela-kosa"
part = 0.5

[[fleet.partner]]
name = "lisina"
part = 0.3

[[fleet.gateway]]
name = "g0"
partner = "bijela-kosa"
address = "127.0.0.1:7001"

[[fleet.gateway]]
name = "g1"
partner = "bijela-kosa"
address = "127.0.0.1:7002"

[[fleet.gateway]]
name = "g2"
partner = "lisina"
address = "127.0.0.1:7003"
`

func TestFleet(t *testing.T) {
	f, err := Parse("operator.toml", []byte(fleetFile))
	if err != nil {
		t.Fatal(err)
	}
	want := []quota.Gateway{{Name: "g0", Partner: "bijela-kosa", Part: quota.Whole / 4}, {Name: "g1", Partner: "bijela-kosa", Part: quota.Whole / 4}, {Name: "g2", Partner: "lisina", Part: quota.PartOf(0.3)}}
	if got := f.Fleet.Parts(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("parts %v, want %v", got, want)
	}
	if q := f.Quotas(); len(q) != 1 || q[0].Name() != "maps/agencies/" {
		t.Errorf("quotas %v", q)
	}
	if c := f.Terms("maps", []string{"map-tile"}).Contracts[0].Calls[0]; !c.Shared || c.Rate != 400 {
		t.Errorf("call %+v", c)
	}
}

// More gateways do not increase a partner's part, and the gateways' rounded parts never sum to more
// than the quota.
func TestPartsOfGateways(t *testing.T) {
	f := Fleet{Partners: []Partner{{Name: "a", Part: 0.4}, {Name: "b", Part: 0.6}}}
	for n := range 300 {
		f.Gateways = append(f.Gateways, FleetGateway{Name: fmt.Sprint(n), Partner: []string{"a", "b", "b"}[n%3]})
		sums := map[string]quota.Part{}
		for _, g := range f.Parts() {
			sums[g.Partner] += g.Part
		}
		if sums["a"] > quota.PartOf(0.4) || sums["a"] < quota.PartOf(0.4)-300 || sums["a"]+sums["b"] > quota.Whole {
			t.Fatalf("%d gateways: %v", n+1, sums)
		}
	}
}

// A faulty fleet is refused with the position of the fault.
func TestFleetFaults(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(bad, []byte("00ff"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, place, want string }{
		{"part = 0.5", "part = 0.8", "fleet.partner[1].part", "sum to 1.1; at most 1"},
		{"part = 0.5", "part = 1.5", "fleet.partner[0].part", "from 0 to 1"},
		{"part = 0.5\n", "", "fleet.partner[0].part", "is expected"},
		{`name = "lisina"`, `name = "bijela-kosa"`, "fleet.partner[1].name", "twice"},
		{`partner = "lisina"`, `partner = "lisin"`, "fleet.gateway[2].partner", `no partner "lisin"`},
		{`partner = "lisina"`, `partner = "bijela-kosa"`, "fleet.partner[1]", "has no gateway"},
		{`name = "g2"`, `name = "g0"`, "fleet.gateway[2].name", "twice"},
		{"name = \"g1\"\nlisten", "name = \"g9\"\nlisten", "fleet.name", `"g9", is expected among`},
		{`address = "127.0.0.1:7003"`, `address = "lisina:7003"`, "fleet.gateway[2].address", "an address such as"},
		{`listen = "127.0.0.1:7946"`, `listen = "7946"`, "fleet.listen", "an address such as"},
		{`lease = "2s"`, `lease = "50ms"`, "fleet", "a lease of 100ms to 1m"},
		{`lease = "2s"`, `lease = "500ms"`, "fleet", "a 5th of the lease"},
		{`period = "200ms"`, `drift = 0.5`, "fleet", "a drift of 0 to 0.1"},
		{`period = "200ms"`, `key = "/no/such/file"`, "fleet.key", "can be read"},
		{`period = "200ms"`, fmt.Sprintf("key = %q", bad), "fleet.key", "32, 48 or 64 hexadecimal digits"},
		{"rate = 400\nburst = 40\n", "", "team[0].allow[0].quota", "a rate or work is expected"},
		{`quota = "fleet"`, `quota = "all"`, "team[0].allow[0].quota", "process, fleet is expected"},
		{fleetFile[strings.Index(fleetFile, "[fleet]"):], "", "team[0].allow[0].quota", "a [fleet] is expected"},
	} {
		text := strings.Replace(fleetFile, c.old, c.new, 1)
		if text == fleetFile {
			t.Fatalf("%q is not in the file", c.old)
		}
		if _, err := Parse("operator.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), ": "+c.place+": ") || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q for %q: the error is\n%v\nwant %s and %q", c.new, c.old, err, c.place, c.want)
		}
	}
}

// fileWithSites is fleetFile with three sites.
var fileWithSites = strings.NewReplacer(
	`period = "200ms"`, "period = \"200ms\"\nweights = true\n[[fleet.site]]\nname = \"a\"\nnear = [\"c\"]\n[[fleet.site]]\nname = \"b\"\n[[fleet.site]]\nname = \"c\"",
	`address = "127.0.0.1:7001"`, "address = \"127.0.0.1:7001\"\nsite = \"a\"",
	`address = "127.0.0.1:7002"`, "address = \"127.0.0.1:7002\"\nsite = \"b\"",
	`address = "127.0.0.1:7003"`, "address = \"127.0.0.1:7003\"\nsite = \"c\"",
).Replace(fleetFile)

func TestFleetSites(t *testing.T) {
	f, err := Parse("operator.toml", []byte(fileWithSites))
	if err != nil {
		t.Fatal(err)
	}
	s := f.Fleet.Sites()
	if s.Home["g1"] != "b" || len(s.Near) != 3 || s.Near["a"][0] != "c" || s.Utilisation != 0.9 || s.Floor != 0.05 {
		t.Errorf("%+v", s)
	}
	for _, c := range []struct{ old, new, place, want string }{
		{`site = "c"`, `site = "d"`, "fleet.gateway[2].site", `not "d"`},
		{"\nsite = \"c\"", "", "fleet.gateway[2].site", "is expected"},
		{"name = \"c\"", "name = \"b\"", "fleet.site", "twice"},
		{`near = ["c"]`, `near = ["x"]`, "fleet.site", `not "x"`},
		{`near = ["c"]`, `near = ["a"]`, "fleet.site", `not "a"`},
		{"weights = true", "weights = false", "fleet.weights", "true is expected"},
		{"weights = true", "weights = true\nutilisation = 1.5", "fleet.utilisation", "0.1 to 1"},
		{"weights = true", "weights = true\nfloor = 0.9", "fleet.floor", "0 to 0.5"},
		{"weights = true", "weights = 1", "fleet.weights", "true or false"},
	} {
		if !strings.Contains(fileWithSites, c.old) {
			t.Fatalf("%q is not in the file", c.old)
		}
		_, err := Parse("operator.toml", []byte(strings.Replace(fileWithSites, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.place) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.new, err)
		}
	}
	if _, err := Parse("operator.toml", []byte(strings.Replace(fleetFile, `address = "127.0.0.1:7003"`, "address = \"127.0.0.1:7003\"\nsite = \"c\"", 1))); err == nil || !strings.Contains(err.Error(), "there is no [[fleet.site]]") {
		t.Errorf("a gateway's site without [[fleet.site]]: %v", err)
	}
}
