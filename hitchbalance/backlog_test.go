package hitchbalance

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

// TestBacklogIsBalancedAcrossEngines simulates the loss of engines at a high load: many
// prompts that no engine has cached arrive at once. By rendezvous hashing alone, some
// engines would get far larger backlogs than others.
func TestBacklogIsBalancedAcrossEngines(t *testing.T) {
	const prompts, promptTokens, slack = 40, 8500, 8000
	tests := map[string]struct {
		slack  int
		isEven bool
	}{
		"slack of about a prompt":     {slack, true},
		"no bound":                    {0, false},
		"slack of the whole burst":    {prompts * promptTokens, false},
		"slack of less than a prompt": {slack / 2, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := balancers(fleet(1, 4))[0]
			backlog := map[hitchfleet.EndpointID]int{}
			for shared := range hitchfleet.PartID(prompts) {
				p, _ := b.Pick(start, Request{Service: "llm", Prompt: Prompt{Parts: []Part{{ID: shared + 1000, Tokens: promptTokens}, {ID: shared, Tokens: 100}}}, IsRetrySafe: true, BacklogSlackTokens: test.slack})
				b.Finish(start, Pick{Endpoint: p.Endpoint}, ResultAbandoned) // otherwise the load alone would spread the prompts
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

// TestPromptStaysAtTheEngineThatPrefillsIt checks that the prompt's own prefixes don't
// count for the backlog: otherwise a second engine would prefill them too.
func TestPromptStaysAtTheEngineThatPrefillsIt(t *testing.T) {
	b := balancers(fleet(1, 4))[0]
	request := Request{Service: "llm", Prompt: prompt(77), IsRetrySafe: true, BacklogSlackTokens: 1000}
	first, _ := b.Pick(start, request)
	second, _ := b.Pick(start, request)
	qt.Assert(t, second.Endpoint.ID, qt.Equals, first.Endpoint.ID)
}

func TestBacklogTokens(t *testing.T) {
	var b backlog
	b.add(1, 500, at(100))
	b.add(2, 700, at(200))
	b.add(3, 0, at(200))
	qt.Assert(t, b.tokens(start, nil), qt.Equals, 1200)
	qt.Assert(t, b.tokens(start, []hitchfleet.Key{2}), qt.Equals, 500)
	b.remove(2)
	qt.Assert(t, b.tokens(start, nil), qt.Equals, 500)
	qt.Assert(t, b.tokens(at(100), nil), qt.Equals, 0)
}
