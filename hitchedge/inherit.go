package hitchedge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"citronhitch.example/citronhitch/hitchorigin"
)

// versionsPath is the path on which an instance says which versions it has seen lately.
const versionsPath = "/v1/versions"

// Limits of the questions for versions.
const (
	// inheritInterval is how often an instance that has missed versions asks for them.
	inheritInterval = 250 * time.Millisecond
	// maxVersionsBytes limits a response.
	maxVersionsBytes = 1 << 20
)

// serveVersions tells another instance which versions this one has seen lately, unless it
// has missed some itself.
func (e *Edge) serveVersions(w http.ResponseWriter, r *http.Request) {
	recent, ok := e.gateway.Origins.Recent(time.Now())
	if !ok || !e.gateway.OriginExchange.IsViewCurrent() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(recent); err != nil {
		e.Log.Warn("failed to send the versions of endpoints", "To", r.RemoteAddr, "Error", err)
	}
}

// inheritVersions asks other instances which versions they have seen, whenever this one has
// missed some, until ctx ends. Otherwise a fleet whose instances are restarted one after
// the other wouldn't know for a while where streams may go on.
func (e *Edge) inheritVersions(ctx context.Context) {
	ticker := time.NewTicker(inheritInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !e.gateway.Origins.IsComplete(time.Now()) && e.gateway.OriginExchange.IsViewCurrent() {
			e.askVersions(ctx)
		}
	}
}

// askVersions asks other instances until one knows which versions there were.
func (e *Edge) askVersions(ctx context.Context) {
	for _, addr := range e.peerAddrs(e.gateway.View()) {
		recent, err := e.fetchVersions(ctx, addr)
		if err != nil {
			continue
		}
		e.gateway.InheritVersions(time.Now(), recent)
		e.Log.Info("versions learned from another instance", "From", addr)
		return
	}
}

// fetchVersions asks the instance at addr which versions it has seen lately.
func (e *Edge) fetchVersions(ctx context.Context, addr string) (recent hitchorigin.Recent, err error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", addr, versionsPath), nil)
	if err != nil {
		return recent, err
	}
	res, err := e.peerClient.Do(r)
	if err != nil {
		return recent, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return recent, fmt.Errorf("unexpected status %d", res.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(res.Body, maxVersionsBytes)).Decode(&recent)
	return recent, err
}
