// Command peridotmux-soak runs the built programs on loopback, injects faults drawn
// from a seed, and checks that the programs' guarantees hold.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotmux/peridotmux/internal/soak"
)

// Exit codes: exitFailed if the run could not be completed, exitViolations if it
// found violated guarantees.
const (
	exitFailed     = 1
	exitViolations = 3
)

func main() {
	app := kingpin.New("peridotmux-soak", "Harms the built programs by a seed and checks their promises.")
	seed := app.Flag("seed", "What the harms are drawn from.").Required().Uint64()
	minutes := app.Flag("minutes", "How long to harm.").Default("1").Float64()
	bin := app.Flag("bin", "Folder of the built programs.").Default("target/bin").ExistingDir()
	logDir := app.Flag("logs", "Folder for logs; a temporary one, removed if all is well, if not set.").String()
	gateways := app.Flag("gateways", "Number of gateways; 0 for a small cluster.").Int()
	shards := app.Flag("shards", "Number of shards of requests to many; with 8 gateways and 26 shards, gateways divide them.").Int()
	plant := app.Flag("plant", "Break a promise on purpose: twice, late or lost.").Enum("", "twice", "late", "lost")
	kingpin.MustParse(app.Parse(os.Args[1:]))
	dir := *logDir
	if dir == "" {
		tempDir, err := os.MkdirTemp("", "peridotmux-soak-")
		app.FatalIfError(err, "no folder")
		dir = tempDir
	}
	binDir, err := filepath.Abs(*bin)
	app.FatalIfError(err, "bin")
	r, err := soak.Run(context.Background(), soak.Config{
		Seed: *seed, Duration: time.Duration(*minutes * float64(time.Minute)), BinDir: binDir, WorkDir: dir, Out: os.Stdout, Plant: *plant,
		Gateways: *gateways, Shards: *shards,
	})
	if err != nil {
		app.Errorf("%s", err)
		os.Exit(exitFailed)
	}
	fmt.Printf("seed %d: %d harms, %d asked, %d served, %d refused, %d failed, %d promises broken\n",
		*seed, r.Disruptions, r.Sent, r.Served, r.Refused, r.Failed, len(r.Violations))
	if len(r.Violations) > 0 {
		for _, f := range r.Violations {
			fmt.Println("BROKEN", f)
		}
		fmt.Println("logs:", dir)
		os.Exit(exitViolations)
	}
	if *logDir == "" {
		_ = os.RemoveAll(dir) // A leftover temporary folder is harmless.
	}
}
