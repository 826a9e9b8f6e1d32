// Command standin plays one case of the review: it starts the project's gateways and
// control members as separate processes on loopback addresses, with stand-ins for
// clients, replicas and the platform, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario plays one case and returns the breaks of its rule that it saw.
type scenario func(l *lab) ([]string, error)

var scenarios = map[string]scenario{
	"foreign-entry": playForeignEntry,
	"late-copy":     playLateCopy,
	"lost-helper":   playLostHelper,
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2], os.Args[3]))
}

// play runs a scenario and returns the exit code.
func play(s scenario, repository, record string) int {
	l, err := newLab(repository, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return exitFailed
	}
	defer l.close()
	l.closeOnSignal()
	breaks, err := s(l)
	if err != nil {
		l.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return exitFailed
	}
	for _, b := range breaks {
		l.note("BROKEN %s", b)
	}
	l.note("breaks: %d", len(breaks))
	fmt.Println("breaks:", len(breaks))
	if len(breaks) > 0 {
		return exitBroken
	}
	return exitHeld
}
