package sidecar

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"spokegw/internal/core"
	"spokegw/internal/management"
	"spokegw/internal/moves"
	"spokegw/internal/moves/judge"
	"spokegw/internal/operator"
)

// movePlans returns the moves that an operator's file has for a service.
func (s *Sidecar) movePlans(f *operator.File, service string) (plans []core.MovePlan) {
	if f == nil {
		return nil
	}
	for i := range f.Moves {
		if m := &f.Moves[i]; m.Service == service {
			plans = append(plans, core.MovePlan{Config: m.Config, GuardsFor: m.GuardsOf})
		}
	}
	return plans
}

// moveCommand returns the call that sends an operator's command to a move, whichever service
// has it.
func (s *Sidecar) moveCommand(command string) func(args []string) (string, error) {
	return func(args []string) (string, error) {
		err := core.ErrNoMove
		s.forEachService(func(_ string, service *core.Service) {
			if e := service.CommandMove(args[0], command); !errors.Is(e, core.ErrNoMove) {
				err = e
			}
		})
		if err != nil {
			return "", err
		}
		s.saveMoves()
		s.movesKeeper.Flush(diskTimeout) // the answer confirms that the change is on disk
		return management.Yes, nil
	}
}

// addMoveEvidence adds observations of a move's pools made by others.
func (s *Sidecar) addMoveEvidence(args []string) (string, error) {
	kind := slices.Index([]string{"failed", "late", "turned-away", "slow"}, args[2])
	if kind < 0 {
		return "", fmt.Errorf("failed, late, turned-away or slow is expected, not %.40q", args[2])
	}
	var n [4]int
	for i, text := range args[3:] {
		var err error
		if n[i], err = strconv.Atoi(text); err != nil {
			return "", fmt.Errorf("a number of requests is expected, not %.40q", text)
		}
	}
	err := core.ErrNoMove
	s.forEachService(func(_ string, service *core.Service) {
		if e := service.AddMoveEvidence(args[0], args[1], moves.FaultKind(kind), judge.Block{New: n[0], NewBad: n[1], Old: n[2], OldBad: n[3]}); !errors.Is(e, core.ErrNoMove) {
			err = e
		}
	})
	if err != nil {
		return "", err
	}
	return management.Yes, nil
}

// showMoves writes a line for each move and one for each row of its evidence.
func (s *Sidecar) showMoves([]string) (string, error) {
	var b strings.Builder
	s.forEachService(func(_ string, service *core.Service) {
		for _, m := range service.Moves() {
			c := &m.Progress
			step := "-"
			if c.Phase.UnderWay() && c.Step < len(m.Plan.Steps) {
				step = fmt.Sprintf("%d/%d", c.Step+1, len(m.Plan.Steps))
			}
			fmt.Fprintf(&b, "move=%s service=%s from=%s to=%s ready=%d/%d phase=%s step=%s share=%.4f got=%.4f for=%s left=%s why=%s lacks=%s\n",
				escapeWord(m.Name), cmp.Or(escapeWord(m.Service), "-"), escapeWord(m.From), escapeWord(m.To), m.Ready[0], m.Ready[1], c.Phase, step, c.Share, m.NewShare,
				m.PhaseAge.Round(time.Second), m.Remaining.Round(time.Second), cmp.Or(escapeWord(c.Why), "-"), cmp.Or(escapeWord(c.WaitingFor), "-"))
			for _, e := range m.Evidence {
				fmt.Fprintf(&b, "evidence=%s class=%s kind=%s new=%.4f old=%.4f judged=%d/%d bad=%d/%d against=%.3g blamed=%.3g needed=%d\n",
					escapeWord(m.Name), escapeWord(e.Class), escapeWord(e.Kind.String()), e.New, e.Old, e.Judged[0], e.Judged[1], e.Bad[0], e.Bad[1], e.WorseEvidence, e.Threshold, e.Needed)
			}
		}
	})
	return b.String() + management.End, nil
}
