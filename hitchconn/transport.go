package hitchconn

import "net/http"

// Transport sends requests on connections that check their end. A response with an invalid status is an error, as
// it says neither that a request was carried out nor that it wasn't.
type Transport struct{ *http.Transport }

// NewTransport returns a transport with the settings of t, which it takes over.
func NewTransport(t *http.Transport) Transport {
	t.DialContext = Dial(t.DialContext)
	return Transport{t}
}

// RoundTrip sends a request and returns its response. Its error is that of the connection, or wraps ErrInvalidStatus.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(res.StatusCode); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}
