// Command proofcheck checks docs/PROOFS.md: each promise and each failure has
// its row, each row names tests that exist or says that it isn't proved, and
// each link leads somewhere.
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
	fmt.Println(page + ": every row is there and names tests that exist")
}
