package hitchview

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchroute"
)

// TestPeersKnowEmptyListOfOrganisations guards against routes that are open at instances which follow others, as an
// empty list of organisations and none are the same to them.
func TestPeersKnowEmptyListOfOrganisations(t *testing.T) {
	for name, hasList := range map[string]bool{"empty": true, "none": false} {
		t.Run(name, func(t *testing.T) {
			cfg := hitchroute.Config{Version: 1, HasOrganisations: hasList, Routes: []hitchroute.Route{{Name: "r", Host: "h", PathPrefix: "/"}}}
			now := time.Now()
			sent, err := json.Marshal(PeerUpdate{}.with(now, TableMsg{Revision: 1, Table: hitchroute.NewTable(cfg)}))
			qt.Assert(t, err, qt.IsNil)
			var received PeerUpdate
			qt.Assert(t, json.Unmarshal(sent, &received), qt.IsNil)
			table := View{}.Apply(received.Batch(now)).Table
			route, ok := table.Route("h", "/x")
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, table.RequiresAPIKey(route), qt.Equals, hasList)
		})
	}
}
