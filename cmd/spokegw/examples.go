package main

import "github.com/spf13/cobra"

// defaultExamples maps the paths of commands that define no example to one.
var defaultExamples = map[string]string{
	"spokegw run":           "  spokegw run --operator deploy/operator.toml --log json",
	"spokegw check":         "  spokegw check --operator deploy/operator.toml",
	"spokegw lab":           "  spokegw lab --surge 3\n  spokegw lab --move failing --seconds 60",
	"spokegw ready":         "  spokegw ready --management 127.0.0.1:9800 && echo it serves",
	"spokegw status":        "  spokegw status --json",
	"spokegw top":           "  spokegw top\n  spokegw top -n 10 --json > rates.json",
	"spokegw members":       "  spokegw members --json",
	"spokegw teams":         "  spokegw teams",
	"spokegw moves":         "  spokegw moves",
	"spokegw move":          "  spokegw move plan deploy/operator.toml\n  spokegw move begin new-pool",
	"spokegw move begin":    "  spokegw move begin new-pool",
	"spokegw move hold":     "  spokegw move hold new-pool",
	"spokegw move go-on":    "  spokegw move go-on new-pool",
	"spokegw move undo":     "  spokegw move undo new-pool",
	"spokegw move plan":     "  spokegw move plan deploy/operator.toml",
	"spokegw drain":         "  spokegw drain && sleep 30 && kill $PID",
	"spokegw resume":        "  spokegw resume",
	"spokegw disable":       "  spokegw disable maps-3",
	"spokegw enable":        "  spokegw enable maps-3",
	"spokegw reload":        "  spokegw diff new.toml && mv new.toml operator.toml && spokegw reload",
	"spokegw rejected":      "  spokegw rejected --json",
	"spokegw state":         "  spokegw state show --directory /var/lib/spokegw",
	"spokegw state show":    "  spokegw state show --directory /var/lib/spokegw",
	"spokegw state verify":  "  spokegw state verify --directory /var/lib/spokegw || echo something is torn",
	"spokegw state export":  "  spokegw state export --directory /var/lib/spokegw > state.json",
	"spokegw state compact": "  spokegw state compact --directory /var/lib/spokegw",
	"spokegw version":       "  spokegw version --json",
}

// addExamples adds the default example to each command that has none.
func addExamples(cmd *cobra.Command) {
	if cmd.Example == "" {
		cmd.Example = defaultExamples[cmd.CommandPath()]
	}
	for _, sub := range cmd.Commands() {
		addExamples(sub)
	}
}
