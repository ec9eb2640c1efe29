package hitchbalance

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchdigest"
)

// tell passes the news of one balancer on to all.
func tell(t *testing.T, now int, from *Balancer, all []*Balancer) {
	news := from.News()
	qt.Assert(t, len(news.Cached) > 0, qt.IsTrue)
	for _, b := range all {
		b.LearnNews(at(now), news)
	}
}

// TestAPromptIsReadOnce replays the first moments after a start: all instances get
// requests with the same long prompt before any engine has read it. Without the
// news each of them is read in full.
func TestAPromptIsReadOnce(t *testing.T) {
	all := balancers(fleet(8, 9))
	reader := pick(t, all[0], start, prompt(77))
	qt.Assert(t, reader.Awaits == 0, qt.IsTrue)
	tell(t, 5, all[0], all)
	var waiting []Pick
	for i, b := range all {
		p := pick(t, b, at(10+i), prompt(77))
		qt.Assert(t, p.Endpoint.ID, qt.Equals, reader.Endpoint.ID)
		_, isReading := b.Await(at(10+i), p)
		qt.Assert(t, p.Awaits != 0 && isReading, qt.IsTrue)
		qt.Assert(t, p.Unread, qt.Equals, 9000)
		waiting = append(waiting, p)
	}
	all[0].Read(at(300), reader)
	tell(t, 305, all[0], all)
	for i, b := range all {
		_, isReading := b.Await(at(310), waiting[i])
		qt.Assert(t, isReading, qt.IsFalse)
		b.Settle(at(310), waiting[i], ResultAbandoned)
		p := pick(t, b, at(310), prompt(77))
		qt.Assert(t, p.Awaits == 0, qt.IsTrue)
		qt.Assert(t, p.Unread, qt.Equals, 500)
	}
}

// TestWhoAwaitsAPromptLearnsOfItsEnd: what is awaited ends when the prompt is read,
// when the request that reads it fails, and in any case after a while.
func TestWhoAwaitsAPromptLearnsOfItsEnd(t *testing.T) {
	tests := map[string]struct {
		end       func(b *Balancer, reader Pick)
		at        int
		isReading bool
	}{
		"it is read":          {func(b *Balancer, p Pick) { b.Read(at(100), p) }, 100, false},
		"a whole answer came": {func(b *Balancer, p Pick) { b.Settle(at(100), p, ResultOK) }, 100, false},
		"the reader failed":   {func(b *Balancer, p Pick) { b.Settle(at(100), p, ResultLost) }, 100, false},
		"the caller left":     {func(b *Balancer, p Pick) { b.Settle(at(100), p, ResultAbandoned) }, 100, false},
		"nothing yet":         {func(*Balancer, Pick) {}, 1999, true},
		"nobody says a word":  {func(*Balancer, Pick) {}, 2000, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := balancers(fleet(1, 3))[0]
			reader := pick(t, b, start, prompt(77))
			p := pick(t, b, start, prompt(77))
			changed, isReading := b.Await(start, p)
			qt.Assert(t, isReading, qt.IsTrue)
			test.end(b, reader)
			_, isReading = b.Await(at(test.at), p)
			qt.Assert(t, isReading, qt.Equals, test.isReading)
			if test.at == 100 {
				<-changed
			}
		})
	}
}

// TestShortPromptsAwaitNothing: reading a short part again costs less than to wait.
func TestShortPromptsAwaitNothing(t *testing.T) {
	b := balancers(fleet(1, 3))[0]
	short := Prompt{Parts: []Part{{ID: 1, Tokens: leastAwaited - 1}, {ID: 2, Tokens: 900}}}
	pick(t, b, start, short)
	qt.Assert(t, pick(t, b, start, short).Awaits == 0, qt.IsTrue)
}

// TestNewsOfAPrefixReplaceEachOther: what is read isn't said to be read still.
func TestNewsOfAPrefixReplaceEachOther(t *testing.T) {
	b := balancers(fleet(1, 3))[0]
	urgent := b.Urgent()
	p := pick(t, b, start, prompt(77))
	<-urgent
	b.Read(at(100), p)
	<-urgent
	news := b.News()
	qt.Assert(t, news.Cached, qt.HasLen, 2)
	var a hitchdigest.Aggregator
	reading := hitchdigest.News{Cached: []hitchdigest.Cached{{Endpoint: news.Cached[0].Endpoint, Prefix: news.Cached[0].Prefix}}}
	a.TakeNews(at(50), reading)
	a.TakeNews(at(100), news)
	told := a.Digests(at(200), hitchdigest.Head{})[0].Cached
	qt.Assert(t, told, qt.HasLen, 2)
	for _, c := range told {
		qt.Assert(t, c.IsRead, qt.IsTrue)
	}
}
