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

// DefaultMaxLinks bounds the open connections where Node.MaxLinks is zero.
const DefaultMaxLinks = 128

var (
	errNoID   = errors.New("Self.ID is empty")
	errNoKeys = errors.New("Keys is nil")
)

// Node is one router's part in the membership: it drives Members and Gossip over
// QUIC, and carries requests between routers.
//
//	n := &hitchpeer.Node{Self: self, Keys: keys.Current, Seeds: list}
//	n.Handle("Slot", grantSlot)
//	err := n.Run(ctx)
//
// The exported fields are set before the first use and not changed after it. All
// methods are safe for several goroutines.
type Node struct {
	// Self is this router. Its Incarnation must be above those of all processes
	// that ran under the same ID; zero takes the start time in milliseconds.
	Self hitchfleet.Instance
	// Listen is where to listen for other routers, as host:port over UDP. Empty
	// means Self.PeerAddr. A port of zero in Self.PeerAddr is replaced by the one
	// that was got.
	Listen string
	// Keys returns the current keys. It is asked at each handshake.
	Keys func() Keys
	// Seeds returns the platform's list of routers, which may lag. It is asked
	// every seedSpacing and must not block. Nil means no list.
	Seeds func() []hitchfleet.Instance
	// OnChange is called with each new result of Live. It must not block.
	OnChange func(live []hitchfleet.Instance)
	// OnShare is called with each newer value of another router or of this one. It
	// must not block.
	OnShare func(value SharedValue)
	// Log gets one line for each event. Nil drops them.
	Log hclog.Logger
	// Now is the clock. Nil means time.Now.
	Now func() time.Time
	// MaxLinks bounds the connections that are kept for later calls.
	MaxLinks int

	bindOnce  sync.Once
	bindErr   error
	boundOnce sync.Once
	boundDone chan struct{}
	ctx       context.Context
	cancel    context.CancelCauseFunc
	local     *net.UDPAddr
	transport *quic.Transport
	keyring   keyring
	links     links
	running   sync.WaitGroup
	runningMu sync.Mutex
	stopped   bool

	handlersMu sync.RWMutex
	handlers   map[Kind]Handler

	membersMu  sync.Mutex
	members    Members
	live       atomic.Pointer[[]hitchfleet.Instance]
	neighbours []Neighbour

	gossipMu sync.Mutex
	gossip   Gossip

	sent     trafficCounters
	received trafficCounters
	wireMu   sync.Mutex
	wire     Traffic
	dials    atomic.Uint64
}

// Handle sets what answers requests of a kind.
func (n *Node) Handle(kind Kind, fn Handler) {
	n.handlersMu.Lock()
	defer n.handlersMu.Unlock()
	if n.handlers == nil {
		n.handlers = make(map[Kind]Handler)
	}
	n.handlers[kind] = fn
}

// Live returns the routers that are usable, this one included, sorted by ID. The
// slice is shared and must not be changed. Leaving is set on those that are
// shutting down.
func (n *Node) Live() []hitchfleet.Instance {
	if live := n.live.Load(); live != nil {
		return *live
	}
	return []hitchfleet.Instance{n.Self}
}

// Addr returns where this router listens for others, or nothing before Bind.
func (n *Node) Addr() string {
	select {
	case <-n.bound():
		return n.local.String()
	default:
		return ""
	}
}

// Bound is closed once the node listens.
func (n *Node) Bound() <-chan struct{} { return n.bound() }

func (n *Node) bound() chan struct{} {
	n.boundOnce.Do(func() { n.boundDone = make(chan struct{}) })
	return n.boundDone
}

// Bind opens the socket. Run does so where it wasn't called before; a Node that
// was bound must be run.
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
	n.transport = &quic.Transport{Conn: conn}
	n.ctx, n.cancel = context.WithCancelCause(context.Background())
	n.settle()
	close(n.bound())
	return nil
}

// settle fills in what is known only once the socket is open.
func (n *Node) settle() {
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
	n.Handle(kindSync, n.answerSync)
	n.Handle(kindPull, n.answerPull)
}

// Share spreads a value. Only the newest value of a topic is kept; all routers in
// the topic's scope get it, by and by.
func (n *Node) Share(topic Topic, body []byte) error {
	if len(body) > MaxShareBytes {
		return ErrTooLarge
	}
	select {
	case <-n.bound():
	default:
		return ErrStopped
	}
	n.stepGossip(Publish{Topic: topic, Body: slices.Clone(body)})
	return nil
}

// Shared returns the newest value of each router for a topic, sorted by router.
func (n *Node) Shared(topic Topic) []SharedValue {
	n.gossipMu.Lock()
	defer n.gossipMu.Unlock()
	return n.gossip.Values(topic)
}

// Instance returns this router as others see it, with its incarnation and
// address settled.
func (n *Node) Instance() hitchfleet.Instance { return n.self().Instance() }

func (n *Node) self() Record {
	n.membersMu.Lock()
	defer n.membersMu.Unlock()
	return n.members.Self
}

func (n *Node) incarnation() uint64 { return n.self().Incarnation }

// lookup returns what is known of a router; PeerAddr is empty if it is nothing.
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
