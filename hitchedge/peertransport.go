package hitchedge

import (
	"fmt"
	"net/http"

	"citronhitch.example/citronhitch/hitchconn"
)

// headerAnswers holds which request a response between instances answers, by path and query.
const headerAnswers = "Citronhitch-Answers"

// peerTransport sends requests to other instances. A response to another request, such as a
// second copy that arrives late on a connection that is in use again, is an error. Instances
// of older versions don't say which request they answer.
type peerTransport struct{ hitchconn.Transport }

// RoundTrip sends a request and returns its response.
func (t peerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if answered := res.Header.Get(headerAnswers); answered != "" && answered != r.URL.RequestURI() {
		_ = res.Body.Close()
		return nil, fmt.Errorf("response to another request: %q", answered)
	}
	return res, nil
}
