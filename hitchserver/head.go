package hitchserver

import "net/http"

// head is the size of a request's head, or of the part that has been read.
type head struct {
	bytes, lines int
}

// headLineBytes is the memory that a line of a head takes in addition to its bytes: its place in the headers of the
// request and of the copy that is sent on.
const headLineBytes = 512

// memoryBytes returns the memory that the head takes.
func (h head) memoryBytes() int64 { return int64(h.bytes) + headLineBytes*int64(h.lines) }

// headOf returns the head of a request.
func headOf(r *http.Request) (h head) {
	h.bytes = HeadBytes(r)
	for _, values := range r.Header {
		h.lines += len(values)
	}
	return h
}

// HeadBytes returns the size in bytes of a request's head, without the spaces and line ends that may differ.
func HeadBytes(r *http.Request) (n int) {
	n = len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(":\r\n")
		}
	}
	return n
}
