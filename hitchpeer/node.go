package hitchpeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"github.com/hashicorp/go-hclog"
	"github.com/quic-go/quic-go"
)

// DefaultMaxLinks is the maximum number of open connections if Node.MaxLinks is
// zero.
const DefaultMaxLinks = 128

var (
	errNoID   = errors.New("Self.ID is empty")
	errNoKeys = errors.New("Keys is nil")
)

// Node connects a router to the other routers of the fleet. It runs the membership
// protocol (Members) and the gossip protocol (Gossip) over QUIC, and sends and
// handles requests between routers.
//
//	n := &hitchpeer.Node{Self: self, Keys: keys.Current, Seeds: list}
//	n.Handle("Slot", grantSlot)
//	err := n.Run(ctx)
//
// The exported fields must be set before the first use and not changed afterwards.
// All methods are safe for concurrent use.
type Node struct {
	// Self is this router. Its Incarnation must be higher than that of every earlier
	// process with the same ID; zero means the start time in milliseconds.
	Self hitchfleet.Instance
	// Listen is the UDP address to listen on, as host:port. Empty means
	// Self.PeerAddr. A port of zero in Self.PeerAddr is replaced by the port that
	// the system assigned.
	Listen string
	// Keys returns the current keys. It is called at each handshake.
	Keys func() Keys
	// Seeds returns the platform's list of routers, which may be out of date. It is
	// called every seedInterval and must not block. Nil means no list.
	Seeds func() []hitchfleet.Instance
	// OnLiveChange is called when the result of LiveRouters changed. It must not
	// block.
	OnLiveChange func(live []hitchfleet.Instance)
	// OnSharedValue is called with each new shared value, including those of this
	// router. It must not block.
	OnSharedValue func(value SharedValue)
	// Log receives one line for each event. Nil disables logging.
	Log hclog.Logger
	// Now is the clock. Nil means time.Now.
	Now func() time.Time
	// MaxLinks is the number of open connections above which idle ones are closed.
	// Zero means DefaultMaxLinks.
	MaxLinks int

	bindOnce   sync.Once
	bindErr    error
	boundOnce  sync.Once
	boundCh    chan struct{}
	ctx        context.Context
	cancel     context.CancelCauseFunc
	local      *net.UDPAddr
	transport  *quic.Transport
	keyring    keyring
	links      links
	handshakes handshakes
	tasks      sync.WaitGroup
	tasksMu    sync.Mutex
	stopped    bool

	handlersMu sync.RWMutex
	handlers   map[Kind]Handler

	membersMu  sync.Mutex
	members    Members
	live       atomic.Pointer[[]hitchfleet.Instance]
	neighbours []Neighbour

	gossipMu sync.Mutex
	gossip   Gossip

	sent            trafficCounters
	received        trafficCounters
	closedTrafficMu sync.Mutex
	closedTraffic   Traffic
	dials           atomic.Uint64
}

// Handle sets the handler for requests of a kind.
func (n *Node) Handle(kind Kind, fn Handler) {
	n.handlersMu.Lock()
	defer n.handlersMu.Unlock()
	if n.handlers == nil {
		n.handlers = make(map[Kind]Handler)
	}
	n.handlers[kind] = fn
}

// LiveRouters returns the usable routers, including this one, sorted by ID. The slice
// is shared and must not be modified. Leaving is set on routers that are shutting
// down.
func (n *Node) LiveRouters() []hitchfleet.Instance {
	if live := n.live.Load(); live != nil {
		return *live
	}
	return []hitchfleet.Instance{n.Self}
}

// Addr returns the address on which this router listens for other routers, or the
// empty string before Bind.
func (n *Node) Addr() string {
	select {
	case <-n.boundChan():
		return n.local.String()
	default:
		return ""
	}
}

// Bound returns a channel that is closed once the node listens.
func (n *Node) Bound() <-chan struct{} { return n.boundChan() }

func (n *Node) boundChan() chan struct{} {
	n.boundOnce.Do(func() { n.boundCh = make(chan struct{}) })
	return n.boundCh
}

