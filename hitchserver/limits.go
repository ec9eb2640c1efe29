package hitchserver

import "time"

// Limits bounds what the client of one connection may send, and how long it may take. A field that is 0 sets no limit.
type Limits struct {
	// HeadBytes is the size of a request's head in bytes. A larger one gets status 431 (RFC 6585).
	HeadBytes int
	// HeadMilliseconds is the time from the first byte of a request's head to its last one.
	HeadMilliseconds int
	// IdleMilliseconds is how long a connection may have no request.
	IdleMilliseconds int
}

// headSlackBytes is how much of a body may be read together with the end of a head.
const headSlackBytes = 4 << 10

// refusalWriteTime is how long the response to such a head may take.
const refusalWriteTime = time.Second

// headTooLarge is the response to a head that exceeds the limit.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// exceeds reports whether so many bytes, read before a request was handled, are more than a head and what is read with it.
func (l Limits) exceeds(bytes int) bool {
	return l.HeadBytes > 0 && bytes > l.HeadBytes+headSlackBytes
}

// deadline returns until when a connection may stay in a phase that began at a time. The zero time is no deadline.
func (l Limits) deadline(p Phase, since time.Time) time.Time {
	milliseconds := 0
	switch p {
	case PhaseReading:
		milliseconds = l.HeadMilliseconds
	case PhaseNew, PhaseIdle:
		milliseconds = l.IdleMilliseconds
	}
	if milliseconds <= 0 {
		return time.Time{}
	}
	return since.Add(time.Duration(milliseconds) * time.Millisecond)
}

// earliest returns the earlier of two deadlines, of which the zero time is none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
