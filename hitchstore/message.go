package hitchstore

import (
	"errors"
	"io"
)

// maxMessageBytes limits a response of the store, or a message of a watch. The largest is the list of a home's journal.
const maxMessageBytes = 32 << 20

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
