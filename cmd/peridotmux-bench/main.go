// Command peridotmux-bench measures the product against simpler policies on
// stand-in targets.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes of the command.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	app := kingpin.New("peridotmux-bench", "Scenarios, stand-in targets and load.")
	app.Terminate(func(int) { os.Exit(exitUsage) })
	commands := map[string]func() error{}
	registerRun(app, commands)
	registerStandIn(app, commands)
	registerLoad(app, commands)
	selected, err := app.Parse(os.Args[1:])
	if err != nil {
		app.Errorf("%s; --help lists the commands", err)
		os.Exit(exitUsage)
	}
	if err := commands[selected](); err != nil {
		app.Errorf("%s", err)
		os.Exit(exitFailed)
	}
}
