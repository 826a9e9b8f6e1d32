// Command size prints the number of lines of code, tests and generated code in
// each folder, and the share of the core packages, which make the decisions and
// hold the state. Blank lines aren't counted. The argument is the root of the
// tree, by default the current directory.
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
