package outlier

import "time"

// clear drops what peers sent.
func (c *Client) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clearLocked()
}

// clearLater drops what peers sent after a time, unless keep is called before.
func (c *Client) clearLater(after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var expiry *time.Timer
	expiry = time.AfterFunc(after, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.expiry == expiry {
			c.clearLocked()
		}
	})
	c.expiry = expiry
}

// keep ends the wait of clearLater, since a peer sends what applies now.
func (c *Client) keep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopExpiry()
}

func (c *Client) clearLocked() {
	c.stopExpiry()
	c.View.replace(nil)
	clearStates(c.Topics)
}

func (c *Client) stopExpiry() {
	if c.expiry != nil {
		c.expiry.Stop()
		c.expiry = nil
	}
}
