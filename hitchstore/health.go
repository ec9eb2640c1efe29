package hitchstore

import "time"

// health is what the outcomes of calls say of the store.
type health struct {
	lastSuccess  time.Time
	failingSince time.Time
	failures     int
}

// LastSuccess returns when the store last answered, or the zero time.
func (c *Client) LastSuccess() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.health.lastSuccess
}

// Out says whether the store has to be taken for out: the last calls failed, and
// they were several or the first of them was seconds ago. A store that was never
// called isn't out.
func (c *Client) Out(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.health
	return h.failures >= outAfterFailures || h.failures > 0 && now.Sub(h.failingSince) >= outAfter
}

// noteAnswer records that the store answered.
func (c *Client) noteAnswer() {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.health = health{lastSuccess: now}
}

// noteFailure records that the store didn't answer, and leaves its endpoint.
func (c *Client) noteFailure(endpoint int) {
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

// address returns the endpoint in use and its number.
func (c *Client) address() (url string, number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.Endpoints) == 0 {
		return "", 0
	}
	return c.Endpoints[c.endpoint], c.endpoint
}
