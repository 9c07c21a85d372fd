package node

import (
	"bytes"
	"errors"
	"io"

	"balsamknot.org/entry/connection"
	"balsamknot.org/fleet/memory"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/timer"
)

const (
	// maxAnswerBytes is the maximum size of an answer that is not streamed.
	maxAnswerBytes = 16 << 20
	// freeAnswerBytes is the size up to which an answer takes nothing of the memory budget.
	freeAnswerBytes = 256 << 10
)

var (
	// errAnswerTooLarge means that an answer has more than maxAnswerBytes.
	errAnswerTooLarge = errors.New("answer exceeds the size limit")
	// errNoAnswerMemory means that there is no memory for an answer above freeAnswerBytes.
	errNoAnswerMemory = errors.New("no memory for a large answer")
)

// answerBody is the complete body of an answer. Release must be called when it is no longer needed.
type answerBody struct {
	buf       bytes.Buffer
	memory    *memoryBudget
	workspace site.WorkspaceName
	// taken is the memory that the body has taken.
	taken memory.Bytes
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
		case !b.take(memory.Bytes(b.buf.Len())):
			return errNoAnswerMemory
		}
	}
}

// take takes memory for n more bytes, and returns false if there is none.
func (b *answerBody) take(n memory.Bytes) bool {
	if !b.memory.take(timer.BootClock(), b.claim(n)) {
		return false
	}
	b.taken += n
	return true
}

// Release returns the memory that the body took.
func (b *answerBody) Release() {
	if b.taken > 0 {
		b.memory.release(b.claim(b.taken))
	}
	b.taken = 0
	b.buf = bytes.Buffer{}
}

func (b *answerBody) claim(n memory.Bytes) memory.Claim {
	return memory.Claim{Kind: memory.Answer, Workspace: b.workspace, Bytes: n}
}

// readAnswerBody reads the whole body of an answer that is not streamed, and confirms that it is whole. After an error, the body needs no
// Release.
func (n *Node) readAnswerBody(q *request, x *connection.Exchange) (*answerBody, error) {
	body := &answerBody{memory: n.memory, workspace: q.workspace}
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
