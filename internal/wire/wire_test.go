package wire

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"spokegw/policy"
)

const sampleOptions = `{"classes":[{"aim_ms":100,"hard_limit_ms":400,"effect":"read_like","worth":1,"new_key":{"x":[1]}}],` +
	`"fleet_size":2,"limits":{"send_cap":3,"cancelling":true},"rules":{"cold_ms":1000,"start_capacity":0.2,"ask_within_ms":5000},"unknown":7}`

func hello(who int, opts string) string {
	return fmt.Sprintf("instance\twho=%d\nhello\tinit_seed=%d\toptions=%s\n", who, who+5, opts)
}

const savedList = "register\tset_id=0\titems=2\nendpoint\tmachine=0\tgroup=0\treadiness=IN\tregion_part=0\tendpoint=51\tnominal=1\n" +
	"endpoint\tendpoint=52\n" + "announce\thow=SAVED\tepoch=1\tset_id=0\n"

func batch(body string) string { return "tick\tsim_time_ms=1000.5\n" + body + "eof_batch\n" }

func serve(input string) (string, error) {
	var out bytes.Buffer
	err := Serve(strings.NewReader(input), &out)
	return out.String(), err
}

func TestSendAndRetry(t *testing.T) {
	out, err := serve(batch(hello(3, sampleOptions)+savedList) +
		batch("instance\twho=3\njob_in\txid=9\ttier_class=0\tleft_ms=240.0\tpredicted_ms=12.0\tattrs=1\tnovel=1\nfuture_event\ta=b\n") +
		batch("instance\twho=3\nresult\txid=9\tending=turned_away\tendpoint=51\tshot=0\telapsed_ms=1.5\n") + batch(""))
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(out, "ok\nby\twho=3\nrelay\txid=9\tcap_ms=240.000\tendpoint=5") || strings.Count(out, "relay") != 2 || strings.Count(out, "ok\n") != 4 {
		t.Errorf("reply %q", out)
	}
}

func TestRepliesNameInstances(t *testing.T) {
	out, err := serve(batch(hello(1, sampleOptions)+savedList+hello(2, sampleOptions)+"announce\thow=SAVED\tepoch=1\tset_id=0\n"+
		"instance\twho=1\njob_in\txid=1\tleft_ms=9\ninstance\twho=2\njob_in\txid=2\tleft_ms=9\ninstance\twho=1\njob_in\txid=3\tleft_ms=9\n") +
		batch("instance\twho=1\ndetach\n"+hello(1, sampleOptions)))
	if err != nil || strings.Count(out, "by\twho=1") != 2 || strings.Count(out, "by\twho=2") != 1 {
		t.Errorf("error %v, reply %q", err, out)
	}
}

func TestInvalidSettingsFault(t *testing.T) {
	for field, opts := range map[string]string{
		"classes":    `{"fleet_size":1}`,
		"fleet_size": strings.Replace(sampleOptions, `"fleet_size":2`, `"fleet_size":0`, 1),
		"effect":     strings.Replace(sampleOptions, "read_like", "magic", 1),
	} {
		out, err := serve(batch(hello(1, opts) + savedList))
		if err != nil || !strings.Contains(out, "fault\ttext=settings: ") || !strings.Contains(out, field) {
			t.Errorf("%s: error %v, reply %q", field, err, out)
		}
	}
}

func TestMalformedInputLineNumbers(t *testing.T) {
	started := batch(hello(1, sampleOptions) + savedList)
	lines := strings.Count(started, "\n")
	for _, body := range []string{
		"instance\twho=1\njob_in\txid=no\tleft_ms=5\n",
		"instance\twho=1\njob_in\tleft_ms=5\n",
		"instance\twho=1\njob_in\txid=1\tleft_ms=NaN\n",
		"instance\twho=1\njob_in\txid\n",
		"instance\twho=1\nresult\txid=1\tending=odd\tendpoint=51\n",
		"instance\twho=8\nvanished\txid=1\n",
		"instance\twho=1\nannounce\thow=FULL\tset_id=4\n",
		"instance\twho=1\nannounce\thow=LATER\tset_id=0\n",
		"instance\twho=1\ntimeout_fired\ttoken=zzz\n",
		"instance\twho=-1\n",
		"instance\twho=1\nhello\tinit_seed=1\toptions={\n",
	} {
		_, err := serve(started + batch(body))
		want := fmt.Sprintf("line %d: ", lines+1+strings.Count(body, "\n"))
		if err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: error %v, want %q", body, err, want)
		}
	}
	for _, input := range []string{"job_in\txid=1\n", "tick\n" + "eof_batch\n",
		batch("register\tset_id=0\titems=1\nendpoint\tmachine=0\n"), batch("register\tset_id=0\titems=2\nendpoint\tendpoint=1\n")} {
		if _, err := serve(input); err == nil {
			t.Errorf("%q was accepted", input)
		}
	}
}

func TestEndOfInput(t *testing.T) {
	if _, err := serve(batch("")); err != nil {
		t.Errorf("between batches: %v", err)
	}
	if _, err := serve("tick\tsim_time_ms=1\n"); err == nil {
		t.Error("inside a batch: no error")
	}
}

func TestPanicFault(t *testing.T) {
	h := &host{lastNamed: -1, current: &instance{}}
	h.run(func(*policy.Balancer) []policy.Action { panic("out of\trange") })
	if got := string(h.reply); got != "by\twho=0\nfault\ttext=out of range\n" || !h.current.failed {
		t.Errorf("reply %q", got)
	}
}

func FuzzServe(f *testing.F) {
	started := batch(hello(1, sampleOptions) + savedList)
	f.Add(started + batch("instance\twho=1\njob_in\txid=9\tleft_ms=24\n"))
	f.Add(started + batch("instance\twho=1\nresult\txid=9\tending=served\tcomplete=1\tendpoint=51\tshot=0\tusage=1,2\n"))
	f.Add(batch("register\tset_id=0\titems=99999999\n"))
	f.Add("tick\tsim_time_ms=-1e300\n\n\neof_batch\n")
	f.Fuzz(func(t *testing.T, input string) {
		out, err := serve(input)
		if strings.Contains(out, "fault\ttext=runtime error") {
			t.Errorf("panic (%v): %q", err, out)
		}
	})
}