// Bind opens the socket. Run calls it if it hasn't been called before. After Bind,
// Run must be called, as it also closes the socket.
func (n *Node) Bind() error {
	n.bindOnce.Do(func() {
		if err := n.bind(); err != nil {
			n.bindErr = fmt.Errorf("hitchpeer: binding: %w", err)
		}
	})
	return n.bindErr
}

func (n *Node) bind() error {
	switch {
	case n.Self.ID == "":
		return errNoID
	case n.Keys == nil:
		return errNoKeys
	}
	if _, _, err := n.keyring.load(n.Keys()); err != nil {
		return err
	}
	listen := n.Listen
	if listen == "" {
		listen = n.Self.PeerAddr
	}
	addr, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return err
	}
	n.local = conn.LocalAddr().(*net.UDPAddr)
	n.transport = &quic.Transport{Conn: conn, VerifySourceAddress: n.handshakes.verifiesAddress, ConnContext: n.handshakes.begin}
	n.ctx, n.cancel = context.WithCancelCause(context.Background())
	n.initSelf()
	close(n.boundChan())
	return nil
}

// initSelf completes this router's record with the values that are known only once
// the socket is open, and registers the handlers of this package.
func (n *Node) initSelf() {
	self := n.Self
	if self.Incarnation == 0 {
		self.Incarnation = uint64(n.now().UnixMilli())
	}
	if host, port, err := net.SplitHostPort(self.PeerAddr); self.PeerAddr == "" || err == nil && port == "0" {
		if host == "" {
			host = n.local.IP.String()
		}
		self.PeerAddr = net.JoinHostPort(host, fmt.Sprint(n.local.Port))
	}
	seed := self.Incarnation
	n.membersMu.Lock()
	n.members.Self, n.members.Seed = RecordOf(self), seed
	n.membersMu.Unlock()
	n.gossipMu.Lock()
	n.gossip.Self, n.gossip.Seed = RecordOf(self), seed
	n.gossipMu.Unlock()
	n.live.Store(&[]hitchfleet.Instance{self})
	n.Handle(kindSync, n.handleSync)
	n.Handle(kindPull, n.handlePull)
}

// Share publishes a value to all routers in the topic's scope, asynchronously. Only
// the newest value of a topic is kept.
func (n *Node) Share(topic Topic, body []byte) error {
	if len(body) > MaxShareBytes {
		return ErrTooLarge
	}
	select {
	case <-n.boundChan():
	default:
		return ErrStopped
	}
	n.updateGossip(Publish{Topic: topic, Body: slices.Clone(body)})
	return nil
}

// SharedValues returns each router's newest value for a topic, sorted by router ID.
func (n *Node) SharedValues(topic Topic) []SharedValue {
	n.gossipMu.Lock()
	defer n.gossipMu.Unlock()
	return n.gossip.Values(topic)
}

// Instance returns this router with its final incarnation and address, as other
// routers see it.
func (n *Node) Instance() hitchfleet.Instance { return n.self().Instance() }

func (n *Node) self() Record {
	n.membersMu.Lock()
	defer n.membersMu.Unlock()
	return n.members.Self
}

func (n *Node) incarnation() uint64 { return n.self().Incarnation }

// lookup returns a router from the membership or else from the platform's list. If
// neither has it, PeerAddr is empty.
func (n *Node) lookup(id hitchfleet.InstanceID) hitchfleet.Instance {
	n.membersMu.Lock()
	record, ok := n.members.Record(id)
	n.membersMu.Unlock()
	if ok {
		return record.Instance()
	}
	for _, instance := range n.seeds() {
		if instance.ID == id {
			return instance
		}
	}
	return hitchfleet.Instance{ID: id}
}

func (n *Node) seeds() []hitchfleet.Instance {
	if n.Seeds == nil {
		return nil
	}
	return n.Seeds()
}

func (n *Node) now() time.Time {
	if n.Now == nil {
		return time.Now()
	}
	return n.Now()
}

func (n *Node) log() hclog.Logger {
	if n.Log == nil {
		return hclog.NewNullLogger()
	}
	return n.Log
}
