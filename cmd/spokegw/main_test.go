package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"spokegw/internal/operator"
)

// TestMain lets the test's own binary stand in for the program.
func TestMain(m *testing.M) {
	if os.Getenv("RUN_SPOKEGW") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const patience = 20 * time.Second // bounds a wait that should end at once

// registry is a discovery service that tells of its calls.
func registry(t *testing.T) (addr string, called chan string) {
	called = make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case called <- r.URL.RawQuery:
		default:
		}
		if r.URL.Query().Has("since") { // nothing changes
			select {
			case <-r.Context().Done():
			case <-time.After(time.Second):
			}
		}
		fmt.Fprint(w, `{"version":1,"full":true,"servers":[]}`)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), called
}

func await(t *testing.T, what string, c <-chan string) string {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatalf("waited in vain for %s", what)
		return ""
	}
}

// A reload under SIGHUP must not end the process, must follow discovery to the
// address in the file although the environment still names the old one, and
// must not be thrown off by a file that can't be read. SIGTERM still ends it.
func TestReload(t *testing.T) {
	first, firstCalled := registry(t)
	second, secondCalled := registry(t)
	const listen = "127.0.0.1:0"
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text []byte) {
		if err := os.WriteFile(path+".new", text, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	config := func(discovery string) []byte {
		text, _ := json.Marshal(map[string]any{
			"name": "n0", "listen": listen, "discovery": discovery,
			"limits": map[string]any{"cores": 1, "memory_mb": 32, "sockets": 256},
			"settings": map[string]any{
				"fleet_size": 1, "discovery": "pushed", "limits": map[string]any{"send_cap": 3, "connect_timeout_ms": 50, "conn_idle_ms": 10000},
				"classes": []any{map[string]any{"name": "map-tile", "effect": "read_like", "hard_limit_ms": 200, "aim_ms": 100}},
			},
		})
		return text
	}
	write(config(first))
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "RUN_SPOKEGW=1", "NODE_CONFIG="+path, "NODE_DISCOVERY="+first, "NODE_LISTEN="+listen, "NODE_NAME=n0")
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan string, 1)
	go func() { ended <- fmt.Sprint(cmd.Wait()) }()
	t.Cleanup(func() { cmd.Process.Kill() })
	await(t, "a call to discovery", firstCalled)

	write([]byte(`{"discovery":`))
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	for range 2 { // a watch takes a second, so the signal has come by then
		await(t, "a call to the old address", firstCalled)
	}
	write(config(second))
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if q := await(t, "a call to the new address", secondCalled); q != "" {
		t.Errorf("the first call to the new address asks for %q, want the whole list", q)
	}
	select {
	case err := <-ended:
		t.Fatalf("the program ended: %s", err)
	default:
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := await(t, "the end", ended); err != "<nil>" {
		t.Errorf("the program ended with %s", err)
	}
}

