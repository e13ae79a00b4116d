package federation

import (
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/process"
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

// refused is a request that was answered 503.
func refused(from, took int) lab.Result {
	r := request(lab.Answered, from, took, sent(0, from))
	r.Status = 503
	return r
}

// What is excused is what was really cut off.
func TestVerdicts(t *testing.T) {
	kill := process.Disturbance{Cause: process.Killed, From: at(1000), Ended: at(1010), Until: at(1200)}
	down := process.Disturbance{Cause: process.Killed, From: at(1000), Ended: at(1010)}
	end := process.Disturbance{Cause: process.Told, From: at(1000), Ended: at(1700), Until: at(1800)}
	still := process.Disturbance{Cause: process.Stopped, From: at(1000), Until: at(1600)}
	long := process.Disturbance{Cause: process.Stopped, From: at(1000), Until: at(7000)}
	const never = 1 << 20
	var held lab.HoldUps
	held.Note(at(20000), at(20500))
	for _, c := range []struct {
		is      string
		done    []process.Disturbance
		result  lab.Result
		reached int // an endpoint, at
		want    verdict
	}{
		{"open at the kill", []process.Disturbance{kill}, request(lab.Broken, 900, 105, sent(0, 900)), 910, lost},
		{"open at the kill, seen while the next one serves", []process.Disturbance{kill}, request(lab.Broken, 900, 600, sent(0, 900)), 910, lost},
		{"sent between the kill and its end", []process.Disturbance{kill}, request(lab.Broken, 1003, 5, sent(1003, 1003)), never, lost},
		{"broken before the kill", []process.Disturbance{kill}, request(lab.Broken, 900, 50, sent(0, 900)), 910, failed},
		{"broken by the next process, while that gets ready", []process.Disturbance{kill}, request(lab.Broken, 1100, 50, sent(1100, 1100)), 1110, failed},
		{"broken by the next process", []process.Disturbance{kill}, request(lab.Broken, 1300, 50, sent(1250, 1300)), 1310, failed},
		{"broken by a process that goes on", nil, request(lab.Broken, 900, 50, sent(0, 900)), 910, failed},
		{"broken by a process that stood still", []process.Disturbance{still}, request(lab.Broken, 900, 800, sent(0, 900)), 910, failed},
		{"broken by a process that is to end", []process.Disturbance{end}, request(lab.Broken, 900, 700, sent(0, 900)), 910, failed},
		{"a new connection broken by a process that is to end", []process.Disturbance{end}, request(lab.Broken, 1100, 50, sent(1100, 1100)), never, failed},
		{"the same, when clients make no new ones", []process.Disturbance{end}, request(lab.Broken, 1500, 50, sent(1500, 1500)), never, lost},
		{"the same, and it was sent on", []process.Disturbance{end}, request(lab.Broken, 1500, 50, sent(1500, 1500)), 1510, failed},
		{"cut off by the kill of a process that was not restarted", []process.Disturbance{down}, request(lab.Broken, 900, 105, sent(0, 900)), 910, lost},

		{"reset by the kill before the client knew of its connection", []process.Disturbance{kill}, request(lab.Broken, 990, 100), never, lost},
		{"the same, without a kill", nil, request(lab.Broken, 990, 100), never, failed},
		{"the same, of the next process", []process.Disturbance{kill}, request(lab.Broken, 1250, 50), never, failed},

		{"not connected after the kill", []process.Disturbance{kill}, request(lab.Unconnected, 1100, 1), never, notConnected},
		{"not connected after the kill, and nobody was started", []process.Disturbance{down}, request(lab.Unconnected, 9000, 1), never, notConnected},
		{"not connected before the kill", []process.Disturbance{kill}, request(lab.Unconnected, 900, 1), never, failed},
		{"not connected when the next process serves", []process.Disturbance{kill}, request(lab.Unconnected, 1300, 1), never, failed},
		{"not connected to a process that goes on", nil, request(lab.Unconnected, 900, 1), never, failed},
		{"not connected to a process that stands still", []process.Disturbance{still}, request(lab.Unconnected, 1100, 1), never, failed},
		{"not connected right after SIGTERM", []process.Disturbance{end}, request(lab.Unconnected, 1100, 1), never, failed},
		{"not connected when clients make no new connections", []process.Disturbance{end}, request(lab.Unconnected, 1500, 1), never, notConnected},

		{"timed out beside a kill", []process.Disturbance{kill}, request(lab.TimedOut, 900, 7000, sent(900, 900)), 910, failed},
		{"timed out of a process that stood still for a while", []process.Disturbance{still}, request(lab.TimedOut, 900, 7000, sent(900, 900)), 910, failed},
		{"timed out of a process that stands still past its time", []process.Disturbance{long}, request(lab.TimedOut, 900, 7000, sent(900, 900)), 910, lost},
		{"timed out of a process that went on before its time was over", []process.Disturbance{long}, request(lab.TimedOut, 2100, 7000, sent(900, 2100)), 2110, failed},
		{"refused by a process that stood still meanwhile", []process.Disturbance{still}, refused(900, 800), never, disturbed},
		{"refused by a process that stood still later", []process.Disturbance{still}, refused(900, 50), never, other},
		{"refused by a process that is killed", []process.Disturbance{kill}, refused(900, 200), never, other},
		{"answered late", nil, request(lab.Answered, 900, 5600, sent(900, 900)), 910, failed},
		{"answered a little late", nil, request(lab.Answered, 900, 5500, sent(900, 900)), 910, served},
		{"answered late by a process that stood still past its time", []process.Disturbance{long}, request(lab.Answered, 900, 6150, sent(900, 900)), 910, lost},
		{"answered late, as this process was held up", nil, request(lab.Answered, 19900, 5900, sent(19900, 19900)), 19910, served},
		{"answered later than that", nil, request(lab.Answered, 19900, 6100, sent(19900, 19900)), 19910, failed},
		{"not sent", []process.Disturbance{kill}, request(lab.Unsent, 1000, 0), never, failed},
		{"no answer at all", []process.Disturbance{kill}, request(lab.Spoilt, 900, 200, sent(0, 900)), 910, failed},

		{"closed under a request that was sent on, and sent again", nil, request(lab.Answered, 900, 50, sent(0, 900), sent(920, 920)), 910, failed},
		{"closed over a request that was not read, and sent again", nil, request(lab.Answered, 900, 50, sent(0, 900), sent(920, 920)), 930, served},
		{"cut off by a kill, and sent again", []process.Disturbance{kill}, request(lab.Answered, 900, 400, sent(0, 900), sent(1210, 1210)), 910, served},
		{"closed under a request that was sent on, by a process that ends, and sent again", []process.Disturbance{end}, request(lab.Unconnected, 1600, 200, sent(0, 1600)), 1610, failed},
		{"answered by a process that is killed later", []process.Disturbance{kill}, request(lab.Answered, 900, 99, sent(0, 900)), 910, served},
	} {
		if c.result.Ending == lab.Answered && c.result.Status == 0 {
			c.result.Status = 200
		}
		reached := func(_ string, by time.Time) bool { return !by.Before(at(c.reached)) }
		seen := evidence{c.done, reached, &held}
		if got := seen.judge(&c.result); got != c.want {
			t.Errorf("%s: verdict %d, %d is expected", c.is, got, c.want)
		}
	}
}
