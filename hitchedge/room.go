package hitchedge

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"

	"citronhitch.example/citronhitch/hitchroute"
	"citronhitch.example/citronhitch/hitchserver"
	hitchplatform "citronhitch.example/citronhitch/platform"
)

// Divisions of the descriptors.
const (
	// defaultDescriptors is assumed if the settings don't say how many there are.
	defaultDescriptors = 4096
	// fileDescriptors are kept for files.
	fileDescriptors = 200
	// callerShare, peerShare, directoryShare and probeShare are the parts of the sockets that each port may have. Of the rest,
	// each request in flight needs one to an endpoint; a few are for other instances and the store.
	callerShare    = 1.0 / 4
	peerShare      = 1.0 / 10
	directoryShare = 1.0 / 32
	probeShare     = 1.0 / 64
	// idleShare is the part for idle connections to endpoints.
	idleShare = 1.0 / 8
)

// Limits of clients unless the configuration sets others.
const (
	defaultHeadBytes        = 64 << 10
	defaultHeadMilliseconds = 10_000
	defaultIdleMilliseconds = 90_000
	// maxInternalHeadBytes is for ports without callers' requests, and maxRelayedHeadBytes for requests that another instance
	// relays, which have its own headers too.
	maxInternalHeadBytes = 16 << 10
	maxRelayedHeadBytes  = 2 * defaultHeadBytes
)

// room is what clients of all ports together may take of an instance.
//
// Load pattern: very many clients that send nothing, heads without end or heads of thousands of lines, at any port.
type room struct {
	memory  hitchserver.Memory
	sockets int
	heads   hitchserver.HeadBudget
	// servers are those of the ports by name, and logged is how many connections they had closed when that was logged last.
	servers map[string]*hitchserver.Server
	logged  int64
}

// init derives the room from the settings.
func (r *room) init(settings hitchplatform.Settings) {
	descriptors := cmp.Or(settings.MaxDescriptors, defaultDescriptors)
	r.memory = hitchserver.Megabytes(settings.MemoryMegabytes)
	r.sockets = max(descriptors-fileDescriptors, descriptors/2)
	r.heads.Bytes = r.memory.HeadBytes()
	r.servers = make(map[string]*hitchserver.Server)
}

// newServer returns the server of a port, which may have a share of the sockets.
func (r *room) newServer(name string, share float64, headBytes int, handler http.Handler) *hitchserver.Server {
	server := &hitchserver.Server{
		HTTP: http.Server{Handler: handler},
		Limits: hitchserver.Limits{
			HeadBytes: headBytes, HeadMilliseconds: defaultHeadMilliseconds, IdleMilliseconds: defaultIdleMilliseconds,
		},
		MaxConns:         max(int(float64(r.sockets)*share), 1),
		Heads:            &r.heads,
		ReadsWholeBodies: true,
	}
	r.servers[name] = server
	return server
}

// closed returns how many connections were closed to make room for others.
func (r *room) closed() (n int64) {
	n = r.heads.Evicted()
	for _, server := range r.servers {
		n += server.Evicted()
	}
	return n
}

// writeMetrics writes how many connections were closed to make room for others.
func (r *room) writeMetrics(w io.Writer) error {
	for _, name := range slices.Sorted(maps.Keys(r.servers)) {
		if _, err := fmt.Fprintf(w, "citronhitch_closed_connections_total{cause=\"conns\",port=%q} %d\n", name, r.servers[name].Evicted()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "citronhitch_closed_connections_total{cause=\"heads\",port=\"\"} %d\n", r.heads.Evicted())
	return err
}

// logClosed logs how many connections were closed to make room since that was logged last.
func (e *Edge) logClosed() {
	closed := e.room.closed()
	if closed == e.room.logged {
		return
	}
	e.Log.Warn("connections closed to make room for others", "Count", closed-e.room.logged, "Callers", e.callerServer.Conns())
	e.room.logged = closed
}

// callerLimits returns the limits of callers that a configuration sets.
func callerLimits(l hitchroute.Limits) hitchserver.Limits {
	return hitchserver.Limits{
		HeadBytes:        cmp.Or(max(l.HeaderBytes, 0), defaultHeadBytes),
		HeadMilliseconds: cmp.Or(max(l.HeaderMilliseconds, 0), defaultHeadMilliseconds),
		IdleMilliseconds: cmp.Or(max(l.IdleMilliseconds, 0), defaultIdleMilliseconds),
	}
}
