package hitchingress

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
)

// TestInvalidStatusIsNeitherAnswerNorRefusal guards against callers that get a response with a status such as 000, and
// requests that go on elsewhere as it seems to be a refusal (rules MIXED and TWICE).
func TestInvalidStatusIsNeitherAnswerNorRefusal(t *testing.T) {
	relayRefusal := fmt.Sprintf("%s: Leaving\r\n%s: NotRun\r\n%s: {id}\r\n", headerRefusal, headerOutcome, headerRefused)
	heads := map[string]string{"answer": "Id: {id}\r\nDigest: s\r\n", "refusal": "Id: {id}\r\nNot-Run: 1\r\n", "relay's refusal": relayRefusal}
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "0", "20", "2000", "-20", "+20", "abc", "2 0", ""} {
		for headName, head := range heads {
			for _, sender := range []string{"endpoint", "endpoint of a relay", "relay"} {
				t.Run(fmt.Sprintf("%q, %s, %s", status, headName, sender), func(t *testing.T) {
					t.Parallel()
					s := strayServer{runCounter: &runCounter{}, response: "HTTP/1.1 " + status + " X\r\n" + head + "Content-Length: 2\r\n\r\nok"}
					backends := []*backend{{addr: listen(t, s.handle)}, {addr: listen(t, s.handle)}}
					route := hitchroute.Route{Kind: hitchroute.NonIdempotent, MaxAttempts: 2}
					server := startGateway(t, route, backends...)
					switch sender {
					case "endpoint of a relay":
						server = startRelayingFleetTo(t, route, backends...).sender
					case "relay":
						cutOff(t, server.Config.Handler.(*Gateway), hitchfleet.Instance{ID: "other", PeerAddr: backends[0].addr})
					}
					got, _, _, err := send(t, server, "k")
					qt.Assert(t, err, qt.IsNil)
					qt.Check(t, got, qt.Equals, http.StatusBadGateway)
					qt.Check(t, s.of("id-1"), qt.Equals, 1)
				})
			}
		}
	}
}
