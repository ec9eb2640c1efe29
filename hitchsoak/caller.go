package hitchsoak

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"citronhitch.example/citronhitch/hitchconn"
	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// Timeouts and pauses of a caller.
const (
	callTimeout    = 8 * time.Second
	resolveTimeout = time.Second
	// meanThinkTime is the mean pause between two calls of a caller.
	meanThinkTime = 40 * time.Millisecond
	// sendAgainShare is the share of requests that a caller sends a second time, if it does.
	sendAgainShare = 0.2
	// maxIdleConns limits the connections that a caller keeps for its next calls. All
	// callers together have few file descriptors.
	maxIdleConns = 8
)

// call is one attempt of a caller and its result.
type call struct {
	Attempt  string
	Path     string
	Key      int
	Instance string
	Begin    time.Time
	End      time.Time
	Status   int
	Err      error
	// Mismatch describes how a successful response differs from the expected one, or from the
	// beginning of it if the connection ended before; it is empty if they are equal.
	Mismatch string
	// IsDropped is set if the instance read the whole request and closed the connection
	// without a byte of a response.
	IsDropped bool
	// SaysLeaving is set if the response says that its endpoint leaves.
	SaysLeaving bool
	// IsResumption is set if the request is for the rest of a stream.
	IsResumption bool
	// IsCrashing is set if endpoints crash at the request.
	IsCrashing bool
	// SealedBy is the endpoint whose header the response has, or empty if it has none.
	SealedBy string
}

// caller sends requests one at a time, on reused connections, to the instances that
// a directory returned.
type caller struct {
	seed          uint64
	fleet         *fleet
	client        http.Client
	addrs         []string
	addrsExpireAt time.Time
	// path is the path of all requests; empty means random ones.
	path string
	// sendsAgain is set if some requests are sent a second time under their ID, to the same instance.
	sendsAgain bool
	// cause makes endpoints crash at all requests; the zero value is none.
	cause crashCause
}

// newTransport returns the transport of a caller, which takes no part of a response for a whole one.
func newTransport() hitchconn.Transport {
	return hitchconn.NewTransport(&http.Transport{MaxIdleConns: maxIdleConns})
}

// run makes calls until ctx ends and passes each finished one to record.
func (c *caller) run(ctx context.Context, record func(call)) {
	rng := rand.New(rand.NewPCG(c.seed, 2))
	c.client.Transport = newTransport()
	for n := 0; ctx.Err() == nil; n++ {
		if c.resolve(ctx, rng) {
			x := c.newCall(rng, n)
			record(c.sendCall(rng, x))
			if c.sendsAgain && rng.Float64() < sendAgainShare {
				record(c.sendCall(rng, x.again()))
			}
		}
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(meanThinkTime)))
	}
}

// maxDirectories is how many directories a caller asks before it goes on with old addresses.
const maxDirectories = 3

// resolve requests the addresses of instances from directories if the cached ones
// have expired. It reports whether any address is known.
func (c *caller) resolve(ctx context.Context, rng *rand.Rand) bool {
	if time.Now().Before(c.addrsExpireAt) && len(c.addrs) > 0 {
		return true
	}
	order := rng.Perm(len(c.fleet.instances))
	for _, n := range order[:min(len(order), maxDirectories)] {
		if c.askDirectory(ctx, c.fleet.instances[n]) {
			return true
		}
	}
	return len(c.addrs) > 0
}

// askDirectory requests the addresses from the directory of an instance. It reports whether it has got some.
func (c *caller) askDirectory(ctx context.Context, i *instance) bool {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d/v1/resolve?name=soak.example&region=r&zone=a", i.ip, hitchstandin.DirectoryPort)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	res, err := c.client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	var out struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttlS"`
	}
	if json.NewDecoder(res.Body).Decode(&out) != nil || len(out.Addresses) == 0 {
		return false
	}
	c.addrs, c.addrsExpireAt = out.Addresses, time.Now().Add(time.Duration(out.TTL*float64(time.Second)))
	return true
}

// paths are the paths of calls: a short stream, two that take seconds, a booking and a
// lookup.
var paths = []string{"/stream/x", "/stream/80x25/x", "/stream/140x25/x", "/booking/x", "/lookup/x"}

// newCall returns a call with a random path and organisation.
func (c *caller) newCall(rng *rand.Rand, n int) call {
	x := call{
		Attempt: fmt.Sprintf("%x-%d", c.seed, n), Path: cmp.Or(c.path, paths[rng.IntN(len(paths))]), Key: rng.IntN(len(c.fleet.keys)),
		Instance: c.addrs[rng.IntN(len(c.addrs))], Begin: time.Now(),
	}
	if c.cause.isRequest() {
		x.Key = c.cause.key
	}
	return x
}

// newRequest returns the HTTP request of a call.
func (c *caller) newRequest(ctx context.Context, rng *rand.Rand, x call) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+x.Instance+x.Path, strings.NewReader(cmp.Or(c.cause.body, "body of "+x.Attempt)))
	if err != nil {
		return nil, err
	}
	r.Host = "soak.example"
	r.Header.Set("X-Attempt-Id", x.Attempt)
	r.Header.Set("Api-Key", c.fleet.keys[x.Key])
	r.Header.Set("X-Time-Budget-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	if c.cause.isRequest() {
		return r, nil
	}
	more := ""
	if c.cause.part != "" {
		more = c.cause.part + ":50,"
	}
	r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("1:2000,%x:5000,%s%x:100", rng.IntN(20)+2, more, rng.Uint32()))
	return r, nil
}

// again returns the same call at a later time.
func (x call) again() call {
	x.Begin = time.Now()
	return x
}

// sendCall sends one request and returns the call.
func (c *caller) sendCall(rng *rand.Rand, out call) call {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := c.newRequest(ctx, rng, out)
	if err != nil {
		out.Err = err
		return out
	}
	res, err := c.client.Do(r)
	if err == nil {
		err = out.readResponse(res, io.ReadAll)
	}
	out.Err, out.End = err, time.Now()
	if err != nil {
		c.addrsExpireAt = time.Time{}
	}
	return out
}

// readResponse reads a response with readAll and compares it with the expected one.
func (x *call) readResponse(res *http.Response, readAll func(io.Reader) ([]byte, error)) error {
	defer func() { _ = res.Body.Close() }()
	x.Status = res.StatusCode
	x.SaysLeaving, x.SealedBy = hitchstandin.SaysLeaving(res.Header), hitchstandin.SealedBy(res.Header)
	body, err := readAll(res.Body)
	switch {
	case x.Status != http.StatusOK:
	case err == nil:
		x.Mismatch = findMismatch(*x, res.Header, string(body))
	default:
		x.Mismatch = findWrongPart(*x, string(body))
	}
	return err
}

// findMismatch describes how a successful response differs from the expected one, or
// returns an empty string.
func findMismatch(c call, header http.Header, body string) string {
	if header.Get("X-Attempt-Id") != c.Attempt || header.Get("X-Response-Seal") == "" {
		return fmt.Sprintf("response without digest or of another attempt: %q", header.Get("X-Attempt-Id"))
	}
	if want := expectedBody(c); body != want {
		return fmt.Sprintf("body %q, want %q", body, want)
	}
	return ""
}

// streamBody returns the body of a complete stream.
func streamBody(attempt string, shape hitchstandin.StreamShape) string {
	var b strings.Builder
	for id := 1; id <= shape.Events; id++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: %s %d\n\n", id, attempt, id)
	}
	return b.String()
}
