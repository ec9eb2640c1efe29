package hitchfake

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// crowdTime is how long a crowd stays at least, and crowdDials how often one of its clients connects.
	crowdTime  = 3 * time.Second
	crowdDials = 3
	// crowdBlockBytes is how much a client sends at a time.
	crowdBlockBytes = 4 << 10
)

// Crowd is a number of clients, each of which sends the same bytes and then keeps its connection open.
type Crowd struct {
	// Conns is the number of clients.
	Conns int
	// Start and End are sent first and last, and LineBytes bytes of lines between them, each of another name or all named Name.
	Start, End string
	LineBytes  int
	Name       string
	// Unit, if set, is sent without end. In it {n} is a number, another one each time.
	Unit string
	// ReadsNothing is set if the clients don't read what is sent to them.
	ReadsNothing bool
}

// Bytes returns what a client sends.
func (c Crowd) Bytes() []byte {
	out := []byte(c.Start)
	for n := 0; len(out) < len(c.Start)+c.LineBytes; n++ {
		if c.Name != "" {
			out = append(out, c.Name+":\r\n"...)
			continue
		}
		out = fmt.Appendf(out, "%xx:\r\n", n)
	}
	return append(out, c.End...)
}

// block returns a number of units, the numbers in which begin at n.
func (c Crowd) block(n int) (out []byte) {
	for i := 0; c.Unit != "" && len(out) < crowdBlockBytes; i++ {
		out = append(out, strings.ReplaceAll(c.Unit, "{n}", strconv.Itoa(n+i))...)
	}
	return out
}

// Join lets the crowd connect to an address, and returns once each client has sent all or was cut off. The clients leave when the
// returned function is called.
func (c Crowd) Join(addr string) (leave func()) {
	text := c.Bytes()
	var mu sync.Mutex
	var conns []net.Conn
	isOver := false
	add := func(nc net.Conn) bool {
		mu.Lock()
		defer mu.Unlock()
		conns = append(conns, nc)
		return !isOver
	}
	var clients sync.WaitGroup
	until := time.Now().Add(crowdTime)
	for n := range c.Conns {
		clients.Go(func() {
			for range crowdDials {
				nc, err := net.DialTimeout("tcp", addr, crowdTime)
				if err != nil || !add(nc) {
					return
				}
				_ = nc.SetWriteDeadline(until)
				_, err = nc.Write(text)
				for i := n << 20; err == nil && c.Unit != "" && time.Now().Before(until); i += crowdBlockBytes {
					_, err = nc.Write(c.block(i))
				}
				_ = nc.SetReadDeadline(until)
				if c.ReadsNothing {
					return
				}
				if _, err := io.Copy(io.Discard, nc); os.IsTimeout(err) {
					return
				}
			}
		})
	}
	clients.Wait()
	return func() {
		mu.Lock()
		defer mu.Unlock()
		isOver = true
		for _, nc := range conns {
			_ = nc.Close()
		}
	}
}
