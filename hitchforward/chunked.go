package hitchforward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// errChunk is returned if a body in chunks is malformed.
var errChunk = errors.New("malformed chunk")

// maxTrailers limits the trailer fields after a body in chunks.
const maxTrailers = 32

// chunkedBody decodes a body in chunks (RFC 9112, 7.1). A read returns what has arrived.
// That of net/http waits for the rest of the next chunk if a part of it has arrived, and
// holds back whole events until then.
type chunkedBody struct {
	br *bufio.Reader
	// left is the number of bytes of the present chunk that weren't read yet.
	left int64
	// isInChunk is set until the end of the present chunk was read.
	isInChunk bool
	err       error
}

// Read reads bytes of the body. It returns io.EOF after the last chunk.
func (c *chunkedBody) Read(b []byte) (n int, err error) {
	if len(b) == 0 {
		return 0, c.err
	}
	for c.err == nil && c.left == 0 {
		c.err = c.nextChunk()
	}
	if c.err != nil {
		return 0, c.err
	}
	n, err = c.br.Read(b[:min(int64(len(b)), c.left)])
	c.left -= int64(n)
	c.err = unexpectedEOF(err)
	return n, c.err
}

// nextChunk reads the end of the present chunk and the size of the next one. It returns
// io.EOF at the end of the body.
func (c *chunkedBody) nextChunk() error {
	if c.isInChunk {
		if line, err := c.readLine(); err != nil || len(line) > 0 {
			return errors.Join(errChunk, err)
		}
		c.isInChunk = false
	}
	line, err := c.readLine()
	if err != nil {
		return err
	}
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseInt(string(bytes.TrimRight(digits, " \t")), 16, 64)
	if err != nil || size < 0 || digits[0] == '+' {
		return errors.Join(errChunk, err)
	}
	if size == 0 {
		return c.readTrailers()
	}
	c.left, c.isInChunk = size, true
	return nil
}

// readTrailers skips the trailer fields and returns io.EOF.
func (c *chunkedBody) readTrailers() error {
	for range maxTrailers {
		line, err := c.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
	}
	return errChunk
}

// readLine reads a line without its end.
func (c *chunkedBody) readLine() ([]byte, error) {
	line, err := c.br.ReadSlice('\n')
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return nil, errChunk
	}
	return line, nil
}

// unexpectedEOF returns io.ErrUnexpectedEOF in place of io.EOF, for an end that comes too
// early.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
