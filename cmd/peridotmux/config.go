package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotmux/peridotmux/platform"
	"github.com/peridotmux/peridotmux/route"
)

const (
	// fetchTimeout bounds the time to read the configuration in force.
	fetchTimeout = 5 * time.Second
	// maxConfigBytes bounds the size of a configuration that is read.
	maxConfigBytes = 64 << 20
)

// InvalidConfigError means that a configuration would be refused. Line is the line of
// the file at which the error is, 0 if it isn't known.
type InvalidConfigError struct {
	Source string
	Line   int
	Cause  error
}

// Error describes the failure.
func (e *InvalidConfigError) Error() string {
	if e.Line == 0 {
		return e.Source + ": " + e.Cause.Error()
	}
	return fmt.Sprintf("%s:%d: %v", e.Source, e.Line, e.Cause)
}

// Unwrap returns the cause.
func (e *InvalidConfigError) Unwrap() error { return e.Cause }

// ConfigWarningsError means that a configuration is valid but has warnings, or differs
// from another one where no difference was expected.
type ConfigWarningsError struct{ Count int }

// Error describes the failure.
func (e *ConfigWarningsError) Error() string { return fmt.Sprintf("findings: %d", e.Count) }

// FetchError means that the configuration in force couldn't be read.
type FetchError struct {
	URL    string
	Status string
}

// Error describes the failure.
func (e *FetchError) Error() string { return "can't read " + e.URL + ": " + e.Status }

func registerConfig(app *kingpin.Application, commands commandSet) {
	group := app.Command("config", "Configurations of gateways, as they are sent to control.")
	check := group.Command("check", "Check a configuration before it is sent: errors, entries that never match, limits that contradict each other.")
	file := check.Arg("file", "The configuration's file.").Required().String()
	strict := check.Flag("strict", "Fail on warnings, too.").Bool()
	commands[check.FullCommand()] = func() error { return checkConfig(os.Stdout, *file, *strict) }

	diff := group.Command("diff", "Show what differs between the version in force, or another file, and a file.")
	to := diff.Arg("file", "The configuration's file.").Required().String()
	against := diff.Flag("against", "A file, or the http address of a control member, IP:PORT.").Required().String()
	commands[diff.FullCommand()] = func() error { return diffConfig(os.Stdout, *against, *to) }
}

// checkConfig prints the warnings about a configuration. It returns an
// *InvalidConfigError if control would refuse it.
func checkConfig(w io.Writer, file string, strict bool) error {
	table, err := loadConfig(file)
	if err != nil {
		return err
	}
	warnings := table.Warnings()
	for _, x := range warnings {
		_, _ = fmt.Fprintln(w, "warning:", x)
	}
	_, _ = fmt.Fprintf(w, "%s: version %d, %d routes, %d services, warnings: %d\n", file, table.Version, len(table.Routes), len(table.Services), len(warnings))
	if strict && len(warnings) > 0 {
		return &ConfigWarningsError{Count: len(warnings)}
	}
	return nil
}

// diffConfig prints the changes from one configuration to another.
func diffConfig(w io.Writer, from, to string) error {
	before, err := loadConfig(from)
	if err != nil {
		return err
	}
	after, err := loadConfig(to)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "version %d -> %d\n", before.Version, after.Version)
	if after.Version <= before.Version {
		_, _ = fmt.Fprintln(w, "warning: the version isn't higher; sending it changes nothing")
	}
	changes := route.Diff(before, after)
	for _, c := range changes {
		_, _ = fmt.Fprintln(w, c)
	}
	_, _ = fmt.Fprintf(w, "changes: %d\n", len(changes))
	return nil
}

// loadConfig reads a configuration from a file or from a control member.
func loadConfig(source string) (*route.Table, error) {
	body, err := readConfig(source)
	if err != nil {
		return nil, err
	}
	table, err := platform.DecodeRoutes(body)
	if err != nil {
		return nil, &InvalidConfigError{Source: source, Line: platform.ErrorLine(body, err), Cause: err}
	}
	return table, nil
}

func readConfig(source string) ([]byte, error) {
	if _, err := os.Stat(source); err == nil || !strings.Contains(source, ":") {
		return os.ReadFile(source)
	}
	url := "http://" + source + platform.PathConfig
	client := &http.Client{Timeout: fetchTimeout}
	resp, err := client.Get(url)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &FetchError{URL: url, Status: resp.Status}
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxConfigBytes))
}
