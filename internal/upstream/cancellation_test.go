package upstream

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
)

// For every order of two cancellations, setting callbacks and clearing them: the first cause
// counts, the latest callback that is not cleared before the cancellation runs once, no
// cleared one runs, and a waiter on Done returns.
func TestCancellationInEveryOrder(t *testing.T) {
	first, second := errors.New("first"), errors.New("second")
	steps := []string{"cancel first", "cancel second", "set", "set again", "clear callback", "wait"}
	var orders func(left, order []string)
	orders = func(left, order []string) {
		if len(left) == 0 {
			synctest.Test(t, func(t *testing.T) { testCancellationOrder(t, order, first, second) })
		}
		for i, s := range left {
			orders(slices.Delete(slices.Clone(left), i, i+1), append(slices.Clone(order), s))
		}
	}
	orders(steps, nil)
}

func testCancellationOrder(t *testing.T, order []string, first, second error) {
	var c Cancellation
	var cause error
	pending, ran, notified := "", map[string]int{}, false
	want := map[string]int{}
	setCallback := func(name string) {
		c.OnCancel(func() { ran[name]++ })
		if pending = name; cause != nil {
			want[name]++
			pending = ""
		}
	}
	cancel := func(err error) {
		c.Cancel(err)
		if cause == nil {
			if cause = err; pending != "" {
				want[pending]++
			}
		}
		synctest.Wait()
	}
	for _, step := range order {
		switch step {
		case "cancel first":
			cancel(first)
		case "cancel second":
			cancel(second)
		case "set", "set again":
			setCallback(step)
		case "clear callback":
			if cleared := c.ClearOnCancel(); cleared != (cause == nil) {
				t.Errorf("%v: cleared %v, cancelled by %v", order, cleared, cause)
			}
			pending = ""
		case "wait":
			go func() { <-c.Done(); notified = true }()
		}
		if (c.Err() == nil) != (cause == nil) || c.Cause() != cause {
			t.Errorf("%v: cancelled by %v, want %v", order, c.Cause(), cause)
		}
	}
	synctest.Wait()
	if !notified || ran["set"] != want["set"] || ran["set again"] != want["set again"] {
		t.Errorf("%v: callbacks ran %v, want %v; Done closed %v", order, ran, want, notified)
	}
}

// A child context is cancelled with it, and leaves no goroutine behind after its own cancellation.
func TestCancellationAsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Cancellation
		ctx, cancel := context.WithCancel(&c)
		defer cancel()
		c.Cancel(ErrCancelled)
		synctest.Wait()
		if ctx.Err() == nil {
			t.Error("a child context is not cancelled with its parent")
		}
	})
}