// check prints every fault with its place, and the command says by its exit
// code that there are some; what can't be read as a command is told with help.
func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := write("good.toml", "[[service]]\nname = 'maps'\n")
	bad := write("bad.toml", "[[service]]\nname = 'maps'\nweigth = 2\n[[team]]\nname = 'a'\nshare = 2\n")
	classless := write("classless.toml", "[[service]]\nname = 'maps'\n[[team]]\nname = 'a'\n[[team.allow]]\nservice = 'maps'\nclasses = ['order']\n")
	config := write("config.json", `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"fleet_size":1,"limits":{"send_cap":1},"classes":[{"name":"tile","effect":"read_like"}]}}`)
	syntax := write("syntax.json", "{\"listen\":\"127.0.0.1:0\",\n\"name\":\"n\",\n\"limits\":}\n")
	kind := write("kind.json", "{\"listen\":\"127.0.0.1:0\",\n\"settings\":\n{\n\"fleet_size\":\"many\",\n\"classes\":[{},{\"aim_ms\":[]}]},\n\"limits\":3}\n")
	value := write("value.json", `{"settings":{"fleet_size":1,"classes":[
{"name":"tile"},
{"effect":"read_like","dedup_window_ms":-1}]},
"limits":{"sockets":3},
"seed":"x"}`)
	bare := write("bare.json", `{"settings":{"fleet_size":1,"limits":{"send_cap":1},"classes":[{"effect":"read_like"}]}}`)
	for _, c := range []struct {
		env  []string
		args []string
		code int
		want []string
	}{
		{nil, []string{"help"}, 0, []string{"spokegw check", "SPOKEGW_OPERATOR"}},
		{nil, []string{"--help"}, 0, []string{"spokegw check"}},
		{nil, []string{"lab", "--help"}, 0, []string{"--surge"}},
		{nil, []string{"chekc"}, 2, []string{"unknown command \"chekc\""}},
		{nil, []string{"check", "--operater", good}, 2, []string{"operater", "spokegw check"}},
		{nil, []string{"check", good}, 2, []string{"is not expected"}},
		{nil, []string{"lab", "--load", "0"}, 2, []string{"over 0"}},
		{nil, []string{"check"}, 1, []string{"nothing to check"}},
		{nil, []string{"check", "--operator", good}, 0, []string{"no fault"}},
		{nil, []string{"check", "--operator", filepath.Join(dir, "none")}, 1, []string{"no such file"}},
		{nil, []string{"check", "--operator", bad}, 1, []string{bad + ":3: service[0].weigth: unknown key", bad + ":6: team[0].share", bad + ":4: team[0]: at least one"}},
		{nil, []string{"check", "--operator", classless}, 0, []string{"no fault"}},
		{[]string{"NODE_CONFIG=" + config}, []string{"check", "--operator", classless}, 1, []string{classless + ":7: team[0].allow[0].classes", "it has tile"}},
		{[]string{"NODE_CONFIG=" + config, "SPOKEGW_OPERATOR=" + good}, []string{"check"}, 0, []string{"no fault"}},
		{[]string{"NODE_CONFIG=" + bad, "SPOKEGW_OPERATOR=" + bad}, []string{"check"}, 1, []string{bad + ":1: invalid character", bad + ":3"}},
		{[]string{"NODE_CONFIG=" + syntax}, []string{"check"}, 1, []string{syntax + ":3: invalid character '}'"}},
		{[]string{"NODE_CONFIG=" + kind}, []string{"check"}, 1, []string{kind + ":4: settings.fleet_size: a whole number is expected, not \"many\"", kind + ":5: settings.classes[1].aim_ms: a number", kind + ":6: limits: an object"}},
		{[]string{"NODE_CONFIG=" + value}, []string{"check"}, 1, []string{
			value + ":1: settings.limits.send_cap: at least 1 is expected, not 0", value + ":2: settings.classes[0].effect: idempotency_key, non_idempotent, read_like is expected, not \"\"",
			value + ":3: settings.classes[1].dedup_window_ms", value + ":4: limits.sockets: at least 32", value + ":5: seed"}},
		{[]string{"NODE_CONFIG=" + bare}, []string{"check"}, 1, []string{bare + ": listen: an address", bare + ": discovery: the registry's"}},
		{[]string{"NODE_CONFIG=" + config}, []string{"--operator", bad}, 1, []string{bad + ":3"}},
	} {
		cmd := exec.Command(os.Args[0], c.args...)
		cmd.Env = append(os.Environ(), append(c.env, "RUN_SPOKEGW=1")...)
		out, _ := cmd.CombinedOutput()
		if code := cmd.ProcessState.ExitCode(); code != c.code {
			t.Errorf("%v %v: exit code %d, want %d\n%s", c.env, c.args, code, c.code, out)
		}
		for _, want := range c.want {
			if !strings.Contains(string(out), want) {
				t.Errorf("%v %v: %q is not in\n%s", c.env, c.args, want, out)
			}
		}
	}
}

// The example in deploy has every setting and no fault.
func TestExampleFile(t *testing.T) {
	const example = "../../deploy/operator.toml"
	f, err := operator.Load(example)
	if err == nil {
		err = f.Check([]string{"map-tile", "status-report"})
	}
	if err != nil {
		t.Fatal(err)
	}
}

// The lab serves, prints its table, and ends whole when it is told to.
func TestLab(t *testing.T) {
	cmd := exec.Command(os.Args[0], "lab", "--load", "0.3")
	cmd.Env = append(os.Environ(), "RUN_SPOKEGW=1")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	lines := make(chan string, 1000)
	go func() {
		defer close(lines)
		for scan := bufio.NewScanner(out); scan.Scan(); {
			lines <- scan.Text()
		}
	}()
	addr := ""
	for rows := 0; rows < 4; {
		line := await(t, "a line of the lab", lines)
		if at, ok := strings.CutPrefix(line, "The sidecar listens at "); ok {
			addr = strings.TrimSuffix(strings.Fields(at)[0], ".")
		}
		var second, asked, inTime int
		var team string
		if n, _ := fmt.Sscan(line, &second, &team, &asked, &inTime); n == 4 {
			if rows++; inTime == 0 {
				t.Errorf("nothing is served in time: %s", line)
			}
		}
	}
	resp, err := http.Get("http://" + addr + "/health/ready")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if err := cmd.Process.Signal(os.Interrupt); err != nil {
		t.Fatal(err)
	}
	for range lines { // to its end
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the lab ended with %v", err)
	}
}
