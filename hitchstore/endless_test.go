package hitchstore

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEndlessResponsesOfStore guards against a node that keeps all bytes of a store, or of a process that has its address
// now, that sends no answer but bytes without end.
func TestEndlessResponsesOfStore(t *testing.T) {
	// A decoder's buffer doubles, so that all buffers together are up to four times the limit.
	const size = 512 << 20
	tests := map[string]struct {
		start string
		limit uint64
		call  func(ctx context.Context, c *Client) error
	}{
		"get":  {`{"kvs":[{"value":"`, maxMessageBytes, func(ctx context.Context, c *Client) error { _, err := c.Get(ctx, "k"); return err }},
		"list": {`{"kvs":[{"value":"`, maxListBytes, func(ctx context.Context, c *Client) error { _, err := c.List(ctx, "k"); return err }},
		"watch": {`{"result":{"events":[{"type":"`, maxMessageBytes, func(ctx context.Context, c *Client) error {
			return c.Watch(ctx, Key("k"), 5, func(Entry) error { return nil })
		}},
		"error": {"", MaxValueBytes, func(ctx context.Context, c *Client) error { _, err := c.Get(ctx, "status"); return err }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			block, calls := bytes.Repeat([]byte("aaaa"), 64<<10), 0
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if calls++; calls > 1 { // the watch is read as a list
					cancel()
					return
				}
				if test.start == "" {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				_, _ = io.WriteString(w, test.start)
				for sent := 0; sent < size; sent += len(block) {
					if _, err := w.Write(block); err != nil {
						return
					}
				}
			}))
			defer server.Close()
			client := &Client{Endpoints: []string{server.URL}, Writer: "w", HTTP: server.Client()}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := test.call(ctx, client)
			runtime.ReadMemStats(&after)
			allocated := after.TotalAlloc - before.TotalAlloc
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, allocated < 4*test.limit+(8<<20), qt.IsTrue, qt.Commentf("%d bytes", allocated))
		})
	}
}

// TestWatchThatIsTooLongIsReadAsList guards against a node that goes on with an old configuration, as it asks again and
// again for changes that are longer than a message may be.
func TestWatchThatIsTooLongIsReadAsList(t *testing.T) {
	const list = `{"header":{"revision":"9"},"kvs":[{"key":"aw==","mod_revision":"9","value":""}]}`
	block := bytes.Repeat([]byte("aaaa"), 64<<10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == pathRange {
			_, _ = io.WriteString(w, list)
			return
		}
		_, _ = io.WriteString(w, `{"result":{"created":true}}`+"\n"+`{"result":{"events":[{"type":"`)
		for sent := 0; sent < 2*maxMessageBytes; sent += len(block) {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	client := &Client{Endpoints: []string{server.URL}, Writer: "w", HTTP: server.Client()}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var seen Revision
	_ = client.Watch(ctx, Key("k"), 5, func(e Entry) error { seen = e.Revision; cancel(); return nil })
	qt.Assert(t, seen, qt.Equals, Revision(9))
}
