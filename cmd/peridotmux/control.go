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

// defaultTimeout bounds a whole command, including retries against other control
// members.
const defaultTimeout = "15s"

// controlFlags are the flags of every command that calls the control plane.
type controlFlags struct {
	addrs   *[]string
	json    *bool
	timeout *time.Duration
}

func addControlFlags(cmd *kingpin.CmdClause) controlFlags {
	return controlFlags{
		addrs: cmd.Flag("control", "HTTP address of a control member; may be given several times.").
			Envar("PERIDOTMUX_CONTROL").Required().Strings(),
		json:    cmd.Flag("json", "Print the answer as JSON.").Bool(),
		timeout: cmd.Flag("timeout", "How long to try.").Default(defaultTimeout).Duration(),
	}
}

// client returns a client of the control members and a context that ends after
// the timeout flag. The caller must call the cancel function.
func (f controlFlags) client() (*adminclient.Client, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), *f.timeout)
	return adminclient.New(*f.addrs), ctx, cancel
}

// commandFlags are the flags of every command that changes shared state. number is
// the idempotency key of the change.
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

// commandNumber returns the command number. If the flag is empty, it generates one
// and prints it to standard error, so that the operator can resend the command.
func (f commandFlags) commandNumber() string {
	if *f.number == "" {
		*f.number = adminclient.NewCommandNumber()
		fmt.Fprintln(os.Stderr, "command number:", *f.number)
	}
	return *f.number
}

// show prints answer to standard output: as JSON with --json, otherwise with text.
// text may be nil if --json is set.
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
