package hitchedge

import (
	"context"
	"net"
	"time"

	"citronhitch.example/citronhitch/hitchserver"
)

// callerSendBufferBytes is more than most responses have. A larger buffer would let a
// thousand callers that don't read take up the memory of a small instance, and a write
// that waits for a third of it to become free would look like a stalled caller.
const callerSendBufferBytes = 32 << 10

// internalShutdownTime is how long the internal servers wait for their requests at the
// end of the process.
const internalShutdownTime = 100 * time.Millisecond

// newCallerServer returns the server for callers.
func (e *Edge) newCallerServer() *hitchserver.Server {
	server := e.room.newServer("callers", callerShare, defaultHeadBytes, e.gateway)
	server.HTTP.ErrorLog = e.Log.StandardLogger(nil)
	server.MaxConns = min(server.MaxConns, e.room.memory.Conns())
	server.ClosedEarly = e.logClosedEarly
	server.SendBufferBytes = callerSendBufferBytes
	return server
}

// logClosedEarly logs a connection that was closed while a request on it had no
// response.
func (e *Edge) logClosedEarly(addr net.Addr, phase hitchserver.Phase) {
	e.Log.Info("connection closed without a response", "Caller", addr, "Phase", phase, "Draining", e.gateway.IsDraining())
}

// listenForCallers opens the listener for callers.
func (e *Edge) listenForCallers() (net.Listener, error) {
	listen := e.listen
	if listen == nil {
		listen = net.Listen
	}
	return listen("tcp", e.Settings.Self.Addr)
}

// listenAndServe serves on a TCP address until the server is shut down.
func listenAndServe(server *hitchserver.Server, addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	return server.Serve(l)
}

// serveUntil serves an internal port, such as readiness or the directory, until
// ctx ends and the requests in flight have their responses.
func serveUntil(ctx context.Context, addr string, server *hitchserver.Server) error {
	stopped := make(chan struct{})
	cancelStop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		if shutDownUntil(server, time.Now().Add(internalShutdownTime)) != nil {
			_ = server.Close()
		}
	})
	err := listenAndServe(server, addr)
	if !cancelStop() {
		<-stopped
	}
	return err
}
