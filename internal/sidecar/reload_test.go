package sidecar

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// object is an object of a configuration.
type object = map[string]any

// wholeClass is a class that has every key that its effect needs.
func wholeClass(name, effect string) object {
	c := object{"name": name, "effect": effect, "aim_ms": 400.0, "hard_limit_ms": 1200.0, "late_worth": 0.5, "worth": 1.0, "stream": false}
	if effect == "idempotency_key" {
		c["key_scope"], c["dedup_window_ms"] = "cell", 2000.0
	}
	return c
}

// wholeConfig is a configuration that has every key, with a number of endpoints and peers.
func wholeConfig(endpoints, peers int, classes ...object) object {
	servers, addresses := []any{}, []any{}
	for i := range endpoints {
		servers = append(servers, object{"id": fmt.Sprint("s-", i), "addr": "127.0.0.1:1", "zone": "a", "kind": "std", "cell": i, "state": "active", "weight": 1.0, "started_ms": 0})
	}
	for i := range peers {
		addresses = append(addresses, fmt.Sprint("127.0.0.1:", i+1))
	}
	return object{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8d1f", "peer_listen": "127.0.0.1:0", "peers": addresses, "peers_all": "127.0.0.1:1",
		"limits": object{"cores": 1.0, "memory_mb": 128, "sockets": 512},
		"known":  object{"version": 1, "full": true, "servers": servers},
		"settings": object{
			"azs": []any{"a"}, "classes": slices.Clone(classes), "clients": object{"marks_retry": false}, "discovery": "pushed", "domain": object{"warm_keys": false, "passes_deadline": true},
			"fleet_size": 3, "index": 0, "kind_of_service": "mesh", "kinds": []any{"std"}, "layers": []any{"maps"},
			"limits": object{
				"cancelling": true, "conn_idle_ms": 10000.0, "connect_timeout_ms": 100.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 1000000, "max_retry_after_ms": 600.0,
				"may_probe": false, "most_held": 100000, "peer_messages": false, "retry_after": true, "second_copies": false, "send_cap": 3, "streams_per_conn": 1,
			},
			"over_share_worth": 0.05,
			"penalties": object{"connection": 0.0, "cross_zone": 0.0, "discovery": 0.0, "handshake": 0.03, "late_fail": 0.08, "moves": 0.0, "origin": 0.0, "peer": 0.0,
				"probe": 0.0, "waste": 0.04, "fleet": 0.1},
			"report":      object{"fields": []any{}, "how": "silent"},
			"rules":       object{"answer_slack_ms": 5.0, "ask_within_ms": 10000.0, "cold_ms": 20000.0, "drain_grace_ms": 1000.0, "fall_ms": 1000.0, "fall_multiple": 3.0, "start_capacity": 0.2},
			"score_parts": object{"whole": 0.7, "worst_class": 0.1, "worst_tenant": 0.1, "worst_window": 0.1},
			"tenants":     []object{{"name": "north", "quota_per_s": 100.0, "share": 0.6}, {"name": "south", "quota_per_s": 50.0, "share": 0.4}},
			"tick_ms":     1.0, "tier": 0, "weights": "rough", "worth_by": "request", "zone": 0, "of_no_page": object{"huge": json.Number("1e999")},
		},
	}
}

// optionalKeys are keys that a whole configuration may do without.
var optionalKeys = []string{
	"settings.domain.warm_keys", "settings.domain.passes_deadline", "settings.penalties.fleet", "settings.of_no_page", "settings.of_no_page.huge",
	".aim_stretch", "[tile].key_scope", "[tile].dedup_window_ms",
}

// eachKey calls visit for every key of an object and of those in it, but for what is in the lists of
// endpoints and peers.
func eachKey(path string, o object, visit func(path string, o object, key string)) {
	for _, key := range slices.Sorted(maps.Keys(o)) {
		at := strings.TrimPrefix(path+"."+key, ".")
		visit(at, o, key)
		switch v := o[key].(type) {
		case object:
			if at != "known" {
				eachKey(at, v, visit)
			}
		case []object:
			for _, entry := range v {
				eachKey(fmt.Sprintf("%s[%s]", at, entry["name"]), entry, visit)
			}
		}
	}
}

// turnedDown returns why a configuration is not taken over after another; nil: it is.
func turnedDown(t *testing.T, inForce *Config, next object) error {
	t.Helper()
	text, err := json.Marshal(next)
	if err != nil {
		t.Fatal(err)
	}
	c, err := ParseConfig("file", text)
	if err == nil {
		if missing := inForce.missingKeys(&c); len(missing) > 0 {
			err = fmt.Errorf("missing: %s", strings.Join(missing, ", "))
		}
	}
	return err
}

func parsed(t *testing.T, o object) *Config {
	t.Helper()
	text, err := json.Marshal(o)
	if err != nil {
		t.Fatal(err)
	}
	c, err := ParseConfig("file", text)
	if err != nil {
		t.Fatal(err)
	}
	return &c
}

