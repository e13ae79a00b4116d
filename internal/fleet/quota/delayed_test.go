package quota

import (
	"testing"
	"time"
)

// exchange has a steward and a participant exchange a report and its reply.
func exchange(s *Steward, p *Participant, now time.Duration, demand Part) Reply {
	r, _ := p.Tick(now, demand, []string{s.name})
	reply := s.HandleReport(now, r)[0]
	p.HandleReply(now, reply)
	return reply
}

// A delayed message whose sender or receiver has since restarted or changed its peer must not
// count: what it gives has been given to others since.
func TestDelayedMessages(t *testing.T) {
	const ms = time.Millisecond
	gateways := []Gateway{{"a", "p", Whole / 2}, {"b", "q", Whole / 4}, {"c", "r", Whole / 4}}
	settings := Settings{Lease: time.Second, Period: 200 * ms, Drift: 0.01}

	t.Run("from a steward selected again", func(t *testing.T) {
		s := NewSteward(0, settings, "a", 1, gateways)
		h, owner := NewParticipant(0, settings, "c", 1, Whole/4), NewParticipant(0, settings, "a", 1, Whole/2)
		var large Reply
		now := 1500 * ms // after the wait that follows a start
		for range 4 {
			now += 60 * ms
			exchange(s, owner, now, 0)
			large = exchange(s, h, now, Whole)
		}
		now += 60 * ms
		exchange(s, h, now, 0) // it wants no more, and acknowledges the reply without a grant
		exchange(s, h, now+ms, 0)
		if large.Grant < Whole/4 || s.account("c").grants.maxAt(s.nowSlot) > 0 {
			t.Fatalf("granted %v, and then %v", large.Grant, s.account("c").grants)
		}
		h.Tick(now+2*ms, 0, []string{"b"})
		h.Tick(now+3*ms, 0, []string{"a"})
		h.HandleReply(now+4*ms, large)
		if l := h.Limit(now + 4*ms); l.Grant > 0 {
			t.Errorf("  1. another steward is selected, the first one again, and then:\nthen: all together may admit more than the quota\nit holds %v again", l)
		}
	})
	t.Run("to a restarted steward", func(t *testing.T) {
		s := NewSteward(0, settings, "a", 1, gateways)
		h, other := NewParticipant(0, settings, "b", 1, Whole/4), NewParticipant(0, settings, "c", 1, Whole/4)
		now := 1500 * ms
		for range 3 {
			now += 60 * ms
			exchange(s, other, now, Whole)
			exchange(s, h, now, 0)
		}
		early, _ := h.Tick(now, 0, []string{"a"})
		delayed, _ := h.Tick(now, 0, []string{"a"})
		sent := now
		if delayed.Lend == 0 {
			t.Fatal("nothing is lent")
		}
		now += 900 * ms
		s = NewSteward(now, settings, "a", 2, gateways)
		s.HandleReport(now, early)
		for range delayed.Ack {
			s.reply(now, s.account("b")) // as it does when others wait
		}
		s.HandleReport(now, delayed)
		if after := int64((sent + settings.safeWait(settings.Lease)) / s.slotLength); s.account("b").loans.maxAt(after) > 0 {
			t.Errorf("  1. a delayed report reaches a restarted steward:\nthen: all together may admit more than the quota\nit relies on %v in slot %d, when the owner has it back", s.account("b").loans, after)
		}
	})
	t.Run("from a restarted gateway", func(t *testing.T) {
		s := NewSteward(0, settings, "a", 1, gateways)
		now := 1500 * ms
		h, other := NewParticipant(now, settings, "b", 1, Whole/4), NewParticipant(0, settings, "c", 1, Whole/4)
		lent := Part(0)
		for ; now < 2500*ms; now += 100 * ms { // loans of its previous incarnation may be in use, through another steward
			exchange(s, other, now, Whole)
			exchange(s, h, now, 0)
			r, _ := h.NextReport(now)
			lent = max(lent, r.Lend)
		}
		if lent > 0 {
			t.Errorf("  1. a gateway restarts whose previous incarnation may have lent its part, and lends it again:\nthen: all together may admit more than the quota\nit lends %v", lent)
		}
		for ; now < 4*time.Second && lent == 0; now += 100 * ms {
			exchange(s, other, now, Whole)
			exchange(s, h, now, 0)
			r, _ := h.NextReport(now)
			lent = r.Lend
		}
		if lent == 0 {
			t.Error("nor does it lend anything later")
		}
	})
}
