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
	// currentDeployment and currentRouters are the deployment and the number of
	// routers of the current system.
	currentDeployment = "examples/duenger/deployment.ini"
	currentRouters    = 8
	// systemIdleTime is the duration of the measurement of the idle system.
	systemIdleTime = 4 * time.Second
	// systemQueries is the number of queries sent, one at a time.
	systemQueries = 300
	// readyTimeout is the time within which the system must become ready.
	readyTimeout = 30 * time.Second
)

// CurrentSystem holds the measurements of a whole system of the current size,
// for comparison with the projection at that size. It is stored as JSON under
// the names of its fields.
type CurrentSystem struct {
	Shards, Targets int
	// IdleMS is the processor time in milliseconds that the idle system uses
	// per second, targets included.
	IdleMS float64
	// ControlBytes is the traffic of one router with control, in bytes per
	// second.
	ControlBytes float64
	// QueryMS is the processor time of one query in milliseconds, targets
	// included.
	QueryMS float64
}

// measureCurrentSystem runs the whole system in this process and measures it
// idle and with queries.
func measureCurrentSystem(out *measurements) error {
	d, err := settings.LoadDeployment(currentDeployment)
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	s, err := trial.Start(trial.Config{
		Deployment: d, Members: defaultMembers, Routers: currentRouters, DataDir: folder,
		ModifyStandin: func(_ *topology.Target, o *standin.Options) {
			o.MedianServiceTime, o.ServiceTimeSigma, o.ConnectCost = time.Millisecond, 0.1, 0
		},
	})
	if err != nil {
		return err
	}
	defer func() { _ = s.Stop() }()
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := s.WaitReady(ctx); err != nil {
		return err
	}
	out.Today = CurrentSystem{Shards: len(topology.NewIndex(d).Shards()), Targets: len(d.Targets)}
	if err := out.Today.measureIdle(s); err != nil {
		return err
	}
	return out.Today.measureQueries(s)
}

// measureIdle sets IdleMS and ControlBytes.
func (c *CurrentSystem) measureIdle(s *trial.System) error {
	router := "http://" + s.Routers[0].VM.HTTP.String()
	before, err := controlTraffic(router)
	if err != nil {
		return err
	}
	start := processorTime()
	time.Sleep(systemIdleTime)
	c.IdleMS = micros(processorTime()-start) / 1e3 / systemIdleTime.Seconds()
	after, err := controlTraffic(router)
	c.ControlBytes = (after - before) / systemIdleTime.Seconds()
	return err
}

// measureQueries sets QueryMS. The processor time of the idle system is
// subtracted, so measureIdle must have run.
func (c *CurrentSystem) measureQueries(s *trial.System) error {
	url := "http://" + s.Routers[0].VM.HTTP.String() + api.PathQuery
	body := []byte(`{"kind":"price-sweep","body":{"q":"urea"}}`)
	start, at := processorTime(), time.Now()
	for range systemQueries {
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
	used := micros(processorTime()-start)/1e3 - c.IdleMS*time.Since(at).Seconds()
	c.QueryMS = used / systemQueries
	return nil
}

// trafficLine captures the value of each sample of control traffic on a metrics
// page.
var trafficLine = regexp.MustCompile(`(?m)^peridot_control_traffic_bytes_total\{[^}]*\} (\S+)$`)

// controlTraffic returns the bytes that a router has exchanged with control,
// the sum over all labels, from its metrics page.
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
