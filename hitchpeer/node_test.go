package hitchpeer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

// waitLimit is when a test gives up waiting for a state.
const waitLimit = 20 * time.Second

// eventually waits for a state that the network brings about.
func eventually(t testing.TB, what string, reached func() bool) {
	t.Helper()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	limit := time.NewTimer(waitLimit)
	defer limit.Stop()
	for !reached() {
		select {
		case <-ticker.C:
		case <-limit.C:
			t.Fatalf("not reached: %s", what)
		}
	}
}

// fleet is a number of nodes on the loopback interface.
type fleet struct {
	t         testing.TB
	authority DevCertificates
	nodes     map[hitchfleet.InstanceID]*Node
	stop      map[hitchfleet.InstanceID]func()

	mu     sync.Mutex
	listed []hitchfleet.Instance
}

func newFleet(t testing.TB) *fleet {
	f := &fleet{t: t, nodes: make(map[hitchfleet.InstanceID]*Node), stop: make(map[hitchfleet.InstanceID]func())}
	t.Cleanup(func() {
		for _, stop := range f.stop {
			stop()
		}
	})
	return f
}

func (f *fleet) list() []hitchfleet.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed
}

func (f *fleet) newNode(id hitchfleet.InstanceID) *Node {
	keys, err := f.authority.Issue(id, time.Now())
	qt.Assert(f.t, err, qt.IsNil)
	return &Node{
		Self:  hitchfleet.Instance{ID: id, PeerAddr: "127.0.0.1:0", Region: "se-south", Zone: "a"},
		Keys:  keys.Current,
		Seeds: f.list,
	}
}

// start runs a node and lists it.
func (f *fleet) start(n *Node) *Node {
	qt.Assert(f.t, n.Bind(), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = n.Run(ctx) })
	f.nodes[n.Self.ID] = n
	f.stop[n.Self.ID] = sync.OnceFunc(func() { cancel(); running.Wait() })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = append(f.listed[:len(f.listed):len(f.listed)], n.Instance())
	return n
}

func (f *fleet) startAll(count int) []*Node {
	all := make([]*Node, count)
	for i := range all {
		all[i] = f.start(f.newNode(hitchfleet.InstanceID(fmt.Sprintf("router-%02d", i))))
	}
	f.converge(count)
	return all
}

func (f *fleet) converge(count int) {
	f.t.Helper()
	for id, n := range f.nodes {
		eventually(f.t, fmt.Sprintf("%s sees %d routers", id, count), func() bool { return len(n.Live()) == count })
	}
}

