// Command proofcheck validates docs/PROOFS.md: every required promise and
// failure has a row, every row names existing tests or is marked "not proved",
// and every relative link refers to an existing file. The argument is the root
// of the repository, by default the current directory. It prints the problems
// and exits with status 1 if there are any.
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
	problems, err := checkTree(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	for _, p := range problems {
		fmt.Println(p.Error())
	}
	if len(problems) > 0 {
		os.Exit(1)
	}
	fmt.Println(pagePath + ": every row is there and names tests that exist")
}