// Guards against a configuration that is short of a key and is taken over, whichever key it is, whatever other
// classes have and however long the file; a key without a value is none.
func TestFileShortOfAnyKeyIsTurnedDown(t *testing.T) {
	keyed, read, unsafe := wholeClass("report", "idempotency_key"), wholeClass("tile", "read_like"), wholeClass("track", "non_idempotent")
	stretched, scoped := wholeClass("tile", "read_like"), wholeClass("tile", "read_like")
	stretched["aim_stretch"] = 2.0
	scoped["key_scope"], scoped["dedup_window_ms"] = "all", 5000.0
	for name, whole := range map[string]object{
		"one keyed of three":    wholeConfig(3, 2, read, keyed, unsafe),
		"all keyed":             wholeConfig(3, 2, keyed, wholeClass("order", "idempotency_key")),
		"none keyed":            wholeConfig(3, 2, stretched, unsafe),
		"scopes of all":         wholeConfig(3, 2, scoped, keyed),
		"a long list":           wholeConfig(3200, 900, read, keyed),
		"no endpoints or peers": wholeConfig(0, 0, read, keyed),
	} {
		inForce, seen, tried := parsed(t, whole), 0, 0
		if err := turnedDown(t, inForce, whole); err != nil {
			t.Errorf("%s: the same file is turned down: %v", name, err)
		}
		eachKey("", whole, func(path string, o object, key string) {
			optional := slices.ContainsFunc(optionalKeys, func(suffix string) bool { return strings.HasSuffix(path, suffix) })
			if seen++; name == "a long list" && seen%8 != 0 { // takes long to read
				return
			}
			value := o[key]
			for _, without := range []func(){func() { delete(o, key) }, func() { o[key] = nil }} {
				without()
				err := turnedDown(t, inForce, whole)
				switch last := path[strings.LastIndexByte(path, '.')+1:]; {
				case optional && err != nil:
					t.Errorf("%s: without %s it is turned down: %v", name, path, err)
				case !optional && err == nil:
					t.Errorf("%s: without %s it is taken", name, path)
				case !optional && !strings.Contains(err.Error(), last):
					t.Errorf("%s: without %s: %v", name, path, err)
				}
				o[key] = value
			}
			tried++
		})
		if tried < 60 && name != "a long list" {
			t.Errorf("%s: only %d keys were tried", name, tried)
		}
	}
	short := wholeConfig(3, 2, wholeClass("tile", "read_like"), wholeClass("report", "idempotency_key"))
	inForce := parsed(t, short)
	classes := short["settings"].(object)["classes"].([]object)
	delete(classes[0], "worth")
	delete(classes[1], "stream")
	delete(short, "known")
	if err := turnedDown(t, inForce, short); err == nil || !strings.Contains(err.Error(), "known, settings.classes[report].stream, settings.classes[tile].worth") {
		t.Errorf("of three missing keys: %v", err)
	}
}

// Guards against a whole configuration that is turned down, or a broken one that is taken over, because of the classes and
// tenants that the one in force happens to have: through many reloads the settings are those of the last whole file.
func TestReloadsFollowTheLastWholeFile(t *testing.T) {
	const reloads, seed = 1000, 81
	random := rand.New(rand.NewPCG(seed, 0))
	draw := func() object {
		effects := []string{"read_like", "idempotency_key", "non_idempotent"}
		only := random.IntN(3 * len(effects)) // often all classes have one effect
		var classes []object
		for _, i := range random.Perm(5)[:1+random.IntN(5)] {
			effect := effects[random.IntN(len(effects))]
			if only < len(effects) {
				effect = effects[only]
			}
			c := wholeClass(fmt.Sprint("class-", i), effect)
			if c["hard_limit_ms"] = float64(300 + random.IntN(2700)); random.IntN(4) == 0 {
				c["aim_stretch"] = 2.0
			}
			classes = append(classes, c)
		}
		o := wholeConfig(2, 2, classes...)
		settings := o["settings"].(object)
		settings["limits"].(object)["send_cap"] = 1 + random.IntN(5)
		settings["tenants"] = settings["tenants"].([]object)[:random.IntN(3)]
		return o
	}
	first := draw()
	s, err := New(*parsed(t, first))
	if err != nil {
		t.Fatal(err)
	}
	defer s.upgrade.abandon()
	want := parsed(t, first).Settings
	taken := 0
	for i := range reloads {
		next := draw()
		var keys []func()
		eachKey("", next, func(path string, o object, key string) {
			optional := strings.HasSuffix(path, ".aim_stretch") || slices.ContainsFunc(optionalKeys, func(suffix string) bool { return strings.HasSuffix(path, suffix) })
			if !optional {
				keys = append(keys, func() { delete(o, key) })
			}
		})
		broken := random.IntN(2) == 0
		if broken {
			keys[random.IntN(len(keys))]()
		}
		text, err := json.Marshal(next)
		if err != nil {
			t.Fatal(err)
		}
		c, err := ParseConfig("file", text)
		if err == nil {
			err = s.Reload(c)
		}
		switch {
		case broken && err == nil:
			t.Fatalf("reload %d: a broken file is taken: %s", i, text)
		case !broken && err != nil:
			t.Fatalf("reload %d: a whole file is turned down: %v", i, err)
		case !broken:
			want = c.Settings
			taken++
		}
		if got := s.config.Settings; !reflect.DeepEqual(got, want) {
			t.Fatalf("reload %d: the settings in force are %+v, those of the last whole file %+v", i, got, want)
		}
	}
	if taken < reloads/3 {
		t.Errorf("only %d of %d files were whole", taken, reloads)
	}
}
