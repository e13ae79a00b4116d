// Command wirehost serves the bench's line protocol for the decision module on
// standard input and output.
package main

import (
	"fmt"
	"os"

	"spokegw/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
