package soak

import (
	"fmt"
	"slices"
)

// startTarget starts a target at an address that none had before. The list doesn't name
// it yet.
func (c *cluster) startTarget(id, service, dc, version string) (*standinTarget, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, err := startTarget(c.ledger, id, service, dc, c.targetIP(len(c.started))+":8080")
	if err != nil {
		return nil, err
	}
	t.version = version
	c.started = append(c.started, t)
	return t, nil
}

// targetsInUse returns the targets in use by service, replicas of each.
func (c *cluster) targetsInUse() []*standinTarget {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.inUse)
}

// targetsOf returns the targets in use of service i (see serviceName).
func (c *cluster) targetsOf(i int) []*standinTarget {
	return c.targetsInUse()[i*replicas : (i+1)*replicas]
}

// startedTargets returns all targets that were ever started.
func (c *cluster) startedTargets() []*standinTarget {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.started)
}

// successor starts a target with another id that may replace one.
func (c *cluster) successor(old *standinTarget) (*standinTarget, error) {
	c.mu.Lock()
	id := fmt.Sprintf("%s.%d", old.baseID(), len(c.started))
	c.mu.Unlock()
	return c.startTarget(id, old.service, old.dc, old.version)
}

// replaceTargets puts targets in use in place of others, and names them in the list. It
// reports whether the others were in use.
func (c *cluster) replaceTargets(old, replacement []*standinTarget) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range old {
		if !slices.Contains(c.inUse, t) {
			return false
		}
	}
	for i, t := range old {
		c.inUse[slices.Index(c.inUse, t)] = replacement[i]
	}
	c.list.set(slices.Concat(c.inUse, c.candidates))
	return true
}

// setCandidates sets the targets of a new version that the list names beside those in use.
func (c *cluster) setCandidates(targets []*standinTarget) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.candidates = targets
	c.list.set(slices.Concat(c.inUse, c.candidates))
}

// listedTargets returns the targets in use and the candidates.
func (c *cluster) listedTargets() []*standinTarget {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Concat(c.inUse, c.candidates)
}
