package hitchsoak

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"
)

// Timing of a caller with an open connection.
const (
	// maxUnusedTime is how long such a caller may wait between opening a connection and its
	// first request.
	maxUnusedTime = 6 * time.Second
	// slowReadBytes and slowReadInterval set the speed of a caller that reads slowly.
	slowReadBytes    = 256
	slowReadInterval = 30 * time.Millisecond
	// resetSettleTime is how long a reset may take to arrive after the end of a connection.
	resetSettleTime = 50 * time.Millisecond
	// endCheckTime is how long a caller waits for the end of its connection before it sends
	// a request.
	endCheckTime = time.Millisecond
	// maxPauseOnOpen is the longest pause between two requests on an open connection.
	maxPauseOnOpen = 2 * time.Second
)

// openCaller is a caller that opens a connection, may use it much later, and continues
// to use it until it is closed, whatever directories say. It may read slowly.
type openCaller struct {
	caller
	isSlow bool
	conn   *net.TCPConn
	br     *bufio.Reader
	addr   string
}

// run makes calls until ctx ends and passes each finished one to record.
func (c *openCaller) run(ctx context.Context, record func(call)) {
	rng := rand.New(rand.NewPCG(c.seed, 3))
	c.client.Transport = newTransport()
	defer c.close()
	for n := 0; ctx.Err() == nil; n++ {
		if c.conn == nil && !c.connect(ctx, rng) {
			time.Sleep(meanThinkTime)
			continue
		}
		if !sleepUntil(ctx, time.Now().Add(time.Duration(rng.Int64N(int64(maxPauseOnOpen))))) {
			return
		}
		if c.hasEnded() {
			c.close()
			continue
		}
		record(c.sendCall(rng, n))
	}
}

// connect opens a connection to an instance and leaves it unused for a while.
func (c *openCaller) connect(ctx context.Context, rng *rand.Rand) bool {
	c.addrsExpireAt = time.Time{}
	if !c.resolve(ctx, rng) {
		return false
	}
	c.addr = c.addrs[rng.IntN(len(c.addrs))]
	nc, err := net.DialTimeout("tcp", c.addr, resolveTimeout)
	if err != nil {
		return false
	}
	c.conn = nc.(*net.TCPConn)
	c.br = bufio.NewReader(c.conn)
	return sleepUntil(ctx, time.Now().Add(time.Duration(rng.Int64N(int64(maxUnusedTime)))))
}

func (c *openCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// hasEnded reports whether the instance has closed the connection.
func (c *openCaller) hasEnded() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(endCheckTime))
	defer func() { _ = c.conn.SetReadDeadline(time.Time{}) }()
	_, err := c.br.Peek(1)
	var timeout net.Error
	return err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())
}

// sendCall sends one request on the open connection and returns the call.
func (c *openCaller) sendCall(rng *rand.Rand, n int) call {
	out := c.newCall(rng, n)
	out.Instance = c.addr
	_ = c.conn.SetDeadline(out.Begin.Add(callTimeout))
	res, err := c.exchange(rng, out)
	if err == nil {
		err = out.readResponse(res, c.readAll)
	} else {
		out.IsDropped = c.wasDropped(err)
	}
	out.Err, out.End = err, time.Now()
	if err != nil || res.Close {
		c.close()
	}
	return out
}

// exchange writes the request of a call and reads the header of its response.
func (c *openCaller) exchange(rng *rand.Rand, x call) (*http.Response, error) {
	r, err := c.newRequest(context.Background(), rng, x)
	if err != nil {
		return nil, err
	}
	if err := r.Write(c.conn); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.br, r)
}

// wasDropped reports whether a connection that ended without a response was closed by
// an instance that had read the request: one that closes it with unread bytes, or
// before they arrive, resets it.
func (c *openCaller) wasDropped(err error) bool {
	if !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) {
		return false
	}
	time.Sleep(resetSettleTime)
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return false
	}
	pending := 0
	ctlErr := raw.Control(func(fd uintptr) {
		pending, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	return ctlErr == nil && err == nil && pending == 0
}

// readAll reads a body, slowly if the caller reads slowly.
func (c *openCaller) readAll(r io.Reader) (body []byte, err error) {
	if !c.isSlow {
		return io.ReadAll(r)
	}
	for err == nil {
		chunk := make([]byte, slowReadBytes)
		var n int
		n, err = r.Read(chunk)
		body = append(body, chunk[:n]...)
		time.Sleep(slowReadInterval)
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return body, err
}
