package hitchsoak

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// Timing of the callers that take up streams.
const (
	streamCallersPerInstance = 8
	// maxStreamGap is how long such a caller waits for the next event before it gives a
	// connection up.
	maxStreamGap = 2 * time.Second
	// maxTries is the number of tries of one stream, and takeUpTimeout how long after the
	// end of one the next may begin.
	maxTries      = 4
	takeUpTimeout = 5 * time.Second
	// reconnectInterval is the time between two attempts to reach an instance.
	reconnectInterval = 100 * time.Millisecond
	// maxTakeUpPause is the longest time from the end of a try to the next one, and
	// promptShare the share of those that begin at once.
	maxTakeUpPause = 600 * time.Millisecond
	promptShare    = 0.4
	// dropShare is the share of the first and second tries that the caller ends in their
	// middle by its own choice.
	dropShare = 0.5
)

// errDropped is the end of a try by the caller's own choice.
var errDropped = errors.New("dropped by the caller")

// streamPaths are the paths of streams that take from 0.1 to 3.5 seconds.
var streamPaths = []string{"/stream/x", "/stream/80x25/x", "/stream/140x25/x"}

// stream is a stream of a caller over all its tries.
type stream struct {
	Path  string
	Tries []streamTry
}

// streamTry is one request for a stream or for the rest of it.
type streamTry struct {
	call
	// LastEventID is the ID of the last event that the caller had before this try.
	LastEventID int
	Events      []hitchstandin.Event
	// FirstEventAt is the time of the first event.
	FirstEventAt time.Time
	// Rest is what the response holds besides events: an event that was cut, or one that
	// couldn't be parsed.
	Rest string
	// IsDropped is set if the caller ended the try by its own choice.
	IsDropped bool
	// IsEnded is set if the response ended as complete.
	IsEnded bool
}

// lastEventID returns the ID of the last event that the caller has after the tries.
func (s stream) lastEventID() (id int) {
	for _, t := range s.Tries {
		if len(t.Events) > 0 {
			id = t.Events[len(t.Events)-1].ID
		}
	}
	return id
}

// origin returns the attempt that received the first event, or an empty string.
func (s stream) origin() string {
	for _, t := range s.Tries {
		if len(t.Events) > 0 {
			return t.Attempt
		}
	}
	return ""
}

// isComplete reports whether the caller has all events.
func (s stream) isComplete() bool { return s.lastEventID() >= hitchstandin.ShapeOf(s.Path).Events }

// streamCaller is a caller of streams. It loses or drops some of them in their middle and
// takes them up at another instance.
type streamCaller struct {
	caller
}

// run requests streams until ctx ends and passes each finished one to record.
func (c *streamCaller) run(ctx context.Context, record func(stream)) {
	rng := rand.New(rand.NewPCG(c.seed, 4))
	c.client.Transport = newTransport()
	for n := 0; ctx.Err() == nil; n++ {
		if c.resolve(ctx, rng) {
			record(c.runStream(ctx, rng, n))
		}
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(meanThinkTime)))
	}
}

// runStream requests one stream, and its rest as long as there is one.
func (c *streamCaller) runStream(ctx context.Context, rng *rand.Rand, n int) stream {
	first := c.newCall(rng, n)
	first.Path = cmp.Or(c.path, streamPaths[rng.IntN(len(streamPaths))])
	s := stream{Path: first.Path}
	promptSeed := rng.Uint64()
	s.Tries = append(s.Tries, c.sendTry(rng, s, first, promptSeed))
	for number := 1; number < maxTries && s.origin() != "" && !s.isComplete(); number++ {
		x := first
		x.Attempt = fmt.Sprintf("%s-%d", first.Attempt, number)
		x.IsResumption = true
		if rng.Float64() >= promptShare {
			sleepUntil(ctx, time.Now().Add(time.Duration(rng.Int64N(int64(maxTakeUpPause)))))
		}
		if x.Instance = c.reachOther(ctx, rng, s.Tries[len(s.Tries)-1].Instance); x.Instance == "" {
			break
		}
		x.Begin = time.Now()
		s.Tries = append(s.Tries, c.sendTry(rng, s, x, promptSeed))
	}
	return s
}

