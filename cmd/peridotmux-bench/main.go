// Command peridotmux-bench compares routers with simpler load-balancing policies
// on stand-in targets. It can also run the stand-in targets or the load alone.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// main runs the selected command. The register functions add a command to app and
// the function that runs it to commands, under the command's full name.
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
