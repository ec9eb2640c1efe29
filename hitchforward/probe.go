package hitchforward

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// IsGone reports whether nothing listens at an endpoint's address any more. An address that
// doesn't respond before ctx ends doesn't count as gone.
func (c *Client) IsGone(ctx context.Context, e hitchfleet.Endpoint) bool {
	c.init()
	base, err := url.Parse(e.URL)
	if err != nil {
		return false
	}
	conn, err := c.pooled.DialContext(ctx, "tcp", base.Host)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// Ask asks an endpoint on a new connection as ConnPool.Ask does, with the header that net/http
// servers need.
func (c *Client) Ask(ctx context.Context, e hitchfleet.Endpoint) error {
	c.init()
	base, err := url.Parse(e.URL)
	if err != nil {
		return &Failure{Kind: FailureUnsent, Err: err}
	}
	nc, err := c.pooled.DialContext(ctx, "tcp", base.Host)
	if err != nil {
		return &Failure{Kind: FailureUnsent, Err: err}
	}
	return askOn(ctx, newConn(nc), base.Host, http.Header{})
}

// Ask sends a question that runs nothing to an address, on a new connection, and waits for any
// response until ctx ends. Its error is a *Failure: FailureUnsent if no connection was accepted,
// FailureSilent if one was and nothing came, and FailureCut if it broke. The header is sent too.
func (p *ConnPool) Ask(ctx context.Context, addr string, h http.Header) error {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return &Failure{Kind: FailureUnsent, Err: err}
	}
	p.Dialed.Add(1)
	return askOn(ctx, c, addr, h)
}

// askOn asks on a connection, and closes it. The question is OPTIONS *, which RFC 9110 (9.3.7)
// defines as a no-op that tests a server; net/http servers answer it before any handler.
func askOn(ctx context.Context, c *conn, host string, h http.Header) error {
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	h = h.Clone()
	h.Set("Connection", "close")
	question := Request{Method: http.MethodOptions, Target: "*", Host: host, Header: h}
	if _, err := c.Write(question.encodeHead()); err != nil {
		return &Failure{Kind: FailureCut, Err: err}
	}
	c.limit.setLimit(maxHeadBytes + readBufferBytes)
	_, err := http.ReadResponse(c.br, &http.Request{Method: http.MethodOptions})
	switch {
	case err == nil:
		return nil
	case isTimeout(err):
		return &Failure{Kind: FailureSilent, Err: err}
	default:
		return &Failure{Kind: FailureCut, Err: err}
	}
}

// Refuses reports whether nothing listens at an address any more, as IsGone does. A connection
// that can be opened is closed.
func (p *ConnPool) Refuses(ctx context.Context, addr string) bool {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close()
	return false
}

// IsGone reports whether nothing listens at an address any more. A connection that can be
// opened is kept for the next exchange; an address that doesn't respond before ctx ends
// doesn't count as gone.
func (p *ConnPool) IsGone(ctx context.Context, addr string) bool {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.Dialed.Add(1)
	p.putIdle(addr, c, time.Now().Add(defaultIdleTimeout))
	return false
}