// reachOther returns the address of an instance that accepts connections, if possible not
// the given one. It returns an empty string if there is none within takeUpTimeout.
func (c *streamCaller) reachOther(ctx context.Context, rng *rand.Rand, previous string) string {
	// Connections that wait for their next request may be those of a killed instance.
	c.client.CloseIdleConnections()
	if len(c.addrs) == 1 {
		c.addrsExpireAt = time.Time{}
		c.resolve(ctx, rng)
	}
	for giveUpAt := time.Now().Add(takeUpTimeout); time.Now().Before(giveUpAt) && ctx.Err() == nil; {
		addr := c.addrs[rng.IntN(len(c.addrs))]
		if addr == previous && len(c.addrs) > 1 {
			continue
		}
		conn, err := net.DialTimeout("tcp", addr, resolveTimeout)
		if err == nil {
			_ = conn.Close()
			return addr
		}
		sleepUntil(ctx, time.Now().Add(reconnectInterval))
		c.addrsExpireAt = time.Time{}
		c.resolve(ctx, rng)
	}
	return ""
}

// sendTry sends one request and reads its response.
func (c *streamCaller) sendTry(rng *rand.Rand, s stream, x call, promptSeed uint64) streamTry {
	t := streamTry{call: x, LastEventID: s.lastEventID()}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	dropAfter := 0
	if rest := hitchstandin.ShapeOf(s.Path).Events - t.LastEventID; rest > 1 && len(s.Tries) < 2 && rng.Float64() < dropShare {
		dropAfter = 1 + rng.IntN(rest-1)
	}
	r, err := c.newTry(ctx, s, t, promptSeed)
	if err == nil {
		err = c.readTry(&t, r, cancel, dropAfter)
	}
	t.IsDropped = errors.Is(err, errDropped)
	if !t.IsDropped {
		t.Err = err
	}
	t.End = time.Now()
	if t.Err != nil {
		c.addrsExpireAt = time.Time{}
	}
	return t
}

// newTry returns the request of a try. It differs from the first one of its stream only by
// its ID and by what it says of the events that the caller has.
func (c *streamCaller) newTry(ctx context.Context, s stream, t streamTry, promptSeed uint64) (*http.Request, error) {
	x := t.call
	if len(s.Tries) > 0 {
		x.Attempt = s.Tries[0].Attempt
	}
	r, err := c.newRequest(ctx, rand.New(rand.NewPCG(promptSeed, 4)), x)
	if err != nil {
		return nil, err
	}
	r.Header.Set("X-Attempt-Id", t.Attempt)
	if origin := s.origin(); origin != "" {
		r.Header.Set("Last-Event-Id", strconv.Itoa(t.LastEventID))
		r.Header.Set("Resumes", origin)
	}
	return r, nil
}

// readTry sends the request of a try and reads the response, up to a number of events if
// dropAfter isn't 0.
func (c *streamCaller) readTry(t *streamTry, r *http.Request, cancel func(), dropAfter int) error {
	gap := time.AfterFunc(maxStreamGap, cancel)
	defer gap.Stop()
	res, err := c.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	t.Status = res.StatusCode
	if t.Status != http.StatusOK {
		_, err := io.Copy(io.Discard, res.Body)
		return err
	}
	if res.Header.Get("X-Attempt-Id") != t.Attempt || res.Header.Get("X-Response-Seal") == "" {
		t.Mismatch = fmt.Sprintf("response without digest or of another attempt: %q", res.Header.Get("X-Attempt-Id"))
	}
	return t.readEvents(bufio.NewReader(res.Body), func() bool {
		gap.Reset(maxStreamGap)
		return dropAfter == 0 || len(t.Events) < dropAfter
	})
}

// readEvents reads events until the response ends, or until onEvent returns false, which
// is called after each event.
func (t *streamTry) readEvents(br *bufio.Reader, onEvent func() bool) error {
	var text strings.Builder
	for {
		line, err := br.ReadString('\n')
		text.WriteString(line)
		if err != nil {
			t.Rest += text.String()
			t.IsEnded = errors.Is(err, io.EOF)
			if t.IsEnded {
				return nil
			}
			return err
		}
		if line != "\n" {
			continue
		}
		event, ok := hitchstandin.ParseEvent(text.String())
		if !ok {
			t.Rest += text.String()
			text.Reset()
			continue
		}
		text.Reset()
		if len(t.Events) == 0 {
			t.FirstEventAt = time.Now()
		}
		t.Events = append(t.Events, event)
		if !onEvent() {
			return errDropped
		}
	}
}
