package hitchforward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// TestReadReturnsWhatHasArrived covers an endpoint that stops in the middle of a chunk: what has
// arrived before that is read at once.
func TestReadReturnsWhatHasArrived(t *testing.T) {
	tests := map[string]struct{ first, rest, want string }{
		"a chunk and a part of one":       {"5\r\nevent\r\n6\r\nse", "cond\r\n0\r\n\r\n", "event"},
		"a part of a chunk":               {"b\r\nevent", "second\r\n0\r\n\r\n", "event"},
		"a chunk and the next one's size": {"5\r\nevent\r\n6\r\n", "second\r\n0\r\n\r\n", "event"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = l.Close() }()
			wasRead := make(chan struct{})
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+test.first)
				<-wasRead
				_, _ = io.WriteString(c, test.rest)
			}()
			var pool ConnPool
			var tracker hitchoutcome.DispatchTracker
			x, err := pool.Open(context.Background(), l.Addr().String(), Request{Method: http.MethodGet, Target: "/", Host: "h"}, time.Now().Add(2*time.Second), &tracker)
			qt.Assert(t, err, qt.IsNil)
			defer x.Close()
			var b [64]byte
			n, err := x.Read(b[:])
			close(wasRead)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, test.want[:n], qt.Equals, string(b[:n]))
			body, err := x.ReadAll(100)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(b[:n])+string(body), qt.Equals, "eventsecond")
		})
	}
}

func TestMalformedChunks(t *testing.T) {
	tests := map[string]string{
		"no size": "\r\n", "no number": "x\r\n", "negative": "-1\r\n", "plus": "+1\r\na\r\n0\r\n\r\n", "too large": "ffffffffffffffffff\r\n",
		"data too long": "1\r\nab\r\n0\r\n\r\n", "line feed only": "1\na\r\n0\r\n\r\n", "ends in data": "5\r\nab", "ends after a chunk": "1\r\na\r\n",
		"ends in the trailer": "1\r\na\r\n0\r\nX: y\r\n", "long line": strings.Repeat("0", 5000) + "\r\n", "empty": "",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := io.ReadAll(&chunkedBody{br: bufio.NewReader(strings.NewReader(text))})
			qt.Assert(t, err, qt.IsNotNil)
		})
	}
}

// TestChunksOfAnySize decodes what net/http's writer encodes, read in pieces of any size.
func TestChunksOfAnySize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOf(rapid.StringN(1, 300, -1)).Draw(t, "parts")
		var encoded strings.Builder
		w := httputil.NewChunkedWriter(&encoded)
		for _, part := range parts {
			_, _ = io.WriteString(w, part)
		}
		_ = w.Close()
		encoded.WriteString("X-Trailer: a\r\n\r\nrest")
		var r io.Reader = strings.NewReader(encoded.String())
		if rapid.Bool().Draw(t, "byte by byte") {
			r = iotest.OneByteReader(r)
		}
		br := bufio.NewReaderSize(r, 16+rapid.IntRange(0, 100).Draw(t, "buffer"))
		got, err := io.ReadAll(&chunkedBody{br: br})
		if err != nil || string(got) != strings.Join(parts, "") {
			t.Fatalf("got %q, %v", got, err)
		}
		if rest, _ := io.ReadAll(br); string(rest) != "rest" {
			t.Fatalf("rest %q", rest)
		}
	})
}
