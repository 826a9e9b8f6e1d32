package orders

import (
	"context"
	"time"

	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/rollout"
	"github.com/peridotmux/peridotmux/route"
)

// listWait is how long an order waits for the list of targets to show the new version,
// since the list lags behind. It leaves time to commit the order before the operator
// gives up.
const listWait = 2500 * time.Millisecond

// Errors returned by Orders.StartRollout and Orders.Rollout.
const (
	// ErrNoList is returned if the list of targets isn't known, or older than the order.
	ErrNoList Error = "the list of targets isn't known or too old"
	// ErrNoRollout is returned for a service that never had a rollout.
	ErrNoRollout Error = "the service has no rollout"
	// ErrRolloutRunning is returned if another rollout of the service is running.
	ErrRolloutRunning Error = "another rollout of the service is running"
	// ErrUnexpectedResult is returned if the state can't tell the outcome of an order.
	ErrUnexpectedResult Error = "the outcome of the order is unknown"
)

// UnknownServiceError means that no target belongs to the ordered service.
type UnknownServiceError struct{ Service route.ServiceName }

// Error describes the failure.
func (e *UnknownServiceError) Error() string {
	return "service " + string(e.Service) + " has no targets"
}

// UnknownVersionError means that no target of the service has the ordered version.
type UnknownVersionError struct{ Version string }

// Error describes the failure.
func (e *UnknownVersionError) Error() string { return "no target has version " + e.Version }

// WithInventory sets the list of targets that orders of rollouts are checked against,
// and returns o.
func (o *Orders) WithInventory(v *discovery.Inventory) *Orders {
	o.inventory = v
	return o
}

// StartRollout orders the rollout of a version. It returns once the order is durable,
// also if the same one was given before. Besides the log's errors it may return
// ErrNoList, ErrRolloutRunning, an *UnknownServiceError or an *UnknownVersionError.
func (o *Orders) StartRollout(ctx context.Context, service route.ServiceName, version string, ramp time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r, exists := o.state.View().Rollouts[service]
	if exists && r.Version == version && r.Ramp == ramp {
		// What this member has applied is committed.
		return nil
	}
	if err := o.awaitVersion(ctx, service, version); err != nil {
		return err
	}
	c := &state.Command{RolloutOrder: &state.RolloutOrder{Service: service, Version: version, RampMS: ramp.Milliseconds()}}
	result, err := o.log.Propose(ctx, c.Encode(time.Now()))
	if err != nil {
		return err
	}
	switch result {
	case state.RolloutStarted, state.RolloutRepeated:
		return nil
	case state.RolloutConflict:
		return ErrRolloutRunning
	default:
		return ErrUnexpectedResult
	}
}

// awaitVersion waits up to listWait until the list has a target with the version. Only a
// list that was read after the call began can show that there is none: this member may
// be cut off.
func (o *Orders) awaitVersion(ctx context.Context, service route.ServiceName, version string) error {
	if o.inventory == nil {
		return ErrNoList
	}
	begun := time.Now()
	limit := time.NewTimer(listWait)
	defer limit.Stop()
	for {
		changed := o.inventory.Changed()
		err := findVersion(o.inventory.List(), service, version)
		if err == nil {
			return nil
		}
		select {
		case <-changed:
		case <-limit.C:
			if o.inventory.List().RequestedAt.Before(begun) {
				return ErrNoList
			}
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// findVersion returns nil if a target of the service has the version.
func findVersion(l *discovery.List, service route.ServiceName, version string) error {
	if l.RequestedAt.IsZero() {
		return ErrNoList
	}
	known := false
	for _, t := range l.Targets {
		if t.Service != service {
			continue
		}
		if t.Version == version {
			return nil
		}
		known = true
	}
	if !known {
		return &UnknownServiceError{Service: service}
	}
	return &UnknownVersionError{Version: version}
}

// Rollout returns the newest committed rollout of a service. It fails if this member
// can't confirm that it is the newest.
func (o *Orders) Rollout(ctx context.Context, service route.ServiceName) (rollout.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	begun := time.Now()
	if _, _, err := o.log.Confirm(ctx); err != nil {
		return rollout.Status{}, err
	}
	r, exists := o.state.View().Rollouts[service]
	if stalled(begun, time.Now()) {
		return rollout.Status{}, ErrStalled
	}
	if !exists {
		return rollout.Status{}, ErrNoRollout
	}
	return r, nil
}
