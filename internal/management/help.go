package management

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Yes is the answer to a successful command or a true condition.
const Yes = "YES\n"

// End is the last line of an answer of several lines.
const End = "END\n"

// help returns the list of commands.
func (c Commands) help() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(c)) {
		fmt.Fprintf(&b, "%-24s %s\n", strings.TrimSpace(name+" "+c[name].Args), c[name].Help)
	}
	b.WriteString(End)
	return b.String()
}
