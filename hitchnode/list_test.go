package hitchnode

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

// TestMissingListIsNotAnEmptyOne guards against a node that forgets all endpoints, as the platform's answer lacks them.
func TestMissingListIsNotAnEmptyOne(t *testing.T) {
	tests := map[string]struct {
		answer string
		want   int
	}{
		"missing":          {`{"AsOf":"2026-12-05T12:00:01Z","Instances":[]}`, 1},
		"nothing at all":   {`{}`, 1},
		"null":             {`null`, 1},
		"empty":            {`{"AsOf":"2026-12-05T12:00:01Z","Instances":[],"Endpoints":[]}`, 0},
		"empty, but older": {`{"AsOf":"2026-12-05T11:59:59Z","Instances":[],"Endpoints":[]}`, 1},
		"a list of null":   {`{"AsOf":"2026-12-05T12:00:01Z","Instances":null,"Endpoints":null}`, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			answer := `{"AsOf":"2026-12-05T12:00:00Z","Instances":[],"Endpoints":[{"ID":"e"}]}`
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, answer) }))
			defer server.Close()
			list := instanceList{url: server.URL}
			qt.Assert(t, list.fetch(t.Context()), qt.IsNil)
			qt.Assert(t, list.endpoints()[0].ID, qt.Equals, hitchfleet.EndpointID("e"))
			answer = test.answer
			_ = list.fetch(t.Context())
			qt.Assert(t, list.endpoints(), qt.HasLen, test.want)
		})
	}
}
