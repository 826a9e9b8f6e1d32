// Command size prints the lines of code, tests and generated code by folder,
// and the share of the packages that hold the decisions and the state. Blank
// lines don't count.
package main

import (
	"fmt"
	"os"
)

func main() {
	root := "."
	if len(os.Args) > 1 {
		root = os.Args[1]
	}
	counts, err := countTree(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Print(report(counts))
}
