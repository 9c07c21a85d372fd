package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"balsamknot.org/entry/connection"
	"balsamknot.org/fleet/memory"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/timer"
)

// firstPiece is the memory that a body of unknown length takes first. It doubles as the body grows.
const firstPiece = 16 * memory.KiB

var (
	// errBodyTooLarge means that a body exceeds the limit of the configuration set.
	errBodyTooLarge = errors.New("request body exceeds the size limit")
	// errNoBodyMemory means that there is no memory for a body.
	errNoBodyMemory = errors.New("no memory for the request body")
)

// requestBody is the body of a caller's request in memory. It is in use by the request and by each write to an endpoint; when the last of
// these has ended, its memory is returned.
type requestBody struct {
	memory    *memoryBudget
	workspace site.WorkspaceName
	// deadline is the end of the request's time.
	deadline time.Time
	// data is the body. Only its users may read it.
	data []byte
	// taken is the memory that the body has taken.
	taken memory.Bytes
	users atomic.Int32
}

// newRequestBody returns an empty body that is in use by its request.
func newRequestBody(m *memoryBudget, workspace site.WorkspaceName, deadline time.Time) *requestBody {
	b := &requestBody{memory: m, workspace: workspace, deadline: deadline}
	b.users.Store(1)
	return b
}

// read reads a body of a length, or of unknown length if that is negative, up to limit. Memory is taken before it is filled. The error is
// errBodyTooLarge, errNoBodyMemory or that of r.
func (b *requestBody) read(ctx context.Context, r io.Reader, length, limit int64) error {
	switch {
	case length > limit:
		return errBodyTooLarge
	case length >= 0:
		if !b.grow(ctx, memory.Bytes(length)) {
			return errNoBodyMemory
		}
		_, err := io.ReadFull(r, b.data[:length])
		return err
	}
	return b.readToEnd(ctx, r, limit)
}

// readToEnd reads a body of unknown length, piece by piece.
func (b *requestBody) readToEnd(ctx context.Context, r io.Reader, limit int64) error {
	size := 0
	for {
		if size == len(b.data) && !b.grow(ctx, b.nextPiece(limit)) {
			return errNoBodyMemory
		}
		n, err := r.Read(b.data[size:])
		size += n
		switch {
		case int64(size) > limit:
			return errBodyTooLarge
		case errors.Is(err, io.EOF):
			b.data = b.data[:size]
			return nil
		case err != nil:
			return err
		}
	}
}

// nextPiece returns by how much a body of unknown length grows: it doubles, up to one byte above the limit.
func (b *requestBody) nextPiece(limit int64) memory.Bytes {
	size := memory.Bytes(len(b.data))
	return min(max(size, firstPiece), memory.Bytes(limit)+1-size)
}

// grow takes the memory for n more bytes and adds them to data. It returns false if there is no room.
func (b *requestBody) grow(ctx context.Context, n memory.Bytes) bool {
	if !b.memory.takeOrWait(ctx, b.claim(n), b.taken > 0, b.deadline) {
		return false
	}
	b.taken += n
	data := make([]byte, len(b.data)+int(n))
	copy(data, b.data)
	b.data = data
	return true
}

func (b *requestBody) claim(n memory.Bytes) memory.Claim {
	return memory.Claim{Kind: memory.Body, Workspace: b.workspace, Bytes: n}
}

// large reports whether the body's memory is worth returning before the end of the request.
func (b *requestBody) large() bool { return b.taken > memory.SmallBody }

// use notes a further user, which must call drop.
func (b *requestBody) use() { b.users.Add(1) }

// drop ends a use of the body. The last one returns its memory.
func (b *requestBody) drop() {
	if b.users.Add(-1) > 0 {
		return
	}
	b.data = nil
	if b.taken > 0 {
		b.memory.release(b.claim(b.taken))
	}
}

// readBody reads the whole body into memory, so that the request can be sent without waiting for the caller, and again to another
// endpoint where that is allowed. It refuses a body that is too large or for which there is no memory, and returns false. After any other
// read error it ends the request as if the caller had disconnected.
func (c *callerHandler) readBody(q *request) bool {
	if q.r.ContentLength == 0 {
		return true
	}
	limit := q.set.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	q.body = newRequestBody(c.n.memory, q.workspace, q.deadline)
	control := http.NewResponseController(q.w)
	_ = control.SetReadDeadline(time.Now().Add(q.deadline.Sub(timer.BootClock())))
	err := q.body.read(q.r.Context(), q.r.Body, q.r.ContentLength, limit)
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case err == nil:
		return true
	case errors.Is(err, errBodyTooLarge):
		c.refuseUnread(q, err, http.StatusRequestEntityTooLarge, 0)
	case errors.Is(err, errNoBodyMemory):
		c.refuseUnread(q, err, http.StatusServiceUnavailable, memoryRetryAfter)
	default:
		c.n.endDisconnected(q)
	}
	return false
}

// lingerTime is how long the rest of a refused body is read on and discarded.
const lingerTime = time.Second

// refuseUnread refuses a request whose body was not read to its end. It then discards what the caller still sends, for a short time, before
// the connection is closed: bytes that arrive at a closed connection reset it, and the caller could lose the answer.
func (c *callerHandler) refuseUnread(q *request, cause error, status int, retryAfter time.Duration) {
	q.dropBody()
	q.cause = cause.Error()
	q.w.Header().Set("Connection", "close")
	c.n.refuse(q, status, retryAfter)
	control := http.NewResponseController(q.w)
	if control.Flush() != nil || q.r.Header.Get("Expect") != "" {
		return
	}
	_ = control.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, q.r.Body)
}

// bodyData returns the body; nil if there is none.
func (q *request) bodyData() []byte {
	if q.body == nil {
		return nil
	}
	return q.body.data
}

// writingBody notes that the body is written to an endpoint, and returns what is to be called at the end of the write; nil if there is no
// body. If last is true, the request can't be sent again after a complete write.
func (q *request) writingBody(last bool) func(error) {
	if q.body == nil {
		return nil
	}
	q.body.use()
	early := last && q.body.large()
	if q.body.large() {
		q.fingerprints() // The body may be gone when a crash is recorded.
	}
	return func(err error) {
		if err == nil && early {
			q.dropBody()
		}
		q.body.drop()
	}
}

// bodyAnswered drops a large body when an answer has begun after which the request can't be sent again.
func (q *request) bodyAnswered(x *connection.Exchange) {
	if q.body != nil && q.body.large() && !x.Answer.NotRun && q.route.RetryMode == site.NonIdempotent {
		q.dropBody()
	}
}

// dropBody ends the request's use of its body, after which it can't be sent again. It has no effect after the first call.
func (q *request) dropBody() {
	if q.body != nil {
		q.dropOnce.Do(q.body.drop)
	}
}
