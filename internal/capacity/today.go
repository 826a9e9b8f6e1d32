package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/standin"
	"github.com/peridotmux/peridotmux/topology"
	"github.com/peridotmux/peridotmux/trial"
)

const (
	deploymentToday = "examples/duenger/deployment.ini"
	routersToday    = 8
	// watchTime is how long the idle system is watched.
	watchTime = 4 * time.Second
	// queriesToday is the number of queries that are asked, one at a time.
	queriesToday = 300
	readyWait    = 30 * time.Second
)

// Today is a run of the whole system at today's size, to hold sums against.
type Today struct {
	Shards, Targets int
	// IdleMS is the processor time a second of all processes and targets.
	IdleMS float64
	// ControlBytes are a router's messages with control, a second.
	ControlBytes float64
	// QueryMS is the processor time of one query, targets included.
	QueryMS float64
}

// wholeToday runs the whole system in this process, watches it idle, and asks.
func wholeToday(f *figures) error {
	d, err := settings.LoadDeployment(deploymentToday)
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	s, err := trial.Start(trial.Config{
		Deployment: d, Members: trialMembers, Routers: routersToday, DataDir: folder,
		Standin: func(_ *topology.Target, o *standin.Options) {
			o.MedianServiceTime, o.ServiceTimeSigma, o.ConnectCost = time.Millisecond, 0.1, 0
		},
	})
	if err != nil {
		return err
	}
	defer func() { _ = s.Stop() }()
	ctx, cancel := context.WithTimeout(context.Background(), readyWait)
	defer cancel()
	if err := s.WaitReady(ctx); err != nil {
		return err
	}
	f.Today = Today{Shards: len(topology.NewIndex(d).Shards()), Targets: len(d.Targets)}
	if err := f.Today.watch(s); err != nil {
		return err
	}
	return f.Today.ask(s)
}

func (t *Today) watch(s *trial.System) error {
	router := "http://" + s.Routers[0].VM.HTTP.String()
	before, err := controlTraffic(router)
	if err != nil {
		return err
	}
	begun := processorTime()
	time.Sleep(watchTime)
	t.IdleMS = micros(processorTime()-begun) / 1e3 / watchTime.Seconds()
	after, err := controlTraffic(router)
	t.ControlBytes = (after - before) / watchTime.Seconds()
	return err
}

func (t *Today) ask(s *trial.System) error {
	url := "http://" + s.Routers[0].VM.HTTP.String() + api.PathQuery
	body := []byte(`{"kind":"price-sweep","body":{"q":"urea"}}`)
	begun, at := processorTime(), time.Now()
	for range queriesToday {
		resp, err := http.Post(url, "application/json", bytes.NewReader(body))
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			return &IncompleteError{Status: resp.StatusCode}
		}
	}
	used := micros(processorTime()-begun)/1e3 - t.IdleMS*time.Since(at).Seconds()
	t.QueryMS = used / queriesToday
	return nil
}

var trafficLine = regexp.MustCompile(`(?m)^peridot_control_traffic_bytes_total\{[^}]*\} (\S+)$`)

// controlTraffic reads a router's bytes with control from its metrics page.
func controlTraffic(router string) (float64, error) {
	resp, err := http.Get(router + api.PathMetrics)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	page, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	sum := 0.0
	for _, line := range trafficLine.FindAllSubmatch(page, -1) {
		v, err := strconv.ParseFloat(string(line[1]), 64)
		if err != nil {
			return 0, err
		}
		sum += v
	}
	return sum, nil
}
