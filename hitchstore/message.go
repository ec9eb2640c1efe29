package hitchstore

import (
	"errors"
	"io"
)

// Limits of what the store sends. Values are in base64, a third longer.
const (
	// maxMessageBytes limits a response, or a message of a watch: some values of MaxValueBytes.
	maxMessageBytes = 4 << 20
	// maxListBytes limits the list of a prefix, of which a home's journal is the longest.
	maxListBytes = 16 << 20
)

// maxResponseBytes returns the limit of the response to a request.
func maxResponseBytes(request any) int {
	if r, ok := request.(wireRange); ok && len(r.RangeEnd) > 0 {
		return maxListBytes
	}
	return maxMessageBytes
}

var errMessageTooLarge = errors.New("the store's message exceeds the size limit")

// messageReader reads messages, of which each fails with errMessageTooLarge beyond left bytes. What is read ahead
// counts as a part of the message before.
type messageReader struct {
	body io.Reader
	left int
}

// Read reads up to the limit of the message.
func (r *messageReader) Read(b []byte) (n int, err error) {
	if r.left <= 0 {
		return 0, errMessageTooLarge
	}
	n, err = r.body.Read(b[:min(len(b), r.left)])
	r.left -= n
	return n, err
}
