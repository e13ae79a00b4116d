package upstream

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
)

// Whatever the order of an end, of another, of what is to be done and of taking that back:
// the first cause counts, what is set last and not taken back before the end is done once,
// nothing that was taken back is, and who waits is told.
func TestEndingInEveryOrder(t *testing.T) {
	first, second := errors.New("first"), errors.New("second")
	steps := []string{"end first", "end second", "set", "set again", "take back", "wait"}
	var orders func(left, order []string)
	orders = func(left, order []string) {
		if len(left) == 0 {
			synctest.Test(t, func(t *testing.T) { endingInOrder(t, order, first, second) })
		}
		for i, s := range left {
			orders(slices.Delete(slices.Clone(left), i, i+1), append(slices.Clone(order), s))
		}
	}
	orders(steps, nil)
}

func endingInOrder(t *testing.T, order []string, first, second error) {
	var e Cancellation
	var cause error
	set, done, told := "", map[string]int{}, false
	want := map[string]int{}
	at := func(what string) {
		e.OnCancel(func() { done[what]++ })
		if set = what; cause != nil {
			want[what]++
			set = ""
		}
	}
	end := func(by error) {
		e.Cancel(by)
		if cause == nil {
			if cause = by; set != "" {
				want[set]++
			}
		}
		synctest.Wait()
	}
	for _, step := range order {
		switch step {
		case "end first":
			end(first)
		case "end second":
			end(second)
		case "set", "set again":
			at(step)
		case "take back":
			if took := e.ClearOnCancel(); took != (cause == nil) {
				t.Errorf("%v: taken back %v, ended by %v", order, took, cause)
			}
			set = ""
		case "wait":
			go func() { <-e.Done(); told = true }()
		}
		if (e.Err() == nil) != (cause == nil) || e.Cause() != cause {
			t.Errorf("%v: ended by %v, want %v", order, e.Cause(), cause)
		}
	}
	synctest.Wait()
	if !told || done["set"] != want["set"] || done["set again"] != want["set again"] {
		t.Errorf("%v: done %v, want %v; told %v", order, done, want, told)
	}
}

// A context that waits on it ends with it, and leaves nothing behind once it is ended itself.
func TestEndingAsAContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var e Cancellation
		ctx, cancel := context.WithCancel(&e)
		defer cancel()
		e.Cancel(ErrCancelled)
		synctest.Wait()
		if ctx.Err() == nil {
			t.Error("a context goes on after what it came of has ended")
		}
	})
}
