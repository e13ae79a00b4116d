package operator

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"spokegw/internal/broker"
	"spokegw/internal/fault"
	"spokegw/policy"
)

const validFile = `
[[service]]
name = "maps"

[[service]]
name = "weather"
weight = 0.5
paths = ["/forecast", "/alerts"]
endpoints = ["127.0.0.1:9001", "127.0.0.1:9002"]
[[service.class]]
name = "forecast"
effect = "safe"
aim = "400ms"
deadline = "1.2s"
[[service.class]]
name = "alert"
paths = ["/alerts/new"]
methods = ["PUT", "POST"]
effect = "keyed"
scope = "service"
window = "5s"
aim = "100ms"
deadline = "300ms"
worth = 3

[[team]]
name = "javorov-vrh"
share = 0.27
[[team.allow]]
service = "maps"
classes = ["map-tile"]
rate = 200.0
burst = 400
work = 4.0
[[team.allow]]
service = "weather"

[[team]]
name = "lisina"
share = 0.72
[[team.allow]]
service = "weather"
classes = ["alert"]
rate = 0.5

[no-contract]
action = "share"
share = 0.01
rate = 5

[http3]
listen = "127.0.0.1:8443"
certificate = "cert.pem"
key = "key.pem"
streams = 8
`

func parse(t *testing.T, text string) *File {
	t.Helper()
	f, err := Parse("operator.toml", []byte(text))
	if err == nil {
		err = f.Check([]string{"map-tile", "status-report"})
	}
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func TestValidFile(t *testing.T) {
	f := parse(t, validFile)
	if !f.Services[0].Platform || f.Services[1].Platform || f.Services[1].Weight != 0.5 || f.Services[1].Attempts != 3 {
		t.Errorf("services %+v", f.Services)
	}
	c := f.Services[1].Classes[1]
	if c.Effect != policy.Keyed || c.Scope != policy.ScopeAll || c.DedupWindow != 5*time.Second || c.Aim != 100*time.Millisecond || c.Worth != 3 || c.Paths[0] != "/alerts/new" {
		t.Errorf("class %+v", c)
	}
	if c := f.Services[1].Classes[0]; c.Paths[0] != "/forecast" || c.Methods[0] != "GET" {
		t.Errorf("class %+v", c)
	}
	maps := f.Terms("maps", []string{"map-tile", "status-report"})
	if len(maps.Contracts) != 2 || len(maps.Contracts[0].Calls) != 1 || len(maps.Contracts[1].Calls) != 0 {
		t.Fatalf("terms %+v", maps)
	}
	if call := maps.Contracts[0].Calls[0]; call != (broker.CallLimits{Classes: 1, Rate: 200, Burst: 400, Work: 4}) {
		t.Errorf("call %+v", call)
	}
	weather := f.Terms("weather", []string{"forecast", "alert"})
	if weather.Contracts[0].Calls[0].Classes != broker.AllClasses || weather.Contracts[1].Calls[0] != (broker.CallLimits{Classes: 2, Rate: 0.5, Burst: 1}) {
		t.Errorf("terms %+v", weather)
	}
	if s := weather.Uncontracted; s == nil || s.Share != 0.01 || s.Calls[0].Rate != 5 || s.Calls[0].Burst != 5 {
		t.Errorf("strangers %+v", s)
	}
	if f := parse(t, "[[service]]\nname = 'maps'\n"); f.Strangers != nil {
		t.Error("teams without a contract are admitted by default")
	}
}

// Every fault has its line and what was expected. Each case changes one thing in validFile.
func TestFaults(t *testing.T) {
	for _, c := range []struct{ old, new, place, want string }{
		{`share = 0.27`, `share = 1.4`, "team[0].share", "a number from 0 to 1 is expected, not 1.4"},
		{`share = 0.27`, `share = "0.27"`, "team[0].share", "a number from 0 to 1"},
		{`share = 0.27`, `share = nan`, "team[0].share", "a number from 0 to 1"},
		{`share = 0.72`, `share = 0.73`, "team[1].share", "sum to 1.01; at most 1 is expected"},
		{`share = 0.27`, `shares = 0.27`, "team[0].shares", "unknown key; known here are name, share, allow"},
		{`rate = 200.0`, `rat = 200.0`, "team[0].allow[0].rat", "unknown key"},
		{`rate = 200.0`, ``, "33: team[0].allow[0].burst", "with a rate only"},
		{`rate = 200.0`, `rate = -1`, "team[0].allow[0].rate", "from 0.001"},
		{`classes = ["map-tile"]`, `classes = ["map-tiles"]`, "team[0].allow[0].classes", `no class "map-tiles", it has map-tile, status-report`},
		{`classes = ["map-tile"]`, `classes = [1]`, "team[0].allow[0].classes", "entry 0: a text in quotes is expected"},
		{`classes = ["map-tile"]`, `classes = []`, "team[0].allow[0].classes", "at least one class"},
		{`classes = ["alert"]`, `classes = ["alarm"]`, "team[1].allow[0].classes", `service "weather" has no class "alarm"`},
		{"service = \"maps\"\n", "service = \"map\"\n", "team[0].allow[0].service", `no service "map"`},
		{"service = \"maps\"\n", "", "29: team[0].allow[0].service", "the name of a service"},
		{`name = "lisina"`, `name = "javorov-vrh"`, "team[1].name", "twice"},
		{`name = "lisina"`, `name = ""`, "team[1].name", "a name of 1 to 256 bytes"},
		{`name = "lisina"`, `name = "` + strings.Repeat("x", 300) + `"`, "team[1].name", "a name of 1 to 256 bytes"},
		{`name = "weather"`, `name = "maps"`, "service[1].name", "twice"},
		{`paths = ["/forecast", "/alerts"]`, `paths = ["/forecast/"]`, "service[1].paths", "a path such as /forecast"},
		{`paths = ["/forecast", "/alerts"]`, `paths = ["/map-tile/..", "/alerts"]`, "service[1].paths", "dot segment"},
		{`paths = ["/forecast", "/alerts"]`, `paths = ["/alerts"]`, "10: service[1].class[0]", "outside the paths of its service"},
		{`paths = ["/alerts/new"]`, `paths = ["/forecast"]`, "service[1].class[1].paths", `the path /forecast already belongs to class "forecast" of service "weather"`},
		{`paths = ["/forecast", "/alerts"]`, `paths = ["/forecast", "/alerts", "/map-tile"]`, "service[1].paths", "a class of the platform's"},
		{`name = "forecast"`, `name = "map-tile"`, "10: service[1].class[0]", "outside the paths"},
		{`endpoints = ["127.0.0.1:9001", "127.0.0.1:9002"]`, `endpoints = ["weather.local:9001"]`, "service[1].endpoints", "an address such as"},
		{`endpoints = ["127.0.0.1:9001", "127.0.0.1:9002"]`, `endpoints = ["127.0.0.1:0"]`, "service[1].endpoints", "an address such as"},
		{`endpoints = ["127.0.0.1:9001", "127.0.0.1:9002"]`, `endpoints = ["127.0.0.1:9001", "127.0.0.1:9001"]`, "service[1].endpoints", "twice"},
		{`endpoints = ["127.0.0.1:9001", "127.0.0.1:9002"]`, `endpoints = []`, "service[1].endpoints", "at least one address"},
		{`endpoints = ["127.0.0.1:9001", "127.0.0.1:9002"]`, ``, "8: service[1].paths", "the platform's own"},
		{`weight = 0.5`, `registry = "127.0.0.1:1"`, "service[1].registry", "not both"},
		{`weight = 0.5`, `weight = 0`, "service[1].weight", "from 0.01"},
		{`weight = 0.5`, `attempts = 99`, "service[1].attempts", "from 1 to 10"},
		{`weight = 0.5`, `second-copies = "yes"`, "service[1].second-copies", "true or false"},
		{`effect = "safe"`, `effect = "harmless"`, "service[1].class[0].effect", `safe, keyed, unsafe is expected, not "harmless"`},
		{`effect = "safe"`, ``, "10: service[1].class[0]", "effect is missing"},
		{`aim = "400ms"`, `aim = "4s"`, "service[1].class[0].aim", "at most the deadline of 1.2s"},
		{`aim = "400ms"`, `aim = 400`, "service[1].class[0].aim", "a time from"},
		{`deadline = "1.2s"`, `deadline = "2h"`, "service[1].class[0].deadline", "a time from"},
		{`deadline = "1.2s"`, ``, "10: service[1].class[0]", "aim and deadline are expected"},
		{`window = "5s"`, ``, "15: service[1].class[1].window", "a window is expected with a keyed class"},
		{`scope = "service"`, `scope = "rack"`, "service[1].class[1].scope", "service, zone, pod is expected"},
		{`methods = ["PUT", "POST"]`, `methods = ["GET"]`, "service[1].class[1].methods", "GET is safe"},
		{`methods = ["PUT", "POST"]`, `methods = ["FETCH"]`, "service[1].class[1].methods", "GET, POST"},
		{`listen = "127.0.0.1:8443"`, `listen = "8443"`, "http3.listen", "an address such as"},
		{`key = "key.pem"`, ``, "51: http3", "certificate and key are expected"},
		{`streams = 8`, `streams = 0`, "http3.streams", "from 1 to 1000"},
		{`streams = 8`, `connection-window = 20000`, "http3.connection-window", "at least the stream-window"},
		{`streams = 8`, "[http3.routing]\nserver = 'abc'", "56: http3.routing.server", "hexadecimal digits in pairs"},
		{`streams = 8`, "[http3.routing]\nserver = ''", "55: http3.routing", "server ID of 0 bytes: 1 to 15"},
		{`streams = 8`, "[http3.routing]\nserver = '01'\nconfig = 7", "57: http3.routing.config", "from 0 to 6"},
		{`streams = 8`, "[http3.routing]\nserver = '0102030405060708'\nnonce = 12", "55: http3.routing", "19 at most"},
		{`streams = 8`, `early-data = true`, "http3.early-data", "unknown key"},
		{`action = "share"`, `action = "refuse"`, "48: no-contract.share", `with action = "share" only`},
		{`action = "share"`, `action = "allow"`, "no-contract.action", "refuse, share is expected"},
		{`[no-contract]`, `[no-contracts]`, "no-contracts", "unknown key"},
		{`[no-contract]`, `[[no-contract]]`, "no-contract", "a table is expected"},
		{"[[service]]\nname = \"maps\"\n", "", "", "the platform's own service is expected too"},
		{`[[team]]`, `[team]`, "", "TOML is expected"},
		{`worth = 3`, `worth = `, "", "TOML is expected"},
		{`worth = 3`, "worth = 3\nworth = 4", "", "TOML is expected"},
	} {
		text := strings.Replace(validFile, c.old, c.new, 1)
		if text == validFile {
			t.Fatalf("%q is not in the file", c.old)
		}
		f, err := Parse("operator.toml", []byte(text))
		if err == nil {
			err = f.Check([]string{"map-tile", "status-report"})
		}
		// A fault is reported at the line of its key, which is the changed one, unless the case
		// names another.
		place := c.place
		if place != "" && (place[0] < '0' || place[0] > '9') {
			place = fmt.Sprintf("%d: %s", 1+strings.Count(validFile[:strings.Index(validFile, c.old)], "\n"), place)
		}
		if err == nil || place != "" && !strings.Contains(err.Error(), "operator.toml:"+place+": ") || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q for %q: the error is\n%v\nwant %s and %q", c.new, c.old, err, place, c.want)
		}
	}
}

