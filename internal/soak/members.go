package soak

import (
	"fmt"
	"os"
	"slices"
)

// member is the VM that has a place in control now.
type member struct {
	// number counts the VMs that ever had a place. The VM's name, address and files
	// follow from it.
	number int
	// process and proxy are nil until the member is prepared.
	process *process
	proxy   *proxy
}

// member returns the member at a place.
func (c *cluster) member(place int) member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[place]
}

// processes returns all processes, with those of replaced members.
func (c *cluster) processes() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := slices.Concat(c.replaced, c.gateways)
	for _, m := range c.members {
		if m.process != nil {
			out = append(out, m.process)
		}
	}
	return out
}

// startControl starts the members of a new group.
func (c *cluster) startControl() error {
	for i := range controls {
		c.members = append(c.members, member{number: i})
	}
	for i := range controls {
		if err := c.prepareMember(i, true); err != nil {
			return err
		}
	}
	for _, m := range c.members {
		if err := m.process.start(); err != nil {
			return err
		}
	}
	return nil
}

// prepareMember makes the proxy, the files and the process of the member at a place.
func (c *cluster) prepareMember(place int, firstStart bool) error {
	m := c.member(place)
	ip := c.ipOfMember(m.number)
	p, err := newProxy(fmt.Sprintf("%s:%d", ip, rpcPort), fmt.Sprintf("%s:%d", ip, rpcPort+1))
	if err != nil {
		return err
	}
	m.proxy = p
	m.process = c.newProcess("peridotmux-gateway-control", "control", m.number)
	c.setMember(place, m)
	if err := os.MkdirAll(c.dataDir(m.number), 0o700); err != nil {
		return err
	}
	return c.writeMemberSettings(place, firstStart)
}

func (c *cluster) setMember(place int, m member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[place] = m
}

func (c *cluster) dataDir(number int) string { return c.path("data", number, "") }

// writeMemberSettings writes the settings of the member at a place. firstStart is whether
// the members form a new group.
func (c *cluster) writeMemberSettings(place int, firstStart bool) error {
	m := c.member(place)
	ip := c.ipOfMember(m.number)
	text := fmt.Sprintf(controlSettingsFormat, m.number, dataCentreOf(place), ip, controlPort, ip, rpcPort, ip, rpcPort+1,
		c.seeds(), rpcPort, firstStart, c.dataDir(m.number), memberMemoryMB) + c.commonSections()
	return os.WriteFile(c.path("control", m.number, ".ini"), []byte(text), 0o600)
}

// replaceMember ends the member at a place for good, starts an empty one at another
// address there, and names it to all processes by their settings.
func (c *cluster) replaceMember(place int) error {
	old := c.member(place)
	old.process.kill()
	old.proxy.close()
	c.mu.Lock()
	c.replaced = append(c.replaced, old.process)
	c.members[place].number = controls + len(c.replaced) - 1
	c.mu.Unlock()
	if err := c.prepareMember(place, false); err != nil {
		return err
	}
	if err := c.member(place).process.start(); err != nil {
		return err
	}
	for i := range controls {
		if err := c.writeMemberSettings(i, false); err != nil {
			return err
		}
	}
	for i := range c.cfg.Gateways {
		if err := c.writeGatewaySettings(i); err != nil {
			return err
		}
	}
	return nil
}