func echoHandler(_ context.Context, from hitchfleet.Instance, body []byte) ([]byte, error) {
	return append([]byte(string(from.ID)+":"), body...), nil
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestNodesFindEachOtherAndCall(t *testing.T) {
	f := newFleet(t)
	all := f.startAll(3)
	all[1].Handle("Echo", echoHandler)
	answer, err := all[0].Call(t.Context(), "router-01", "Echo", []byte("hi"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(answer), qt.Equals, "router-00:hi")
}

func TestCallErrors(t *testing.T) {
	f := newFleet(t)
	all := f.startAll(2)
	all[1].Handle("Fail", func(context.Context, hitchfleet.Instance, []byte) ([]byte, error) {
		return nil, errors.New("no slot")
	})
	closed := hitchfleet.Instance{ID: "router-99", PeerAddr: "127.0.0.1:1"}
	f.mu.Lock()
	f.listed = append(f.listed[:len(f.listed):len(f.listed)], closed)
	f.mu.Unlock()
	tests := map[string]struct {
		to          hitchfleet.InstanceID
		kind        Kind
		incarnation uint64
		unsent      bool
		notHandled  bool
		is          func(err error) bool
	}{
		"unknown instance": {"router-77", "Fail", 0, true, true, func(err error) bool { return errors.Is(err, ErrUnknownInstance) }},
		"nobody listens":   {"router-99", "Fail", 0, true, true, func(error) bool { return true }},
		"no handler":       {"router-01", "None", 0, false, true, func(err error) bool { return errors.Is(err, ErrNoHandler) }},
		"handler fails": {"router-01", "Fail", 0, false, false, func(err error) bool {
			var remote *RemoteError
			return errors.As(err, &remote) && remote.Text == "no slot"
		}},
		"other incarnation": {"router-01", "Fail", 1, true, true, func(err error) bool {
			var other *IncarnationError
			return errors.As(err, &other) && other.Wanted == 1
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := all[0].CallIncarnation(t.Context(), test.to, test.incarnation, test.kind, nil)
			var failed *CallError
			qt.Assert(t, errors.As(err, &failed), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, failed.Unsent, qt.Equals, test.unsent, qt.Commentf("%v", err))
			qt.Assert(t, failed.NotHandled, qt.Equals, test.notHandled, qt.Commentf("%v", err))
			qt.Assert(t, test.is(err), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

func TestShareReachesAll(t *testing.T) {
	f := newFleet(t)
	all := f.startAll(8)
	tests := map[string]struct {
		topic Topic
		size  int
	}{
		"small":    {Topic{Name: "Small"}, 100},
		"large":    {Topic{Name: "Large"}, 64 << 10},
		"regional": {Topic{Name: "Regional", Regional: true}, 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			body := make([]byte, test.size)
			body[0] = 7
			qt.Assert(t, all[3].Share(test.topic, []byte("old")), qt.IsNil)
			qt.Assert(t, all[3].Share(test.topic, body), qt.IsNil)
			for _, n := range all {
				eventually(t, "the value at "+string(n.Self.ID), func() bool {
					values := n.Shared(test.topic)
					return len(values) == 1 && string(values[0].Body) == string(body) && values[0].Origin == "router-03"
				})
			}
		})
	}
}

func TestLeaveIsSeenByAll(t *testing.T) {
	f := newFleet(t)
	all := f.startAll(4)
	left := all[2]
	left.MarkLeaving()
	for _, n := range all {
		eventually(t, "leaving at "+string(n.Self.ID), func() bool { return n.Live()[2].Leaving })
	}
	qt.Assert(t, left.Leave(t.Context()), qt.IsNil)
	delete(f.nodes, left.Self.ID)
	f.converge(3)
	qt.Assert(t, left.Share(Topic{Name: "Late"}, nil), qt.IsNil)
	_, err := left.Call(t.Context(), "router-00", "Echo", nil)
	qt.Assert(t, errors.Is(err, ErrStopped), qt.IsTrue)
}

func TestStoppedRouterIsFoundAndReturns(t *testing.T) {
	f := newFleet(t)
	all := f.startAll(5)
	gone := all[4].Instance()
	f.stop[gone.ID]()
	delete(f.nodes, gone.ID)
	f.converge(4)
	f.start(f.newNode(gone.ID))
	f.converge(5)
	_, err := all[0].CallIncarnation(t.Context(), gone.ID, gone.Incarnation, "Echo", nil)
	var other *IncarnationError
	qt.Assert(t, errors.As(err, &other), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, other.Running > gone.Incarnation, qt.IsTrue)
	var failed *CallError
	qt.Assert(t, errors.As(err, &failed) && failed.NotHandled, qt.IsTrue)
}

// pause lets a node stand still until no other one sees it, and go on until all do
// again. It returns how long both took.
func pause(f *fleet, n *Node) (found, back time.Duration) {
	delete(f.nodes, n.Self.ID)
	begin := time.Now()
	n.membersMu.Lock()
	f.converge(len(f.nodes))
	found = time.Since(begin)
	begin = time.Now()
	n.membersMu.Unlock()
	f.nodes[n.Self.ID] = n
	f.converge(len(f.nodes))
	return found, time.Since(begin)
}

func TestPausedRouterReturns(t *testing.T) {
	f := newFleet(t)
	all := f.startAll(6)
	incarnation := all[2].Instance().Incarnation
	found, back := pause(f, all[2])
	t.Logf("found after %v, back after %v", found, back)
	qt.Assert(t, all[0].Live()[2].Incarnation, qt.Equals, incarnation)
}

func TestSupersededRouterStops(t *testing.T) {
	f := newFleet(t)
	f.start(f.newNode("router-00"))
	old := f.newNode("router-01")
	qt.Assert(t, old.Bind(), qt.IsNil)
	ended := make(chan error)
	go func() { ended <- old.Run(context.Background()) }()
	eventually(t, "the old one is seen", func() bool { return len(f.nodes["router-00"].Live()) == 2 })
	young := f.newNode("router-01")
	young.Self.Incarnation = old.Instance().Incarnation + 1
	f.start(young)
	var superseded *SupersededError
	qt.Assert(t, errors.As(<-ended, &superseded), qt.IsTrue)
	qt.Assert(t, superseded.Incarnation, qt.Equals, young.Self.Incarnation)
	f.converge(2)
}

func TestStrangersAreRefused(t *testing.T) {
	f := newFleet(t)
	f.startAll(2)
	strangers := newFleet(t)
	strange := strangers.newNode("router-66")
	strange.Seeds = f.list
	strangers.start(strange)
	named := f.newNode("router-67")
	keys, err := f.authority.Issue("router-68", time.Now())
	qt.Assert(t, err, qt.IsNil)
	named.Keys = keys.Current
	f.start(named)
	for _, n := range []*Node{strange, named} {
		_, err := n.Call(t.Context(), "router-00", "Echo", nil)
		qt.Assert(t, err, qt.IsNotNil)
		qt.Assert(t, n.Live(), qt.HasLen, 1)
		qt.Assert(t, f.nodes["router-00"].Live(), qt.HasLen, 2)
	}
}

func TestKeysRotateWithoutStop(t *testing.T) {
	f := newFleet(t)
	next := newFleet(t)
	id := hitchfleet.InstanceID("router-01")
	fresh, err := next.authority.Issue(id, time.Now())
	qt.Assert(t, err, qt.IsNil)
	a := f.newNode("router-00")
	both := a.Keys().WithAuthorities(fresh.Authorities)
	a.Keys = both.Current
	f.start(a)
	b := f.newNode(id)
	old := b.Keys()
	var mu sync.Mutex
	current := old
	b.Keys = func() Keys { mu.Lock(); defer mu.Unlock(); return current }
	f.start(b)
	f.converge(2)
	mu.Lock()
	current = fresh.WithAuthorities(old.Authorities)
	mu.Unlock()
	l, err := a.dial(b.Instance(), true)
	qt.Assert(t, err, qt.IsNil)
	serial := l.conn.ConnectionState().TLS.PeerCertificates[0].SerialNumber
	want, _, err := fresh.parse()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, serial.Cmp(want.Leaf.SerialNumber), qt.Equals, 0)
}
