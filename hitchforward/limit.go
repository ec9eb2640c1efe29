package hitchforward

import (
	"io"
	"math"
	"net/http"

	"citronhitch.example/citronhitch/hitchconn"
)

// maxHeadBytes is the maximum size of the status line and header of a response, with
// those of the interim responses before it. A parsed header takes up to 20 times as much
// memory (160 KB), which hundreds of requests may need at once.
const maxHeadBytes = 8 << 10

// limitedReader reads until a limit. In contrast to io.LimitedReader, it fails there, so
// that a reader of it doesn't take the limit for the end of the data.
type limitedReader struct {
	io.Reader
	remaining int64
}

// setLimit allows n more bytes.
func (r *limitedReader) setLimit(n int64) { r.remaining = n }

// removeLimit allows any number of bytes.
func (r *limitedReader) removeLimit() { r.remaining = math.MaxInt64 }

// isReached reports whether the limit was reached. A parser may return another error, as
// the data end within a line.
func (r *limitedReader) isReached() bool { return r.remaining <= 0 }

// Read reads at most the remaining bytes, and fails with errTooLarge if there are none.
func (r *limitedReader) Read(b []byte) (int, error) {
	if r.isReached() {
		return 0, errTooLarge
	}
	n, err := r.Reader.Read(b[:min(int64(len(b)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}

// NewTransport returns a transport as http.DefaultTransport is, for calls that aren't requests of callers, which limits the
// heads of responses to 8 KiB and takes no broken response for a whole one.
func NewTransport() hitchconn.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxResponseHeaderBytes = maxHeadBytes
	return hitchconn.NewTransport(t)
}
