package upstream

import (
	"testing"
	"testing/synctest"
	"time"
)

// An attempt ends when its time is up, or its answer has begun and nothing more comes for
// answerPatience, whichever is first, and at no other time; the next one on the connection
// is not ended by what was set for the one before.
func TestClock(t *testing.T) {
	const step = answerPatience / 2
	for name, c := range map[string]struct {
		play  func(k *clock, end *Ending)
		after time.Duration // from the start of the latest attempt; 0: it is never ended
		cause error
	}{
		"silence": {func(k *clock, end *Ending) {}, 10 * step, errTimedOut},
		"an answer that stops": {func(k *clock, end *Ending) {
			time.Sleep(step)
			k.begin()
		}, 3 * step, errStopped},
		"pieces": {func(k *clock, end *Ending) {
			k.begin()
			for range 5 {
				time.Sleep(step)
				k.moved()
			}
		}, 7 * step, errStopped},
		"pieces beyond its time": {func(k *clock, end *Ending) {
			k.begin()
			for range 9 {
				time.Sleep(step)
				k.moved()
			}
		}, 10 * step, errTimedOut},
		"whole": {func(k *clock, end *Ending) {
			k.begin()
			k.whole()
		}, 10 * step, errTimedOut},
		"passed on": {func(k *clock, end *Ending) {
			k.begin()
			k.whole()
			k.allow(time.Time{})
		}, 0, nil},
		"a body that took long": {func(k *clock, end *Ending) {
			time.Sleep(9 * step)
			k.allow(time.Now().Add(10 * step))
		}, 19 * step, errTimedOut},
		"the next attempt": {func(k *clock, end *Ending) {
			k.begin()
			time.Sleep(step)
			k.stop()
			time.Sleep(step / 2)
			k.start(end, time.Now().Add(10*step))
		}, 11*step + step/2, errTimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				end, begun := new(Ending), time.Now()
				k := &clock{}
				defer k.close()
				k.start(end, begun.Add(10*step))
				c.play(k, end)
				select {
				case <-end.Done():
				case <-time.After(100 * step):
				}
				if end.Cause() != c.cause || c.cause != nil && time.Since(begun) != c.after {
					t.Errorf("ended after %v by %v, want %v and %v", time.Since(begun), end.Cause(), c.after, c.cause)
				}
			})
		})
	}
}
