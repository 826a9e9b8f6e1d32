// Command review-2 plays the scripted cases of the second review: it starts the project's
// programs as processes on loopback addresses, with stand-ins for clients, replicas, the
// operator and the platform. It exits with 1 if the rule of the case was broken, with 0 if
// it held, and with 2 if the case couldn't run.
package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// exit codes
const (
	held   = 0
	broken = 1
	notRun = 2
)

// scenario is what a case does with a running deployment. It reports whether the rule was
// broken.
type scenario func(ctx context.Context, d *deployment) (bool, error)

var scenarios = map[string]scenario{
	"restart-in-place":  restartInPlace,
	"return-at-restart": returnAtRestart,
	"cold-again":        coldAgain,
	"quick-restart":     quickRestart,
	"unnamed-service":   unnamedService,
}

// deployment is a running system with its stand-ins.
type deployment struct {
	*cluster
	rec      *record
	replicas map[string][]*replica
	op       *operator
	balancer *balancer
	// trouble means that the disruption is played.
	trouble bool
}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: review-2 CASE BIN RECORD")
		os.Exit(notRun)
	}
	play, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Println("no such case:", os.Args[1])
		os.Exit(notRun)
	}
	os.Exit(run(play, os.Args[2], os.Args[3]))
}

func run(play scenario, bin, recordPath string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, 115*time.Second)
	defer cancel()
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		rec.say("%v", err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		rec.say("folder %s", dir)
	}
	n, err := newNetwork()
	if err != nil {
		rec.say("%v", err)
		return notRun
	}
	bin, err = filepath.Abs(bin)
	if err != nil {
		rec.say("%v", err)
		return notRun
	}
	d := &deployment{cluster: &cluster{net: n, dir: dir, bin: bin}, rec: rec, replicas: map[string][]*replica{}, trouble: os.Getenv("TROUBLE") != "0"}
	defer d.stop()
	failed, err := play(ctx, d)
	switch {
	case err != nil:
		rec.say("not run: %v", err)
		return notRun
	case failed:
		rec.say("the rule was BROKEN")
		return broken
	default:
		rec.say("the rule held")
		return held
	}
}

// plan is what a deployment starts with.
type plan struct {
	services []string
	gateways int
	// replicas is the number of replicas of each service, and added that of those that
	// aren't started yet. They are dealt out to the zones.
	replicas, added int
	// work is the time of a request at a replica, and lag that of the list.
	work, lag time.Duration
	// firstRoutes is the number of services with a route in the first configuration, 0 for
	// all of them.
	firstRoutes int
}

// specs returns the services of the configuration.
func (p *plan) specs() []serviceSpec {
	var out []serviceSpec
	for _, name := range p.services {
		out = append(out, service(name))
	}
	return out
}

// begin starts replicas, the list and the system, and gives it its first configuration.
func (d *deployment) begin(ctx context.Context, p plan) error {
	var all []*replica
	for i, name := range p.services {
		for z := range p.replicas + p.added {
			r := &replica{
				id: fmt.Sprintf("i-%s-%d", name, z), service: name, zone: zones[z%len(zones)], work: p.work, rec: d.rec,
				addr: d.net.addr(firstTarget+i*(p.replicas+p.added)+z, d.net.ports.target),
			}
			if z < p.replicas {
				if err := r.start(0); err != nil {
					return err
				}
			}
			d.replicas[name] = append(d.replicas[name], r)
			all = append(all, r)
		}
	}
	var err error
	if d.platform, err = newPlatform(d.net.addr(listPlace, d.net.ports.list), all, p.lag); err != nil {
		return err
	}
	if err := d.cluster.start(p.gateways); err != nil {
		return err
	}
	d.op = &operator{c: d.cluster, rec: d.rec}
	if err := d.op.order("PUT", "/peridotmux/config", configuration(1, p.specs(), cmp.Or(p.firstRoutes, len(p.services))), 20*time.Second); err != nil {
		return err
	}
	d.rec.say("first configuration acknowledged")
	d.balancer = &balancer{c: d.cluster, misses: newMisses(p.gateways)}
	go d.balancer.run(ctx)
	return d.awaitReady(15 * time.Second)
}

// awaitReady waits until all gateways are ready.
func (d *deployment) awaitReady(within time.Duration) error {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := true
		for i := range d.balancer.misses {
			ready = ready && d.balancer.misses[i].Load() == 0
		}
		if ready {
			d.rec.say("all gateways are ready")
			return nil
		}
	}
	return errors.New("the gateways aren't ready")
}

// pause waits, or returns an error if ctx ends before.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
