package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"spokegw/internal/moves"
	"spokegw/internal/operator"
	"spokegw/internal/sidecar"
)

// moveCommand returns spokegw move with its subcommands.
func (c *cli) moveCommand() *cobra.Command {
	move := &cobra.Command{Use: "move", Short: "a word on a move between pools, or what one would do"}
	for _, w := range []struct{ use, short string }{
		{"begin", "begin a move"}, {"hold", "keep it at its step; it may still be undone"},
		{"go-on", "let it go on that is held or has halted"}, {"undo", "have it go back, also when it is done"},
	} {
		move.AddCommand(c.addConnectionFlags(c.requestCommand(w.use, w.short, w.use+"-move", []string{"NAME"}), false))
	}
	classRates := rates{}
	plan := c.newCommand(&cobra.Command{Use: "plan", Short: "what the moves of an operator's file would do, against the list of NODE_CONFIG", Example: "  spokegw move plan --rate map-tile=300 next.toml"},
		[]string{"FILE"}, func(_ *cobra.Command, args []string) error { return planMoves(args[0], classRates, c.out) })
	plan.Flags().Var(classRates, "rate", "requests a second of a class, `CLASS=N`; again for more")
	move.AddCommand(plan)
	return move
}

// parseFields returns the name=value fields of a line.
func parseFields(line string) map[string]string {
	m := map[string]string{}
	for _, f := range strings.Fields(line) {
		name, value, _ := strings.Cut(f, "=")
		m[name] = value
	}
	return m
}

// moves prints the moves of a sidecar and the evidence for their guards.
func (c *cli) moves(ctx context.Context) error {
	lines, err := c.callManagement(ctx, "show-moves")
	if err != nil {
		return err
	}
	if c.json {
		for _, line := range lines {
			if err := c.print(parseFields(line)); err != nil {
				return err
			}
		}
		return nil
	}
	return printMoves(lines, c.out)
}

func printMoves(lines []string, out io.Writer) error {
	if len(lines) == 0 {
		fmt.Fprintln(out, "there are no moves")
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MOVE\tSERVICE\tFROM\tTO\tREADY\tPHASE\tSTEP\tSHARE\tGOT\tFOR\tLEFT, AT LEAST\tWAITS FOR, OR WHY")
	plain := func(text string) string { return strings.ReplaceAll(text, "_", " ") }
	var evidence []map[string]string
	for _, line := range lines {
		f := parseFields(line)
		if f["evidence"] != "" {
			evidence = append(evidence, f)
			continue
		}
		why := f["lacks"]
		if why == "-" {
			why = f["why"]
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", f["move"], f["service"], f["from"], f["to"], f["ready"], f["phase"], f["step"], percent(f["share"]), percent(f["got"]), f["for"], f["left"], plain(why))
	}
	if len(evidence) > 0 {
		fmt.Fprintln(w, "\nMOVE\tCLASS\tFAULT\tNEW POOL\tOLD POOL\tJUDGED NEW/OLD\tEVIDENCE AGAINST\tUNDONE AT\tSTILL NEEDED")
		for _, f := range evidence {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", f["evidence"], f["class"], plain(f["kind"]), percent(f["new"]), percent(f["old"]), f["judged"], f["against"], f["blamed"], f["needed"])
		}
	}
	return w.Flush()
}

func percent(text string) string {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return text
	}
	return strconv.FormatFloat(100*x, 'g', 4, 64) + "%"
}

// rates is a flag value: requests per second by class.
type rates map[string]float64

func (r rates) String() string { return "" }
func (r rates) Type() string   { return "rate" }
func (r rates) Set(text string) error {
	class, number, ok := strings.Cut(text, "=")
	x, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil || !(x > 0 && x < 1e9) {
		return fmt.Errorf("CLASS=REQUESTS-A-SECOND is expected, not %.60q", text)
	}
	r[class] = x
	return nil
}

// planMoves prints what the moves of an operator's file would do with the endpoints
// that the configuration lists: which endpoints each pool has, and how long each step
// takes at least for its guards to have enough evidence. It changes nothing.
func planMoves(path string, classRates rates, out io.Writer) error {
	f, err := operator.Load(path)
	if err != nil {
		return err
	}
	config, err := sidecar.LoadConfig(os.Getenv)
	if err == nil {
		err = config.CheckOperator(f)
	}
	if err != nil {
		return err
	}
	if len(f.Moves) == 0 {
		fmt.Fprintln(out, "the file has no moves")
	}
	for i := range f.Moves {
		printMovePlan(out, &f.Moves[i], f, &config, classRates)
	}
	return nil
}

func printMovePlan(out io.Writer, m *operator.Move, f *operator.File, config *sidecar.Config, classRates rates) {
	service := f.Services[slices.IndexFunc(f.Services, func(s operator.Service) bool { return s.Name == m.Service })]
	fmt.Fprintf(out, "move %s of %s: from %s to %s\n", m.Name, m.Service, m.From.String(), m.To.String())
	if !service.Platform {
		fmt.Fprintln(out, "  endpoints: not known here, the service has a list of its own")
	} else {
		var from, to, both, neither []string
		for _, e := range config.Known.Servers {
			switch isFrom, isTo := m.From.Matches(&e), m.To.Matches(&e); {
			case isFrom && isTo:
				both = append(both, e.ID)
			case isFrom:
				from = append(from, e.ID)
			case isTo:
				to = append(to, e.ID)
			default:
				neither = append(neither, e.ID)
			}
		}
		for _, l := range []struct {
			label string
			ids   []string
		}{{"old pool", from}, {"new pool", to}, {"in both, so in neither", both}, {"not concerned", neither}} {
			fmt.Fprintf(out, "  %s: %d %s\n", l.label, len(l.ids), abbreviate(l.ids))
		}
	}
	classes := config.Settings.Classes
	if !service.Platform {
		classes = nil
		for _, c := range service.Classes {
			classes = append(classes, c.Name)
		}
	}
	total := time.Duration(0)
	for _, share := range m.Steps {
		need, slowest := m.StepTime, "its time"
		for _, c := range classes {
			rate := classRates[c] * share
			if rate <= 0 {
				continue
			}
			for k, g := range m.GuardsOf(c) {
				if t := moves.TimeToEvidence(g, moves.FaultKind(k), rate); t > need {
					need, slowest = t, fmt.Sprintf("%s, to tell that not too many are %s", c, moves.FaultKind(k))
				}
			}
		}
		fmt.Fprintf(out, "  %5.4g%%: %v at least, for %s\n", 100*share, need.Round(time.Second), slowest)
		if total > 0 && need > 1<<62-total {
			total = 1 << 62
			continue
		}
		total += need
	}
	fmt.Fprintf(out, "  in all %v, and a watch of %v\n", total.Round(time.Second), m.Watch)
	if len(classRates) == 0 {
		fmt.Fprintln(out, "  --rate CLASS=N tells the requests a second, and with them how long evidence takes")
	}
}

// abbreviate joins the first names of a list.
func abbreviate(ids []string) string {
	const maxShown = 8
	if len(ids) <= maxShown {
		return strings.Join(ids, " ")
	}
	return strings.Join(ids[:maxShown], " ") + " ..."
}
