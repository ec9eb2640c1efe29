package hitchedge

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchview"
)

// gzipRepeated returns start and then repetitions of unit, compressed.
func gzipRepeated(t *testing.T, start, unit string, size int) []byte {
	var out bytes.Buffer
	z, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.WriteString(z, start)
	qt.Assert(t, err, qt.IsNil)
	block := []byte(strings.Repeat(unit, 1+(64<<10)/len(unit)))
	for written := 0; written < size; written += len(block) {
		_, err := z.Write(block)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, z.Close(), qt.IsNil)
	return out.Bytes()
}

// TestHugeViewOfPeerFails covers another instance, or a process that has its address now,
// whose small compressed response has a huge content, or whose header has no end.
func TestHugeViewOfPeerFails(t *testing.T) {
	const size, maxAllocBytes = 32 << 20, 48 << 20
	tests := map[string]http.HandlerFunc{
		"long string": serveGzip(gzipRepeated(t, `{"Other":"`, "a", size)),
		"white space": serveGzip(gzipRepeated(t, "", " ", size)),
		"small items": serveGzip(gzipRepeated(t, `{"Endpoints":[{}`, ",{}", size)),
		"header": func(w http.ResponseWriter, _ *http.Request) {
			w.Header()["A"] = strings.Split(strings.Repeat("a,", 1<<20), ",")
		},
	}
	for name, handler := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(handler)
			t.Cleanup(server.Close)
			e := newEdge()
			before := allocatedBytes()
			_, err := e.fetchView(t.Context(), strings.TrimPrefix(server.URL, "http://"), hitchview.View{})
			allocated := allocatedBytes() - before
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, err, qt.ErrorMatches, ".*(too large|exceeded).*")
			qt.Assert(t, allocated < maxAllocBytes, qt.IsTrue, qt.Commentf("%d bytes", allocated))
		})
	}
}

func serveGzip(b []byte) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = w.Write(b)
	}
}

// allocatedBytes returns how much memory the process has allocated since its start.
func allocatedBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// TestEndlessAnswersOfPeer guards against an instance that keeps all bytes of another one, or of a process that has its
// address now, that sends no answer but bytes without end.
func TestEndlessAnswersOfPeer(t *testing.T) {
	const size, maxAllocBytes = 64 << 20, 16 << 20
	var e *Edge
	fetches := map[string]func(addr string) error{
		"origin":   func(addr string) error { _, err := e.fetchOrigin(t.Context(), addr, 1, "r"); return err },
		"versions": func(addr string) error { _, err := e.fetchVersions(t.Context(), addr); return err },
	}
	for name, fetch := range fetches {
		t.Run(name, func(t *testing.T) {
			block := bytes.Repeat([]byte("a"), 64<<10)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, `{"Version":"`)
				for sent := 0; sent < size; sent += len(block) {
					if _, err := w.Write(block); err != nil {
						return
					}
				}
			}))
			t.Cleanup(server.Close)
			e = newEdge()
			before := allocatedBytes()
			err := fetch(strings.TrimPrefix(server.URL, "http://"))
			allocated := allocatedBytes() - before
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, allocated < maxAllocBytes, qt.IsTrue, qt.Commentf("%d bytes", allocated))
		})
	}
}
