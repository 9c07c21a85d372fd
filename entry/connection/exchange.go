package connection

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"balsamknot.org/platform"
)

// Request is what is sent to an endpoint, byte for byte as its caller sent it but for the headers.
type Request struct {
	// ID is the request's id; an answer that bears another is not its answer.
	ID     string
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Exchange is one request and its answer.
type Exchange struct {
	Response *http.Response
	Reply    platform.Reply

	pool *Pool
	link *link
	// sending ends when the whole request was written; it is nil when that was so before the answer.
	sending chan error
	once    sync.Once
}

// Do sends a request and reads the head of its answer until deadline. Ending ctx closes the connection.
// The error is ErrUnreached when nothing was sent, else ErrBroken.
func (p *Pool) Do(ctx context.Context, address string, r Request, deadline time.Time) (*Exchange, error) {
	l, err := p.take(ctx, address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	_ = l.SetDeadline(deadline)
	x := &Exchange{pool: p, link: l}
	if err := x.send(r); err != nil {
		_ = l.Close()
		return nil, err
	}
	if err := x.readHead(r); err != nil {
		_ = l.Close()
		return nil, eris.Wrapf(errors.Join(ErrBroken, err), "read the answer of endpoint %s", address)
	}
	return x, nil
}

// atOnce is the size up to which a request is written before its answer is read, in bytes.
const atOnce = 8 << 10

func (x *Exchange) send(r Request) error {
	raw := r.encode()
	if len(raw) <= atOnce {
		if _, err := x.link.Write(raw); err != nil {
			return eris.Wrapf(errors.Join(ErrBroken, err), "send to endpoint %s", x.link.address)
		}
		return nil
	}
	x.sending = make(chan error, 1)
	go func() {
		_, err := x.link.Write(raw)
		x.sending <- err
	}()
	return nil
}

func (r Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
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
	b.Write(r.Body)
	return b.Bytes()
}

// readHead reads the head of the request's own answer. Answers to other requests are read and dropped.
func (x *Exchange) readHead(r Request) error {
	request := &http.Request{Method: r.Method}
	for {
		response, err := http.ReadResponse(x.link.reader, request) //nolint:bodyclose // Finish and Abort end the exchange.
		if err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		reply := platform.ReadReply(response.StatusCode, response.Header)
		if reply.ID == r.ID || (reply.ID == "" && response.StatusCode >= http.StatusBadRequest) {
			x.Response, x.Reply = response, reply
			return nil
		}
		if response.Close {
			return eris.Errorf("answer belongs to request %q", reply.ID)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return eris.Wrapf(err, "drop the answer to request %q", reply.ID)
		}
	}
}

// ReadDeadline bounds the reads of the answer's body.
func (x *Exchange) ReadDeadline(t time.Time) { _ = x.link.SetReadDeadline(t) }

// Watch closes the connection when ctx ends, until the function returned is called.
func (x *Exchange) Watch(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, x.Abort)
}

// Abort closes the connection, which tells the endpoint to stop work.
func (x *Exchange) Abort() { x.once.Do(func() { _ = x.link.Close() }) }

// Finish gives the connection back after the whole answer was read, if it can be used again.
func (x *Exchange) Finish() {
	x.once.Do(func() {
		if x.Response.Close || !x.sent() || x.link.reader.Buffered() > 0 {
			_ = x.link.Close()
			return
		}
		x.pool.put(x.link, x.Reply.Idle)
	})
}

// sent reports whether the whole request was written.
func (x *Exchange) sent() bool {
	if x.sending == nil {
		return true
	}
	select {
	case err := <-x.sending:
		return err == nil
	default:
		return false
	}
}