// All faults are reported at once, by line.
func TestAllFaults(t *testing.T) {
	text := strings.NewReplacer(`share = 0.27`, `share = 2`, `aim = "400ms"`, `aim = "soon"`, `rate = 5`, `rates = 5`).Replace(validFile)
	_, err := Parse("f", []byte(text))
	var faults fault.Faults
	if !errors.As(err, &faults) || len(faults) != 3 {
		t.Fatalf("the faults are\n%v", err)
	}
	for i := 1; i < len(faults); i++ {
		if faults[i].Line < faults[i-1].Line {
			t.Errorf("not sorted by line:\n%v", err)
		}
	}
}

// FuzzParse checks that Parse never panics, that a fault has its position and reason, and that a
// valid file can be used.
func FuzzParse(f *testing.F) {
	f.Add(validFile)
	f.Add("[[service]]\nname='maps'\n[[team]]\n[team.allow]\n")
	f.Add("service = [{name='maps'}, {name='w', endpoints=['127.0.0.1:1'], class=[{name='x', effect='safe', aim='1s', deadline='1s'}]}]")
	f.Add("[[service.class]]\n[service]\n[[a.b]]\n[a.b.c]\n'x.y'.z = [[1]]")
	f.Fuzz(func(t *testing.T, text string) {
		file, err := Parse("f", []byte(text))
		if err == nil {
			err = file.Check([]string{"map-tile", "status-report"})
		}
		var faults fault.Faults
		if errors.As(err, &faults) {
			for _, fault := range faults {
				if fault.Text == "" || fault.File != "f" || fault.Line < 0 || fault.Line > strings.Count(text, "\n")+1 {
					t.Fatalf("the fault %+v has no position or reason", fault)
				}
			}
			return
		}
		if err != nil {
			t.Fatalf("%T: %v", err, err)
		}
		for _, s := range file.Services {
			var names []string
			for _, c := range s.Classes {
				names = append(names, c.Name)
			}
			broker.New(0, file.Terms(s.Name, names))
		}
	})
}
