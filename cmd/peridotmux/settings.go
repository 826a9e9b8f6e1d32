package main

import "github.com/alecthomas/kingpin/v2"

func registerSettings(app *kingpin.Application, commands commandSet) {
	settings := app.Command("settings", "Settings files.")
	check := settings.Command("check", "Check a settings file without starting anything.")
	path := check.Arg("file", "The file.").Required().String()
	commands[check.FullCommand()] = func() error { return checkSettings(*path) }
}

func checkSettings(string) error { return nil }
