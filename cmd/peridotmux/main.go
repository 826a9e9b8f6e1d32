// Command peridotmux is the command-line tool for operators. It checks settings
// files, submits intents, shows the state of the system, runs queries and local
// trials, and explains requests from logs.
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

func main() {
	app := kingpin.New("peridotmux", "A query tier over many shards.")
	app.Terminate(func(int) { os.Exit(exitUsage) })
	commands := commandSet{}
	registerSettings(app, commands)
	registerIntents(app, commands)
	registerStatus(app, commands)
	registerMembers(app, commands)
	registerQuery(app, commands)
	registerTrial(app, commands)
	registerExplain(app, commands)
	registerConfig(app, commands)
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

// commandSet maps a command's full name to the function that runs it. The register
// functions fill it.
type commandSet map[string]func() error
