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

// exchangeMsg is what arrived from an endpoint: the header of its response, or bytes of
// the body and its end.
type exchangeMsg struct {
	from *endpointExchange
	// response is the status line and header; nil in all messages but the first one.
	response *http.Response
	// data is valid until the next message is received.
	data []byte
	// err is io.EOF after the whole response, or a *hitchforward.Failure.
	err error
}

// endpointExchange sends a request to an endpoint and reads the response in a goroutine
// of its own, so that a request can follow several endpoints at a time.
type endpointExchange struct {
	messages  chan<- exchangeMsg
	cancel    context.CancelFunc
	abandoned chan struct{}
	// closed is closed once the connection is closed or back in its pool.
	closed chan struct{}
	// isComplete is set once a message with an error was received, which is the last one.
	isComplete bool
}

// startExchange sends a request and delivers what arrives to messages. The whole response
// must arrive by the deadline.
func startExchange(ctx context.Context, pool *hitchforward.ConnPool, addr string, r hitchforward.Request, deadline time.Time, tracker *hitchoutcome.DispatchTracker, messages chan<- exchangeMsg) *endpointExchange {
	ctx, cancel := context.WithCancel(ctx)
	x := &endpointExchange{messages: messages, cancel: cancel, abandoned: make(chan struct{}), closed: make(chan struct{})}
	go func() {
		defer close(x.closed)
		x.run(ctx, pool, addr, r, deadline, tracker)
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

// exchangeBufferBytes is the size of each of an exchange's two read buffers.
const exchangeBufferBytes = 2048

// run exchanges the request for the response and delivers what arrives.
func (x *endpointExchange) run(ctx context.Context, pool *hitchforward.ConnPool, addr string, r hitchforward.Request, deadline time.Time, tracker *hitchoutcome.DispatchTracker) {
	exchange, err := pool.Open(ctx, addr, r, deadline, tracker)
	if err != nil {
		x.deliver(exchangeMsg{err: err})
		return
	}
	defer exchange.Close()
	isWanted := x.deliver(exchangeMsg{response: exchange.Response})
	// While the receiver uses one buffer, the next bytes are read into the other one.
	var buffers [2][]byte
	for i := 0; isWanted; i = 1 - i {
		if buffers[i] == nil {
			buffers[i] = make([]byte, exchangeBufferBytes)
		}
		n, err := exchange.Read(buffers[i])
		if err != nil && !errors.Is(err, io.EOF) {
			err = exchange.FailureFor(ctx, err)
		}
		isWanted = x.deliver(exchangeMsg{data: buffers[i][:n], err: err}) && err == nil
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
