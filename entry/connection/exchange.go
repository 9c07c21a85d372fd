package connection

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"balsamknot.org/fleet/answer"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform"
)

// Request is a request to an endpoint. Target and body are sent exactly as the caller sent them.
type Request struct {
	// ID is the request's ID. Do discards answers that carry another one.
	ID     string
	Method string
	// Target is the path and query in the caller's own encoding.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Instance is the endpoint that the request is meant for, with the start time of the process that is registered at the address; 0 when unknown.
	Instance endpoint.Instance
	// Process is the process that the request is bound to.
	Process Process
	// Written is called once when Body is no longer in use: with nil after the request was written, with an error if it was not written to
	// its end. Nil means that it is not called.
	Written func(error)
}

func (r Request) written(err error) {
	if r.Written != nil {
		r.Written(err)
	}
}

// Exchange is one request and its answer. The caller reads Response.Body and then calls Finish, or gives up with Abort.
type Exchange struct {
	// Response is the answer as received, and Answer the values from its status and headers that entry hosts use.
	Response *http.Response
	Answer   platform.Answer

	pool *Pool
	conn *pooledConn
	// beganAt is when the exchange got its connection, which was open then, by timer.BootClock.
	beganAt time.Time
	// writeDone receives the result of a write that runs while the answer is read; nil when the request was written before.
	writeDone   chan error
	releaseOnce sync.Once
	// instance is Request.Instance.
	instance endpoint.Instance
	// guard is the guard of the answer; nil if there is none.
	guard *Guard
}

