package hitchsoak

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newEngineSet starts the engines of two versions.
func newEngineSet(t *testing.T) *engineSet {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := &fleet{}
	f.engines = &engineSet{fleet: f, ip: "127.0.0.1", versions: versionNames[:2]}
	qt.Assert(t, f.engines.start(ctx), qt.IsNil)
	return f.engines
}

// entries returns the versions in the store by ID, and the addresses.
func entries(t *testing.T, s *engineSet) (versions, addrs map[string]string) {
	w := httptest.NewRecorder()
	s.fleet.store.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/kv-range?pathPrefix=servers/", nil))
	var out struct {
		Items []struct {
			Key   string
			Value []byte
		}
	}
	qt.Assert(t, json.NewDecoder(bytes.NewReader(w.Body.Bytes())).Decode(&out), qt.IsNil)
	versions, addrs = make(map[string]string), make(map[string]string)
	for _, it := range out.Items {
		var entry struct{ Version, Address string }
		qt.Assert(t, json.Unmarshal(it.Value, &entry), qt.IsNil)
		id := strings.TrimPrefix(it.Key, "servers/")
		versions[id], addrs[id] = entry.Version, entry.Address
	}
	return versions, addrs
}

// ended returns a context that has ended, with which faults don't wait.
func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// statusOf sends a request for a short stream to an engine and returns the status, or 0 if
// there was no response.
func statusOf(addr, id string) int {
	r, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/stream/1x1/x", nil)
	r.Header.Set("X-Expect-Instance", id)
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

func TestReplaceEndpoints(t *testing.T) {
	s := newEngineSet(t)
	_, addrs := entries(t, s)
	undo, err := s.replace(ended(), 7)
	qt.Assert(t, err, qt.IsNil)
	versions, _ := entries(t, s)
	qt.Assert(t, versions, qt.DeepEquals, map[string]string{
		"e-2": "v1", "e-3": "v1.1", "e-4": "v1", "e-5": "v1.1", "e-6": "v1", "e-8": "v1", "e-9": "v1.1", "e-10": "v1",
	})
	qt.Assert(t, statusOf(addrs["e-7"], "e-7"), qt.Equals, http.StatusOK)
	undo()
	qt.Assert(t, statusOf(addrs["e-7"], "e-7"), qt.Equals, 0)
	qt.Assert(t, statusOf(addrs["e-2"], "e-2"), qt.Equals, http.StatusOK)
}

func TestRestartAtAddress(t *testing.T) {
	s := newEngineSet(t)
	_, before := entries(t, s)
	qt.Assert(t, s.restart(ended(), 3, false), qt.IsNil)
	versions, addrs := entries(t, s)
	qt.Assert(t, versions["e-3"], qt.Equals, "v1.1", qt.Commentf("its entry hasn't expired"))
	qt.Assert(t, versions["e-8"], qt.Equals, "v1")
	qt.Assert(t, addrs["e-8"], qt.Equals, before["e-3"])
	qt.Assert(t, statusOf(before["e-3"], "e-3"), qt.Equals, http.StatusMisdirectedRequest)
	qt.Assert(t, statusOf(before["e-3"], "e-8"), qt.Equals, http.StatusOK)
}

func TestRestartSameID(t *testing.T) {
	s := newEngineSet(t)
	_, before := entries(t, s)
	qt.Assert(t, s.restart(ended(), 3, true), qt.IsNil)
	versions, addrs := entries(t, s)
	qt.Assert(t, versions["e-3"], qt.Equals, "v1")
	qt.Assert(t, addrs, qt.DeepEquals, before)
	qt.Assert(t, statusOf(before["e-3"], "e-3"), qt.Equals, http.StatusOK)
	qt.Assert(t, s.present(3).Born, qt.Equals, int64(1))
}

func TestCountServing(t *testing.T) {
	s := newEngineSet(t)
	from := time.Now()
	qt.Assert(t, s.countServing("v1", from, from), qt.Equals, 4)
	qt.Assert(t, s.countServing("v1", from.Add(-time.Minute), from), qt.Equals, 0)
	undo := s.disturb(s.present(0))
	qt.Assert(t, s.countServing("v1", from, time.Now()), qt.Equals, 3)
	undo()
	qt.Assert(t, s.countServing("v1", time.Now(), time.Now()), qt.Equals, 3)
	qt.Assert(t, s.countServing("v1", time.Now().Add(2*time.Second), time.Now().Add(2*time.Second)), qt.Equals, 4)
	qt.Assert(t, s.restart(ended(), 2, true), qt.IsNil)
	now := time.Now()
	qt.Assert(t, s.countServing("v1", from, now), qt.Equals, 2)
	qt.Assert(t, s.countServing("v1.1", from, now), qt.Equals, 4)
	qt.Assert(t, s.countServing("v1.1", now, now), qt.Equals, 5)
}
