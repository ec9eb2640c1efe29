package hitchsoak

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// TestWrongPartsOfCutResponses checks that a call whose connection ends early still shows
// bytes that don't belong to its response.
func TestWrongPartsOfCutResponses(t *testing.T) {
	whole := streamBody("a", hitchstandin.ShapeOf("/stream/x"))
	half := whole[:len(whole)/2]
	tests := map[string]struct {
		path, body string
		isCorrect  bool
	}{
		"nothing":            {"/stream/x", "", true},
		"a beginning":        {"/stream/x", half, true},
		"an event twice":     {"/stream/x", strings.Repeat("id: 1\ndata: a 1\n\n", 2), false},
		"an event left out":  {"/stream/x", "id: 2\ndata: a 2\n\n", false},
		"of another stream":  {"/stream/x", "id: 1\ndata: b 1\n\n", false},
		"part of a booking":  {"/booking/x", "a bo", true},
		"of another booking": {"/booking/x", "b bo", false},
		"more than a whole":  {"/booking/x", "a body of a and more", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, test.body)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}))
			defer server.Close()
			res, err := server.Client().Get(server.URL)
			qt.Assert(t, err, qt.IsNil)
			x := call{Attempt: "a", Path: test.path}
			qt.Assert(t, x.readResponse(res, io.ReadAll), qt.IsNotNil)
			qt.Assert(t, x.Mismatch == "", qt.Equals, test.isCorrect, qt.Commentf("%s", x.Mismatch))
		})
	}
}
