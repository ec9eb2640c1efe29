package hitchstore

import "time"

// health is the state of the store, as derived from the results of calls.
type health struct {
	lastSuccess  time.Time
	failingSince time.Time
	failures     int
}

// LastSuccess returns the time of the store's last response, or the zero time.
func (c *Client) LastSuccess() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.health.lastSuccess
}

// IsUnavailable reports whether the store counts as unavailable: the last calls
// failed, and they were several or the first of them was seconds ago. A store that was
// never called doesn't count as unavailable.
func (c *Client) IsUnavailable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.health
	return h.failures >= unavailableAfterFailures || h.failures > 0 && now.Sub(h.failingSince) >= unavailableAfter
}

// recordSuccess records that the store responded.
func (c *Client) recordSuccess() {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.health = health{lastSuccess: now}
}

// recordFailure records that the store didn't respond, or responded with a server
// error, and switches from the failed endpoint to the next.
func (c *Client) recordFailure(endpoint int) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.health.failures == 0 {
		c.health.failingSince = now
	}
	c.health.failures++
	if c.endpoint == endpoint && len(c.Endpoints) > 0 {
		c.endpoint = (endpoint + 1) % len(c.Endpoints)
	}
}

// currentEndpoint returns the address and the index of the endpoint in use.
func (c *Client) currentEndpoint() (url string, index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.Endpoints) == 0 {
		return "", 0
	}
	return c.Endpoints[c.endpoint], c.endpoint
}
