package hitchedge

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchview"
)

// TestTheFirstHubRelaysNews: an instance tells the first hub only, and that one
// tells everyone.
func TestTheFirstHubRelaysNews(t *testing.T) {
	listen := func() *net.UDPConn {
		socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = socket.Close() })
		return socket
	}
	own, other := listen(), listen()
	e := edge(hitchfleet.Instance{ID: "other", DatagramAddr: other.LocalAddr().String(), Zone: "b", LinkMegabits: 1})
	e.Settings.Self.DatagramAddr = own.LocalAddr().String()
	self := e.Settings.Self
	self.LinkMegabits = 10
	v := e.gateway.View().Update(hitchview.InstanceMsg{Revision: 3, Instance: self})
	r := regionOf(self, v)
	qt.Assert(t, r.isFirstHub(self.ID), qt.IsTrue)

	cached := []hitchdigest.Cached{{Endpoint: 7, Prefix: 9, IsRead: true}}
	e.newsRelay.add(hitchdigest.News{From: "third", Cached: cached})
	e.shareNews(own, r)
	buf := make([]byte, maxDatagramBytes)
	n, err := other.Read(buf)
	qt.Assert(t, err, qt.IsNil)
	p, err := hitchdigest.Decode(buf[:n])
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.News.Cached, qt.DeepEquals, cached)
	qt.Assert(t, e.newsRelay.take(), qt.HasLen, 0)
}

// TestNewsStayBelowTheirRate: however much there is to tell, an instance of a large
// region gets a datagram of a kilobyte in a fifth of a second at most.
func TestNewsStayBelowTheirRate(t *testing.T) {
	var r newsRelay
	for i := range 10 * maxNewsCached {
		r.add(hitchdigest.News{Cached: []hitchdigest.Cached{{Prefix: hitchfleet.Key(i)}}})
	}
	told := r.take()
	qt.Assert(t, told, qt.HasLen, maxNewsCached)
	qt.Assert(t, told[maxNewsCached-1].Prefix, qt.Equals, hitchfleet.Key(10*maxNewsCached-1))
	qt.Assert(t, newsPause(maxNewsCached, 390) >= 190*time.Millisecond, qt.IsTrue)
	qt.Assert(t, newsPause(0, 390), qt.Equals, leastNewsPause)
	b, err := hitchdigest.Packet{News: &hitchdigest.News{Cached: told}}.Encode()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(b) <= 1100, qt.IsTrue, qt.Commentf("%d bytes", len(b)))
}
