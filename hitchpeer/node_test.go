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

// waitTimeout is how long a test waits for a state before it fails.
const waitTimeout = 20 * time.Second

// eventually waits until reached returns true.
func eventually(t testing.TB, state string, reached func() bool) {
	t.Helper()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	timeout := time.NewTimer(waitTimeout)
	defer timeout.Stop()
	for !reached() {
		select {
		case <-ticker.C:
		case <-timeout.C:
			t.Fatalf("state not reached in time: %s", state)
		}
	}
}

// fleet is a set of nodes on the loopback interface.
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

func (f *fleet) listedInstances() []hitchfleet.Instance {
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
		Seeds: f.listedInstances,
	}
}

// start runs a node and adds it to the list of routers.
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
	f.waitForLive(count)
	return all
}

func (f *fleet) waitForLive(count int) {
	f.t.Helper()
	for id, n := range f.nodes {
		eventually(f.t, fmt.Sprintf("%s sees %d routers", id, count), func() bool { return len(n.LiveRouters()) == count })
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
	resp, err := all[0].Call(t.Context(), "router-01", "Echo", []byte("hi"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(resp), qt.Equals, "router-00:hi")
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
		"not listening":    {"router-99", "Fail", 0, true, true, func(error) bool { return true }},
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
					values := n.SharedValues(test.topic)
					return len(values) == 1 && string(values[0].Body) == string(body) && values[0].Origin == "router-03"
				})
			}
		})
	}
}

func TestLeaveReachesAllRouters(t *testing.T) {
	f := newFleet(t)
	all := f.startAll(4)
	leaving := all[2]
	leaving.MarkLeaving()
	for _, n := range all {
		eventually(t, "leaving at "+string(n.Self.ID), func() bool { return n.LiveRouters()[2].Leaving })
	}
	qt.Assert(t, leaving.Leave(t.Context()), qt.IsNil)
	delete(f.nodes, leaving.Self.ID)
	f.waitForLive(3)
	qt.Assert(t, leaving.Share(Topic{Name: "Late"}, nil), qt.IsNil)
	_, err := leaving.Call(t.Context(), "router-00", "Echo", nil)
	qt.Assert(t, errors.Is(err, ErrStopped), qt.IsTrue)
}

func TestStoppedRouterIsDetectedAndRejoins(t *testing.T) {
	f := newFleet(t)
	all := f.startAll(5)
	stopped := all[4].Instance()
	f.stop[stopped.ID]()
	delete(f.nodes, stopped.ID)
	f.waitForLive(4)
	f.start(f.newNode(stopped.ID))
	f.waitForLive(5)
	_, err := all[0].CallIncarnation(t.Context(), stopped.ID, stopped.Incarnation, "Echo", nil)
	var mismatch *IncarnationError
	qt.Assert(t, errors.As(err, &mismatch), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, mismatch.Running > stopped.Incarnation, qt.IsTrue)
	var failed *CallError
	qt.Assert(t, errors.As(err, &failed) && failed.NotHandled, qt.IsTrue)
}

// pauseNode pauses a node until all others have detected that, and resumes it until
// all see it again. It returns how long each took.
func pauseNode(f *fleet, n *Node) (detected, rejoined time.Duration) {
	delete(f.nodes, n.Self.ID)
	start := time.Now()
	n.membersMu.Lock()
	f.waitForLive(len(f.nodes))
	detected = time.Since(start)
	start = time.Now()
	n.membersMu.Unlock()
	f.nodes[n.Self.ID] = n
	f.waitForLive(len(f.nodes))
	return detected, time.Since(start)
}

func TestPausedRouterRejoins(t *testing.T) {
	f := newFleet(t)
	all := f.startAll(6)
	incarnation := all[2].Instance().Incarnation
	detected, rejoined := pauseNode(f, all[2])
	t.Logf("detected after %v, rejoined after %v", detected, rejoined)
	qt.Assert(t, all[0].LiveRouters()[2].Incarnation, qt.Equals, incarnation)
}

func TestSupersededRouterStops(t *testing.T) {
	f := newFleet(t)
	f.start(f.newNode("router-00"))
	older := f.newNode("router-01")
	qt.Assert(t, older.Bind(), qt.IsNil)
	runErr := make(chan error)
	go func() { runErr <- older.Run(context.Background()) }()
	eventually(t, "router-00 sees the older process", func() bool { return len(f.nodes["router-00"].LiveRouters()) == 2 })
	newer := f.newNode("router-01")
	newer.Self.Incarnation = older.Instance().Incarnation + 1
	f.start(newer)
	var superseded *SupersededError
	qt.Assert(t, errors.As(<-runErr, &superseded), qt.IsTrue)
	qt.Assert(t, superseded.Incarnation, qt.Equals, newer.Self.Incarnation)
	f.waitForLive(2)
}

func TestUntrustedCertificatesAreRejected(t *testing.T) {
	f := newFleet(t)
	f.startAll(2)
	otherAuthority := newFleet(t)
	untrusted := otherAuthority.newNode("router-66")
	untrusted.Seeds = f.listedInstances
	otherAuthority.start(untrusted)
	misnamed := f.newNode("router-67")
	keys, err := f.authority.Issue("router-68", time.Now())
	qt.Assert(t, err, qt.IsNil)
	misnamed.Keys = keys.Current
	f.start(misnamed)
	for _, n := range []*Node{untrusted, misnamed} {
		_, err := n.Call(t.Context(), "router-00", "Echo", nil)
		qt.Assert(t, err, qt.IsNotNil)
		qt.Assert(t, n.LiveRouters(), qt.HasLen, 1)
		qt.Assert(t, f.nodes["router-00"].LiveRouters(), qt.HasLen, 2)
	}
}

func TestKeysRotateWithoutRestart(t *testing.T) {
	f := newFleet(t)
	newAuthority := newFleet(t)
	id := hitchfleet.InstanceID("router-01")
	newKeys, err := newAuthority.authority.Issue(id, time.Now())
	qt.Assert(t, err, qt.IsNil)
	a := f.newNode("router-00")
	both := a.Keys().WithAuthorities(newKeys.Authorities)
	a.Keys = both.Current
	f.start(a)
	b := f.newNode(id)
	oldKeys := b.Keys()
	var mu sync.Mutex
	current := oldKeys
	b.Keys = func() Keys { mu.Lock(); defer mu.Unlock(); return current }
	f.start(b)
	f.waitForLive(2)
	mu.Lock()
	current = newKeys.WithAuthorities(oldKeys.Authorities)
	mu.Unlock()
	l, err := a.dial(b.Instance(), true)
	qt.Assert(t, err, qt.IsNil)
	serial := l.conn.ConnectionState().TLS.PeerCertificates[0].SerialNumber
	want, _, err := newKeys.parse()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, serial.Cmp(want.Leaf.SerialNumber), qt.Equals, 0)
}
