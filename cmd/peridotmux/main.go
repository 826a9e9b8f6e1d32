// Command peridotmux is the operators' and newcomers' command line.
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

// commandSet maps a command's full name to what runs it.
type commandSet map[string]func() error
