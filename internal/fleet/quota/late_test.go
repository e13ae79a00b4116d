package quota

import (
	"testing"
	"time"
)

// tell has a steward and a holder exchange a report and its reply.
func tell(s *Steward, h *Participant, now time.Duration, demand Part) Reply {
	r, _ := h.Tick(now, demand, []string{s.name})
	reply := s.HandleReport(now, r)[0]
	h.HandleReply(now, reply)
	return reply
}

// A word that comes late, when its sender or its receiver has begun anew with somebody,
// counts for nothing: what it says has been given to others since.
func TestLateWord(t *testing.T) {
	const ms = time.Millisecond
	plan := []Gateway{{"a", "p", Whole / 2}, {"b", "q", Whole / 4}, {"c", "r", Whole / 4}}
	set := Settings{Lease: time.Second, Period: 200 * ms, Drift: 0.01}

	t.Run("of a steward that was left and come back to", func(t *testing.T) {
		s := NewSteward(0, set, "a", 1, plan)
		h, owner := NewParticipant(0, set, "c", 1, Whole/4), NewParticipant(0, set, "a", 1, Whole/2)
		var large Reply
		now := 1500 * ms // nothing is fresh any more
		for range 4 {
			now += 60 * ms
			tell(s, owner, now, 0)
			large = tell(s, h, now, Whole)
		}
		now += 60 * ms
		tell(s, h, now, 0) // it wants no more, and has taken the word that it has none
		tell(s, h, now+ms, 0)
		if large.Grant < Whole/4 || s.account("c").grants.most(s.now) > 0 {
			t.Fatalf("granted %v, and then %v", large.Grant, s.account("c").grants)
		}
		h.Tick(now+2*ms, 0, []string{"b"})
		h.Tick(now+3*ms, 0, []string{"a"})
		h.HandleReply(now+4*ms, large)
		if l := h.Limit(now + 4*ms); l.Grant > 0 {
			t.Errorf("  1. the steward is left and come back to, and then:\nthen: all together may admit more than the quota\nit holds %v again", l)
		}
	})
	t.Run("to a steward that has started anew", func(t *testing.T) {
		s := NewSteward(0, set, "a", 1, plan)
		h, other := NewParticipant(0, set, "b", 1, Whole/4), NewParticipant(0, set, "c", 1, Whole/4)
		now := 1500 * ms
		for range 3 {
			now += 60 * ms
			tell(s, other, now, Whole)
			tell(s, h, now, 0)
		}
		early, _ := h.Tick(now, 0, []string{"a"})
		late, _ := h.Tick(now, 0, []string{"a"})
		sent := now
		if late.Lend == 0 {
			t.Fatal("nothing is ceded")
		}
		now += 900 * ms
		s = NewSteward(now, set, "a", 2, plan)
		s.HandleReport(now, early)
		for range late.Ack {
			s.reply(now, s.account("b")) // as it does when others wait
		}
		s.HandleReport(now, late)
		if after := int64((sent + set.surely(set.Lease)) / s.slot); s.account("b").cessions.most(after) > 0 {
			t.Errorf("  1. a report comes late, to a steward that has started anew:\nthen: all together may admit more than the quota\nit relies on %v in slot %d, when the owner has it back", s.account("b").cessions, after)
		}
	})
	t.Run("of a gateway that has just started", func(t *testing.T) {
		s := NewSteward(0, set, "a", 1, plan)
		now := 1500 * ms
		h, other := NewParticipant(now, set, "b", 1, Whole/4), NewParticipant(0, set, "c", 1, Whole/4)
		ceded := Part(0)
		for ; now < 2500*ms; now += 100 * ms { // what its former self ceded may be in use, through another steward
			tell(s, other, now, Whole)
			tell(s, h, now, 0)
			r, _ := h.NextReport(now)
			ceded = max(ceded, r.Lend)
		}
		if ceded > 0 {
			t.Errorf("  1. a gateway that may have ceded its part starts, and cedes it again:\nthen: all together may admit more than the quota\nit cedes %v", ceded)
		}
		for ; now < 4*time.Second && ceded == 0; now += 100 * ms {
			tell(s, other, now, Whole)
			tell(s, h, now, 0)
			r, _ := h.NextReport(now)
			ceded = r.Lend
		}
		if ceded == 0 {
			t.Error("nor does it cede anything later")
		}
	})
}
