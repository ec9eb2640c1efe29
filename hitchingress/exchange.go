package hitchingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// exchangeMsg is what arrived from an endpoint: the header of its response, the whole body
// of a plain response or bytes of a stream, or the end.
type exchangeMsg struct {
	from *endpointExchange
	// response is the status line and header, and head what they say; response is nil in
	// all messages but the first one.
	response *http.Response
	head     ResponseHead
	// openedAt is when the connection of that response was opened, and isKept is set if it has
	// carried other requests before.
	openedAt time.Time
	isKept   bool
	// isRepeat is set if a request with the same ID was sent there before.
	isRepeat bool
	// skipped is how many responses to other requests came before.
	skipped int
	// data is a whole body, or bytes of a stream that are valid until the next message is
	// received. The body of a refusal isn't delivered.
	data []byte
	// err is io.EOF after the whole response, or a *hitchforward.Failure.
	err error
}

// endpointExchange sends a request to an endpoint and reads the response in a goroutine
// of its own, so that a request can follow several endpoints at a time.
type endpointExchange struct {
	exchangeParams
	messages  chan<- exchangeMsg
	cancel    context.CancelFunc
	abandoned chan struct{}
	// closed is closed once the connection is closed or back in its pool.
	closed chan struct{}
	// isComplete is set once a message with an error was received, which is the last one.
	isComplete bool
}

// exchangeParams are the request of an exchange, and what it needs to be sent.
type exchangeParams struct {
	// id is the request's ID, which the response has too.
	id      string
	pool    *hitchforward.ConnPool
	addr    string
	request hitchforward.Request
	// deadline is when the whole response must have arrived.
	deadline time.Time
	tracker  *hitchoutcome.DispatchTracker
	// decode decodes the header of the response, and isStream reports whether the response
	// is delivered piece by piece.
	decode   func(status int, h http.Header, now time.Time) ResponseHead
	isStream func(status int, head ResponseHead) bool
	// awaitsOwn is set if the response is still awaited once those to other requests have arrived. No
	// instance sends any: the refusal of one of an older build only seems to be one.
	awaitsOwn bool
}

// startExchange sends a request and delivers what arrives to messages.
func startExchange(ctx context.Context, params exchangeParams, messages chan<- exchangeMsg) *endpointExchange {
	ctx, cancel := context.WithCancel(ctx)
	if params.awaitsOwn {
		params.request.IsOwn = func(r *http.Response) bool {
			return params.decode(r.StatusCode, r.Header, time.Now()).RequestID == params.id
		}
	}
	x := &endpointExchange{exchangeParams: params, messages: messages, cancel: cancel, abandoned: make(chan struct{}), closed: make(chan struct{})}
	go func() {
		defer close(x.closed)
		x.run(ctx)
	}()
	return x
}

// end ends the exchange. Unless the last message was received, the connection is closed,
// so that the endpoint can stop working on the request.
func (x *endpointExchange) end() {
	if x.isComplete {
		<-x.closed
	}
	x.cancel()
	close(x.abandoned)
}

// run exchanges the request for the response and delivers what arrives.
func (x *endpointExchange) run(ctx context.Context) {
	exchange, err := x.pool.Open(ctx, x.addr, x.request, x.deadline, x.tracker)
	if err != nil {
		x.deliver(exchangeMsg{err: err})
		return
	}
	defer exchange.Close()
	response := exchange.Response
	head := x.decode(response.StatusCode, response.Header, time.Now())
	if head.RequestID == "" || head.RequestID != x.id {
		// A second copy of a response without an ID, such as a refusal, would be taken for that
		// to the next request on the connection.
		exchange.DiscardConnection()
	}
	if !x.deliver(exchangeMsg{response: response, head: head, openedAt: exchange.OpenedAt, isKept: exchange.IsKept, isRepeat: exchange.IsRepeat, skipped: exchange.Skipped}) {
		return
	}
	if x.isStream(response.StatusCode, head) {
		x.readStream(ctx, exchange)
		return
	}
	var body []byte
	if head.DidNotRun {
		err = exchange.Drain()
	} else {
		body, err = exchange.ReadAll(maxResponseBytes)
	}
	x.deliver(exchangeMsg{data: body, err: endOf(ctx, exchange, err)})
}

// endOf returns the error of the last message: io.EOF or the failure.
func endOf(ctx context.Context, exchange *hitchforward.Exchange, err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return io.EOF
	}
	return exchange.FailureFor(ctx, err)
}

// streamBufferBytes is the size of each of the two buffers for the bytes of a stream.
const streamBufferBytes = 2048

// readStream delivers the bytes of a stream as they arrive.
func (x *endpointExchange) readStream(ctx context.Context, exchange *hitchforward.Exchange) {
	// While the receiver uses one buffer, the next bytes are read into the other one.
	var buffers [2][streamBufferBytes]byte
	for i := 0; ; i = 1 - i {
		n, err := exchange.Read(buffers[i][:])
		if err != nil {
			err = endOf(ctx, exchange, err)
		}
		if !x.deliver(exchangeMsg{data: buffers[i][:n], err: err}) || err != nil {
			return
		}
	}
}

// deliver passes a message on. It returns false if the exchange was ended, although the
// message may have been received then.
func (x *endpointExchange) deliver(msg exchangeMsg) bool {
	msg.from = x
	select {
	case x.messages <- msg:
		return true
	case <-x.abandoned:
		return false
	}
}
