package hitchedge

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"citronhitch.example/citronhitch/hitchconn"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchview"
)

// viewPath is the path on which an instance serves its view to other instances.
const viewPath = "/v1/view"

// Limits of requests to other instances.
const (
	peerTimeout = 500 * time.Millisecond
	// peerDialTimeout is shorter, so that an instance without power delays a start of the
	// others little. A live one accepts a connection even if its process is busy.
	peerDialTimeout = 100 * time.Millisecond
	// maxViewWait is how long an instance without a view delays its response to another
	// one that starts. Without that delay a seed of a large fleet would spend its
	// processor time on repeated requests instead of on its own start.
	maxViewWait = 300 * time.Millisecond
	// maxPeersPerQuery is the number of instances that are queried at a time.
	maxPeersPerQuery = 3
	// peerIdleTimeout is how long an idle connection to another instance is kept.
	peerIdleTimeout = 5 * time.Second
	// maxPeerHeadBytes and maxViewBytes limit the response of another instance, its body as
	// decompressed. The largest part of a view is the configuration, of at most 1 MB in the
	// store.
	maxPeerHeadBytes = 16 << 10
	maxViewBytes     = 8 << 20
)

// serveView sends another instance the changes since the revision that it has.
func (e *Edge) serveView(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != viewPath {
		http.NotFound(w, r)
		return
	}
	revision := revisionParameter(r, "Revision")
	tableRevision := revisionParameter(r, "TableRevision")
	if revision == 0 {
		e.waitForView(r.Context())
		if !e.follower.IsCurrent() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	if e.gateway.View().Revision <= revision {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	b, err := e.peerUpdateCache.get(e.gateway.View().Revision, revision, tableRevision, e.follower.PeerUpdate)
	if err != nil {
		e.Log.Error("failed to encode view", "Error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	if _, err := w.Write(b); err != nil {
		e.Log.Warn("failed to send view", "To", r.RemoteAddr, "Error", err)
	}
}

// waitForView waits until this instance has its first view, for at most maxViewWait.
func (e *Edge) waitForView(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxViewWait)
	defer cancel()
	select {
	case <-e.gateway.Configured():
	case <-ctx.Done():
	}
}

// peerAddrs returns the addresses of up to maxPeersPerQuery other instances, from the
// view and the seeds, in random order.
func (e *Edge) peerAddrs(view hitchview.View) []string {
	seen := map[string]bool{e.Settings.Self.PeerAddr: true}
	var addrs []string
	add := func(addr string) {
		if !seen[addr] {
			seen[addr] = true
			addrs = append(addrs, addr)
		}
	}
	for _, i := range view.Instances() {
		add(i.PeerAddr)
	}
	for _, seed := range *e.seeds.Load() {
		add(seed)
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(len(addrs), maxPeersPerQuery)]
}

// startPeers returns the seeds from which to read the first view. A seed itself reads
// the store, so that someone has a view when the whole fleet starts.
func (e *Edge) startPeers() []string {
	seeds := slices.Clone(*e.seeds.Load())
	if slices.Contains(seeds, e.Settings.Self.PeerAddr) {
		return nil
	}
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds
}

// fetchView fetches the changes that the instance at addr has and the view lacks. The
// batch is empty if there are none.
func (e *Edge) fetchView(ctx context.Context, addr string, view hitchview.View) (batch hitchview.Batch, err error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?Revision=%d&TableRevision=%d", addr, viewPath, view.Revision, view.TableRevision)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return batch, err
	}
	res, err := e.peerClient.Do(r)
	if err != nil {
		return batch, err
	}
	defer func() { _ = res.Body.Close() }()
	// The transport decompresses the body, as it added Accept-Encoding itself.
	switch res.StatusCode {
	case http.StatusNoContent:
		return batch, nil
	case http.StatusOK:
		var update hitchview.PeerUpdate
		err = json.NewDecoder(http.MaxBytesReader(nil, res.Body, maxViewBytes)).Decode(&update)
		return update.Batch(time.Now()), err
	case http.StatusServiceUnavailable:
		return batch, hitchview.ErrNoView
	default:
		return batch, fmt.Errorf("unexpected status %d", res.StatusCode)
	}
}

// newPeerClient returns the HTTP client for requests to other instances.
func newPeerClient() http.Client {
	return http.Client{Transport: peerTransport{hitchconn.NewTransport(&http.Transport{
		DialContext:     (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
		IdleConnTimeout: peerIdleTimeout,

		MaxResponseHeaderBytes: maxPeerHeadBytes,
	})}}
}

// revisionParameter returns a revision from the query of a request, and 0 if it has none.
func revisionParameter(r *http.Request, name string) hitchfleet.Revision {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return hitchfleet.Revision(n)
}
