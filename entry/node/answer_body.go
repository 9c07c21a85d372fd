package node

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"balsamknot.org/entry/connection"
)

const (
	// maxAnswerBytes is the maximum size of an answer that is not streamed.
	maxAnswerBytes = 16 << 20
	// freeAnswerBytes is the size up to which an answer takes nothing of the memory for large answers.
	freeAnswerBytes = 256 << 10
	// maxLargeAnswerBytes is the memory for the parts of answers above freeAnswerBytes, of all requests together. An answer takes
	// from it as its buffer doubles, so that one of the maximum size fits.
	maxLargeAnswerBytes = 2 * maxAnswerBytes
)

var (
	// errAnswerTooLarge means that an answer has more than maxAnswerBytes.
	errAnswerTooLarge = errors.New("answer exceeds the size limit")
	// errNoAnswerMemory means that other large answers take the memory that an answer above freeAnswerBytes needs.
	errNoAnswerMemory = errors.New("no memory for a large answer")
)

// answerMemory limits the memory of answers that are held until they are complete. It is safe for concurrent use.
type answerMemory struct {
	mu sync.Mutex
	// used is the part of maxLargeAnswerBytes that is taken.
	used int
}

// take takes n bytes, and returns false if fewer are left.
func (m *answerMemory) take(n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+n > maxLargeAnswerBytes {
		return false
	}
	m.used += n
	return true
}

func (m *answerMemory) release(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
}

// answerBody is the complete body of an answer. Release must be called when it is no longer needed.
type answerBody struct {
	buf    bytes.Buffer
	memory *answerMemory
	// taken is the number of bytes taken from memory.
	taken int
}

// read reads r to its end. A body above maxAnswerBytes is an error, since a truncated one would look complete to the caller.
func (b *answerBody) read(r io.Reader) error {
	for {
		// The buffer at most doubles, so that it has room for as much as it holds.
		step := min(max(b.buf.Len(), freeAnswerBytes), maxAnswerBytes+1-b.buf.Len())
		n, err := io.Copy(&b.buf, io.LimitReader(r, int64(step)))
		switch {
		case err != nil:
			return err
		case b.buf.Len() > maxAnswerBytes:
			return errAnswerTooLarge
		case n < int64(step):
			return nil
		case !b.memory.take(b.buf.Len()):
			return errNoAnswerMemory
		}
		b.taken += b.buf.Len()
	}
}

// Release returns the memory that the body took.
func (b *answerBody) Release() {
	b.memory.release(b.taken)
	b.taken = 0
	b.buf = bytes.Buffer{}
}

// readAnswerBody reads the whole body of an answer that is not streamed, and confirms that it is whole. After an error, the body needs no
// Release.
func (n *Node) readAnswerBody(q *request, x *connection.Exchange) (*answerBody, error) {
	body := &answerBody{memory: &n.answerMemory}
	if err := body.read(x.Response.Body); err != nil {
		body.Release()
		return nil, err
	}
	if err := n.confirmEnd(q, x); err != nil {
		body.Release()
		return nil, err
	}
	x.Finish()
	return body, nil
}
