package hitchbalance

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

// TestBacklogsStayEven replays the loss of engines at a high load: many prompts
// that no engine caches come at once. By rendezvous alone some engines get far more
// to read than others.
func TestBacklogsStayEven(t *testing.T) {
	const prompts, promptTokens, slack = 40, 8500, 8000
	tests := map[string]struct {
		slack  int
		isEven bool
	}{
		"with the backlog known":      {slack, true},
		"nobody knows how they read":  {0, false},
		"as much slack as the burst":  {prompts * promptTokens, false},
		"slack of less than a prompt": {slack / 2, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := balancers(fleet(1, 4))[0]
			backlog := map[hitchfleet.EndpointID]int{}
			for shared := range uint64(prompts) {
				p, _ := b.Pick(start, Request{Service: "llm", Prompt: Prompt{Parts: []Part{{ID: shared + 1000, Tokens: promptTokens}, {ID: shared, Tokens: 100}}}, MayRepeat: true, SlackTokens: test.slack})
				b.Settle(start, Pick{Endpoint: p.Endpoint}, ResultAbandoned) // the load alone would spread them
				backlog[p.Endpoint.ID] += promptTokens
			}
			least, most := prompts*promptTokens, 0
			for _, n := range backlog {
				least, most = min(least, n), max(most, n)
			}
			qt.Assert(t, most-least <= slack+promptTokens, qt.Equals, test.isEven, qt.Commentf("%d to %d tokens", least, most))
		})
	}
}

// TestAPromptStaysWhereItIsRead: what an engine has to read of the prompt itself
// isn't a reason to have it read elsewhere too.
func TestAPromptStaysWhereItIsRead(t *testing.T) {
	b := balancers(fleet(1, 4))[0]
	request := Request{Service: "llm", Prompt: prompt(77), MayRepeat: true, SlackTokens: 1000}
	first, _ := b.Pick(start, request)
	second, _ := b.Pick(start, request)
	qt.Assert(t, second.Endpoint.ID, qt.Equals, first.Endpoint.ID)
}

func TestABacklogEnds(t *testing.T) {
	var l backlog
	l.add(1, 500, at(100))
	l.add(2, 700, at(200))
	l.add(3, 0, at(200))
	qt.Assert(t, l.tokens(start, nil), qt.Equals, 1200)
	qt.Assert(t, l.tokens(start, []hitchfleet.Key{2}), qt.Equals, 500)
	l.remove(2)
	qt.Assert(t, l.tokens(start, nil), qt.Equals, 500)
	qt.Assert(t, l.tokens(at(100), nil), qt.Equals, 0)
}
