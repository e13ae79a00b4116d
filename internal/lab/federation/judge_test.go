package federation

import (
	"testing"
	"time"

	"spokegw/internal/lab"
)

// begun is when the scenes of these tests begin.
var begun = time.Now()

// at is a time of a scene, in milliseconds.
func at(ms int) time.Time { return begun.Add(time.Duration(ms) * time.Millisecond) }

// request is one that was sent at a time and took so long, in milliseconds.
func request(ending lab.Ending, from, took int, sends ...lab.Send) lab.Result {
	return lab.Result{ID: "r", At: at(from), Took: time.Duration(took) * time.Millisecond, Ending: ending, Sends: sends}
}

// sent is a time that a request was given to a connection that was made at another.
func sent(made, when int) lab.Send {
	return lab.Send{Connection: lab.Connection{Begun: at(made), Made: at(made)}, At: at(when)}
}

// What is excused is what was really cut off.
func TestVerdicts(t *testing.T) {
	kill := disturbance{cause: killed, from: at(1000), ended: at(1010), until: at(1200)}
	down := disturbance{cause: killed, from: at(1000), ended: at(1010)}
	end := disturbance{cause: told, from: at(1000), ended: at(1700), until: at(1800)}
	still := disturbance{cause: stopped, from: at(1000), until: at(1600)}
	long := disturbance{cause: stopped, from: at(1000), until: at(7000)}
	const never = 1 << 20
	var held holdUps
	held.note(at(20000), at(20500))
	for _, c := range []struct {
		is      string
		done    []disturbance
		result  lab.Result
		reached int // an endpoint, at
		want    verdict
	}{
		{"open at the kill", []disturbance{kill}, request(lab.Broken, 900, 105, sent(0, 900)), 910, lost},
		{"open at the kill, seen while the next one serves", []disturbance{kill}, request(lab.Broken, 900, 600, sent(0, 900)), 910, lost},
		{"sent between the kill and its end", []disturbance{kill}, request(lab.Broken, 1003, 5, sent(1003, 1003)), never, lost},
		{"broken before the kill", []disturbance{kill}, request(lab.Broken, 900, 50, sent(0, 900)), 910, failed},
		{"broken by the next process, while that gets ready", []disturbance{kill}, request(lab.Broken, 1100, 50, sent(1100, 1100)), 1110, failed},
		{"broken by the next process", []disturbance{kill}, request(lab.Broken, 1300, 50, sent(1250, 1300)), 1310, failed},
		{"broken by a process that goes on", nil, request(lab.Broken, 900, 50, sent(0, 900)), 910, failed},
		{"broken by a process that stood still", []disturbance{still}, request(lab.Broken, 900, 800, sent(0, 900)), 910, failed},
		{"broken by a process that is to end", []disturbance{end}, request(lab.Broken, 900, 700, sent(0, 900)), 910, failed},
		{"a new connection broken by a process that is to end", []disturbance{end}, request(lab.Broken, 1100, 50, sent(1100, 1100)), never, failed},
		{"the same, when clients make no new ones", []disturbance{end}, request(lab.Broken, 1500, 50, sent(1500, 1500)), never, lost},
		{"cut off by the kill of a process that was not restarted", []disturbance{down}, request(lab.Broken, 900, 105, sent(0, 900)), 910, lost},

		{"reset by the kill before the client knew of its connection", []disturbance{kill}, request(lab.Broken, 990, 100), never, lost},
		{"the same, without a kill", nil, request(lab.Broken, 990, 100), never, failed},
		{"the same, of the next process", []disturbance{kill}, request(lab.Broken, 1250, 50), never, failed},

		{"not connected after the kill", []disturbance{kill}, request(lab.Unconnected, 1100, 1), never, notConnected},
		{"not connected after the kill, and nobody was started", []disturbance{down}, request(lab.Unconnected, 9000, 1), never, notConnected},
		{"not connected before the kill", []disturbance{kill}, request(lab.Unconnected, 900, 1), never, failed},
		{"not connected when the next process serves", []disturbance{kill}, request(lab.Unconnected, 1300, 1), never, failed},
		{"not connected to a process that goes on", nil, request(lab.Unconnected, 900, 1), never, failed},
		{"not connected to a process that stands still", []disturbance{still}, request(lab.Unconnected, 1100, 1), never, failed},
		{"not connected right after SIGTERM", []disturbance{end}, request(lab.Unconnected, 1100, 1), never, failed},
		{"not connected when clients make no new connections", []disturbance{end}, request(lab.Unconnected, 1500, 1), never, notConnected},

		{"timed out beside a kill", []disturbance{kill}, request(lab.TimedOut, 900, 7000, sent(900, 900)), 910, failed},
		{"timed out of a process that stood still for a while", []disturbance{still}, request(lab.TimedOut, 900, 7000, sent(900, 900)), 910, failed},
		{"timed out of a process that stands still past its time", []disturbance{long}, request(lab.TimedOut, 900, 7000, sent(900, 900)), 910, lost},
		{"timed out of a process that went on before its time was over", []disturbance{long}, request(lab.TimedOut, 2100, 7000, sent(900, 2100)), 2110, failed},
		{"answered late", nil, request(lab.Answered, 900, 5600, sent(900, 900)), 910, failed},
		{"answered a little late", nil, request(lab.Answered, 900, 5500, sent(900, 900)), 910, served},
		{"answered late by a process that stood still past its time", []disturbance{long}, request(lab.Answered, 900, 6150, sent(900, 900)), 910, lost},
		{"answered late, as this process was held up", nil, request(lab.Answered, 19900, 5900, sent(19900, 19900)), 19910, served},
		{"answered later than that", nil, request(lab.Answered, 19900, 6100, sent(19900, 19900)), 19910, failed},
		{"not sent", []disturbance{kill}, request(lab.Unsent, 1000, 0), never, failed},
		{"no answer at all", []disturbance{kill}, request(lab.Spoilt, 900, 200, sent(0, 900)), 910, failed},

		{"closed under a request that was sent on, and sent again", nil, request(lab.Answered, 900, 50, sent(0, 900), sent(920, 920)), 910, failed},
		{"closed over a request that was not read, and sent again", nil, request(lab.Answered, 900, 50, sent(0, 900), sent(920, 920)), 930, served},
		{"cut off by a kill, and sent again", []disturbance{kill}, request(lab.Answered, 900, 400, sent(0, 900), sent(1210, 1210)), 910, served},
		{"closed under a request that was sent on, by a process that ends, and sent again", []disturbance{end}, request(lab.Unconnected, 1600, 200, sent(0, 1600)), 1610, failed},
		{"answered by a process that is killed later", []disturbance{kill}, request(lab.Answered, 900, 99, sent(0, 900)), 910, served},
	} {
		if c.result.Ending == lab.Answered {
			c.result.Status = 200
		}
		reached := func(_ string, by time.Time) bool { return !by.Before(at(c.reached)) }
		seen := evidence{c.done, reached, held.within}
		if got := seen.judge(&c.result); got != c.want {
			t.Errorf("%s: verdict %d, %d is expected", c.is, got, c.want)
		}
	}
}
