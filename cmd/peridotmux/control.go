package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotmux/peridotmux/control/adminclient"
)

// defaultPatience is how long a command tries to reach control.
const defaultPatience = "15s"

// controlFlags are the flags of each command that calls control.
type controlFlags struct {
	addrs    *[]string
	json     *bool
	patience *time.Duration
}

func addControlFlags(cmd *kingpin.CmdClause) controlFlags {
	return controlFlags{
		addrs: cmd.Flag("control", "HTTP address of a control member; may be given several times.").
			Envar("PERIDOTMUX_CONTROL").Required().Strings(),
		json:     cmd.Flag("json", "Print the answer as JSON.").Bool(),
		patience: cmd.Flag("timeout", "How long to try.").Default(defaultPatience).Duration(),
	}
}

func (f controlFlags) client() (*adminclient.Client, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), *f.patience)
	return adminclient.New(*f.addrs), ctx, cancel
}

// commandFlags are the flags of each command that changes something.
type commandFlags struct {
	controlFlags
	number *string
}

func addCommandFlags(cmd *kingpin.CmdClause) commandFlags {
	return commandFlags{
		controlFlags: addControlFlags(cmd),
		number: cmd.Flag("command",
			"Command number; a resend with the same number gets the first outcome.").String(),
	}
}

// command returns the command number. One made at random is printed, so that
// the command can be sent again.
func (f commandFlags) command() string {
	if *f.number == "" {
		*f.number = adminclient.NewCommandNumber()
		fmt.Fprintln(os.Stderr, "command number:", *f.number)
	}
	return *f.number
}

// show prints an answer as JSON or, for a person, as text does.
func show[T any](f controlFlags, answer *T, text func(*table, *T)) error {
	if *f.json {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(answer)
	}
	w := newTable(os.Stdout)
	text(w, answer)
	return w.flush()
}
