package main

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotmux/peridotmux/settings"
)

// FaultyFileError reports that a settings file has faults. Faults is their number.
type FaultyFileError struct {
	File   string
	Faults int
}

// Error implements error.
func (e *FaultyFileError) Error() string {
	return e.File + ": faults: " + strconv.Itoa(e.Faults)
}

func registerSettings(app *kingpin.Application, commands commandSet) {
	group := app.Command("settings", "Settings files.")
	check := group.Command("check", "Check a settings file without starting anything; list all of its faults.")
	path := check.Arg("file", "A deployment's, router's or control member's file.").Required().String()
	commands[check.FullCommand()] = func() error { return checkSettings(*path) }
}

// checkSettings prints all faults of a settings file to standard output. It returns
// a *FaultyFileError if there are any.
func checkSettings(path string) error {
	err := settings.Check(path)
	if err == nil {
		fmt.Println(path + ": no faults")
		return nil
	}
	var faults settings.Faults
	if !errors.As(err, &faults) {
		return err
	}
	fmt.Println(faults.Error())
	return &FaultyFileError{File: path, Faults: len(faults)}
}