// Do sends a request and reads the status and headers of its answer. The deadline applies to connecting and to the body as well. The connection is closed
// when ctx ends before Do returns. The error is ErrNotSent when no connection to the request's process could be established, and ErrIncomplete otherwise.
func (p *Pool) Do(ctx context.Context, address string, r Request, deadline time.Time) (*Exchange, error) {
	p.noteProcess(address, r.Instance.StartedAt)
	dialCtx, cancel := context.WithDeadline(ctx, deadline)
	c, err := p.getFor(dialCtx, address, r.Process)
	cancel()
	if err != nil {
		r.written(err)
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	_ = c.SetDeadline(deadline)
	x := &Exchange{pool: p, conn: c, instance: r.Instance, beganAt: timer.BootClock()}
	if err := x.send(r); err != nil {
		x.closeFailed(err)
		return nil, err
	}
	if err := x.readHead(r.ID, r.Method); err != nil {
		x.closeFailed(err)
		return nil, eris.Wrapf(errors.Join(ErrIncomplete, err), "read the answer of endpoint %s", address)
	}
	return x, nil
}

// maxSyncWrite is the size in bytes up to which a request is written before its answer is read. A longer one is written while the
// answer is read, since an endpoint may answer before it has read the whole request.
const maxSyncWrite = 8 << 10

func (x *Exchange) send(r Request) error {
	head := r.encodeHead()
	if len(head)+len(r.Body) <= maxSyncWrite {
		_, err := x.conn.Write(append(head, r.Body...))
		r.written(err)
		if err != nil {
			return eris.Wrapf(errors.Join(ErrIncomplete, err), "send to endpoint %s", x.conn.address)
		}
		return nil
	}
	x.writeDone = make(chan error, 1)
	go func() {
		err := x.conn.writeAll(head, r.Body)
		x.writeDone <- err
		r.written(err)
	}()
	return nil
}

// Write implements net.Conn.
func (c *pooledConn) Write(p []byte) (int, error) { return c.writes.Write(c.Conn, p) }

// errReset means that the endpoint reset the connection whose end was to end the answer.
var errReset = errors.New("the connection was reset")

// unmarkedBody is the body of an answer that only the end of its connection ends. A relay says itself whether the endpoint's connection ended in order.
type unmarkedBody struct {
	io.ReadCloser
	conn *pooledConn
}

// Read implements io.Reader. The error is io.EOF only if the connection ended in order.
func (b unmarkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.conn.relay == "" && !b.conn.writes.EndedInOrder(b.conn.Conn) {
		err = eris.Wrapf(errors.Join(errReset, io.ErrUnexpectedEOF), "read the answer of endpoint %s", b.conn.address)
	}
	return n, err
}

// writeAll writes parts one after the other, without copying them together.
func (c *pooledConn) writeAll(parts ...[]byte) error {
	for _, part := range parts {
		if _, err := c.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// headSize is the usual size of a request's head, in bytes.
const headSize = 512

// encodeHead returns the request without its body. A small body can be appended without another allocation.
func (r Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(headSize + min(len(r.Body), maxSyncWrite))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the status and headers of the request's own answer. It skips informational (1xx) answers and discards answers to
// other requests. An error status without a request ID is accepted as the answer.
func (x *Exchange) readHead(id, method string) error {
	request := &http.Request{Method: method}
	for range maxSkippedAnswers + 1 {
		x.conn.limited.left = maxHeadBytes
		response, err := answer.ReadHead(x.conn.reader, request) //nolint:bodyclose // Finish and Abort end the exchange.
		if err != nil {
			return err
		}
		x.conn.limited.left = unlimited
		if response.StatusCode < http.StatusOK {
			continue
		}
		a := platform.ReadAnswer(response.StatusCode, response.Header)
		if a.Ambiguous {
			return eris.Wrapf(answer.ErrHead, "it names request %q and another one", a.ID)
		}
		if a.ID == id || (a.ID == "" && response.StatusCode >= http.StatusBadRequest) {
			x.Response, x.Answer = response, a
			if !answer.EndMarked(response) {
				response.Body = unmarkedBody{response.Body, x.conn}
			}
			return nil
		}
		if response.Close {
			return eris.Errorf("answer belongs to request %q, which also ends the connection", a.ID)
		}
		if !readToEnd(response.Body) {
			return eris.Errorf("the answer to request %q, which was skipped, broke off or is too long", a.ID)
		}
	}
	return eris.Errorf("more than %d other answers came first", maxSkippedAnswers)
}

const (
	// maxHeadBytes limits the status line and the headers of an answer.
	maxHeadBytes = 64 << 10
	// maxSkippedAnswers limits the informational answers and those to other requests that are skipped before a request's own.
	maxSkippedAnswers = 16
	// maxDiscardedBytes limits how much of the body of an answer is read only to reuse the connection, and maxDiscardTime for
	// how long.
	maxDiscardedBytes = 1 << 20
	maxDiscardTime    = 100 * time.Millisecond
)

// readToEnd discards a body and reports whether it ended within maxDiscardedBytes.
func readToEnd(body io.Reader) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes+1))
	return err == nil && n <= maxDiscardedBytes
}

// Discard ends the exchange without the rest of the answer. It reads on for a short time, so that the connection can be used again,
// and closes it if the answer has not ended then.
func (x *Exchange) Discard() {
	_ = x.conn.SetReadDeadline(time.Now().Add(maxDiscardTime))
	if readToEnd(x.Response.Body) {
		x.Finish()
		return
	}
	x.Abort()
}

// Confirmed reports whether a report over the exchange's connection told which process it leads to.
func (x *Exchange) Confirmed() bool { return x.conn.startedAt != 0 }

// ConnectedAt returns when the exchange's connection was established, by timer.BootClock.
func (x *Exchange) ConnectedAt() time.Time { return x.conn.connectedAt }

// Relay returns the host through which the exchange's connection leads; empty for a direct one.
func (x *Exchange) Relay() host.ID { return x.conn.relay }

// AbortOnDone aborts the exchange when ctx ends, unless stop is called before.
func (x *Exchange) AbortOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, x.Abort)
}

// Abort closes the connection, by which the endpoint notices that it can stop work. It has no effect after Finish.
func (x *Exchange) Abort() {
	x.releaseOnce.Do(func() {
		x.guard.release()
		x.closeFailed(nil)
	})
}

// closeFailed closes the connection of an exchange without a whole answer, and notes if the endpoint ended it. err is the error of the exchange, if
// there is one.
func (x *Exchange) closeFailed(err error) {
	if x.conn.peerEnded.Load() || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		x.pool.noteEnded(x.conn.address)
	}
	_ = x.conn.Close()
}

// Finish returns the connection to the pool after the complete answer was read. It closes the connection instead if it cannot be
// used again: the answer ends it, the request was not written completely, or bytes follow the answer. It has no effect after
// Abort.
func (x *Exchange) Finish() {
	x.releaseOnce.Do(func() {
		x.guard.release()
		if x.Response.Close || !x.requestWritten() || x.conn.reader.Buffered() > 0 {
			_ = x.conn.Close()
			return
		}
		x.pool.putIdle(x.conn, x.Answer.IdleTimeout)
	})
}

// requestWritten reports whether the complete request has been written. It does not wait for a write in progress.
func (x *Exchange) requestWritten() bool {
	if x.writeDone == nil {
		return true
	}
	select {
	case err := <-x.writeDone:
		return err == nil
	default:
		return false
	}
}
