// Command capacity measures how the parts' costs grow with their sizes, works
// out what they come to two years ahead, and writes docs/CAPACITY.md with its
// plots. Sizes measured are small; the page states the stretch of each.
package main

import (
	"fmt"
	"os"
)

func main() {
	f := &figures{}
	for _, measure := range []func(*figures) error{
		placementSlopes, renewalSlopes, deltaSlope, wholeSlopes, historySlopes,
	} {
		if err := measure(f); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	fmt.Printf("%+v\n", f)
}
