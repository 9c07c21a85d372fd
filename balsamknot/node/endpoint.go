package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"balsamknot.org/fleet/answer"
	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/wire"
)

const (
	// silenceTimeout is how long an endpoint's connection may send no data before it is replaced by a new one. The first
	// connection of an unkeyed call to a plain service is replaced if its whole answer takes longer.
	silenceTimeout = 3 * time.Second
	// maxAnswerBytes limits the size of an answer, and maxEventBytes that of a single event of a stream.
	maxAnswerBytes = 8 << 20
	maxEventBytes  = 256 << 10
	// maxBatchParts limits the number of parts in one frame.
	maxBatchParts = 64
)

var (
	// errEndpointLost means that the endpoint failed, and with it the requests that it ran.
	errEndpointLost = errors.New("the endpoint is lost")
	// errAnswerTooLarge means that an answer exceeds maxAnswerBytes.
	errAnswerTooLarge = errors.New("the answer is over 8 MiB, or an event of it over 256 KiB")
	// errConnectionSilent means that the watchdog cancelled a connection after silenceTimeout.
	errConnectionSilent = errors.New("the connection fell silent")
	// errTruncated means that an answer ended without its end marker.
	errTruncated = errors.New("the answer ended before its end marker")
)

// unforwardedHeaders holds the headers that are not forwarded in either direction: hop-by-hop headers, Content-Length, which
// is set anew, and Authorization, which holds the caller's bearer key.
var unforwardedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Upgrade": true, "Te": true, "Trailer": true,
	"Proxy-Authorization": true, "Proxy-Authenticate": true, "Content-Length": true, "Authorization": true,
}

// frameWriter writes an endpoint's answer as the frames of one try.
type frameWriter struct {
	tryID    string
	engineID string
	keeperID string
	send     func(*wire.Frame) error
	// position is the position of the last part that was written, see answer.Position.
	position uint64
	headSent bool
	// succeeded is true once the headers of an answer were received that has a status below 300 and marks its own end.
	succeeded bool
	// load is the endpoint's average load when the request was admitted, see keeper.Keeper.AverageLoad.
	load float64
}

func (f *frameWriter) writeHead(response *http.Response) error {
	if f.headSent {
		return nil
	}
	f.headSent = true
	f.succeeded = response.StatusCode < http.StatusMultipleChoices && answer.EndMarked(response)
	head := &wire.Head{Status: int32(response.StatusCode), Engine: f.engineID, Keeper: f.keeperID, Load: float32(f.load)}
	for name, values := range response.Header {
		if unforwardedHeaders[name] {
			continue
		}
		for _, value := range values {
			head.Headers = append(head.Headers, &wire.Header{Name: name, Value: value})
		}
	}
	return f.send(&wire.Frame{TryId: f.tryID, Body: &wire.Frame_Head{Head: head}})
}

func (f *frameWriter) writeParts(parts [][]byte) error {
	if len(parts) == 0 {
		return nil
	}
	frame := &wire.Frame{TryId: f.tryID, Position: f.position + 1}
	if len(parts) == 1 {
		frame.Body = &wire.Frame_Data{Data: parts[0]}
	} else {
		frame.Body = &wire.Frame_Batch{Batch: &wire.Batch{Parts: parts}}
	}
	f.position += uint64(len(parts))
	return f.send(frame)
}

func (f *frameWriter) writeEnd() error {
	return f.send(&wire.Frame{TryId: f.tryID, Position: f.position + 1, Body: &wire.Frame_End{End: &wire.End{Whole: true}}})
}

// sendError marks an error of sending frames to the entry, as opposed to an error of the endpoint.
type sendError struct{ error }

// runModelTry runs a chat on an engine and forwards its answer. If the connection fails or sends no data while the engine is
// reachable, the answer is resumed on a new connection.
func (k *keeperController) runModelTry(ctx context.Context, record engine.Record, r *wire.ForwardRequest, frames *frameWriter) error {
	frames.position = r.GetResumeAfter()
	resume := r.GetResume()
	startedAt := k.n.timers.Now()
	for ctx.Err() == nil {
		err := k.runModelConnection(ctx, record, r.GetCall(), resume, frames)
		var sendErr sendError
		switch {
		case err == nil, errors.As(err, &sendErr), errors.Is(err, errAnswerTooLarge):
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		case wasNeverSent(err) && !resume:
			k.markDown(record.ID)
			return err
		case errors.Is(err, errEndpointLost) || !k.isReachable(record.Address):
			k.markLost(record.ID, startedAt)
			return eris.Wrapf(errEndpointLost, "run: endpoint %s: %v", record.ID, err)
		}
		k.n.meter.countResume()
		resume = true
	}
	return ctx.Err()
}

// isReachable reports whether an endpoint answers a load request on a new connection, with any status.
func (k *keeperController) isReachable(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", http.NoBody)
	if err != nil {
		return false
	}
	response, err := k.unpooledClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return true
}

// runModelConnection sends a chat, or with resume a request for the rest of its answer, on one connection and forwards what
// it receives. If the engine does not know the request to resume, for example after a restart, the error is errEndpointLost.
func (k *keeperController) runModelConnection(ctx context.Context, record engine.Record, call *wire.Call, resume bool, frames *frameWriter) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := newWatchdog(silenceTimeout, func() { cancel(errConnectionSilent) })
	defer watchdog.stop()
	priority := k.n.documents.snapshot().objects.Workspaces[call.GetWorkspace()].Priority
	httpRequest, err := newModelRequest(ctx, record, call, priority, resume, frames.position)
	if err != nil {
		return err
	}
	client := k.pooledClient
	if resume {
		client = k.unpooledClient
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return withSilenceCause(ctx, err)
	}
	defer response.Body.Close()
	if resume && response.StatusCode == http.StatusNotFound {
		return errEndpointLost
	}
	body := watchdog.watch(response.Body)
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		if err := frames.writeHead(response); err != nil {
			return sendError{err}
		}
		return withSilenceCause(ctx, forwardEvents(body, frames))
	}
	return withSilenceCause(ctx, forwardBuffered(body, response, frames))
}

func newModelRequest(ctx context.Context, record engine.Record, call *wire.Call, priority int, resume bool, after uint64) (*http.Request, error) {
	target := endpointURL(record, call)
	method := call.GetMethod()
	var body io.Reader = bytes.NewReader(call.GetBody())
	if resume {
		target.Path = "/v1/responses/" + call.GetId()
		target.RawQuery = "starting_after=" + strconv.FormatUint(after, 10)
		method, body = http.MethodGet, http.NoBody
	}
	r, err := http.NewRequestWithContext(ctx, method, target.String(), body)
	if err != nil {
		return nil, eris.Wrapf(err, "run: endpoint %s", record.ID)
	}
	copyHeaders(r.Header, call.GetHeaders())
	r.Header.Set("Request-Id", call.GetId())
	r.Header.Set("Chat-Id", call.GetChat())
	r.Header.Set("Priority", strconv.Itoa(priority))
	return r, nil
}

// endpointURL returns the URL of a call at an endpoint. Path and query are the caller's, with their escaping unchanged.
func endpointURL(record engine.Record, call *wire.Call) url.URL {
	path, query, _ := strings.Cut(call.GetPath(), "?")
	target := url.URL{Scheme: "http", Host: record.Address, Path: path, RawQuery: query}
	if decoded, err := url.PathUnescape(path); err == nil {
		target.Path, target.RawPath = decoded, path
	}
	return target
}

func copyHeaders(into http.Header, headers []*wire.Header) {
	for _, h := range headers {
		if !unforwardedHeaders[http.CanonicalHeaderKey(h.GetName())] {
			into.Add(h.GetName(), h.GetValue())
		}
	}
}

// withSilenceCause returns errConnectionSilent in place of err if the watchdog cancelled ctx.
func withSilenceCause(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errConnectionSilent) {
		return errConnectionSilent
	}
	return err
}

// forwardEvents forwards a stream of server-sent events. Each event is a part; events that arrived together share a frame.
func forwardEvents(body io.Reader, frames *frameWriter) error {
	reader := bufio.NewReaderSize(body, 64<<10)
	size := 0
	for {
		parts, done, err := readBatch(reader)
		for _, part := range parts {
			size += len(part)
		}
		if size > maxAnswerBytes {
			return errAnswerTooLarge
		}
		if sendErr := frames.writeParts(parts); sendErr != nil {
			return sendError{sendErr}
		}
		switch {
		case done:
			if err := frames.writeEnd(); err != nil {
				return sendError{err}
			}
			return nil
		case errors.Is(err, errAnswerTooLarge):
			return err
		case err != nil:
			return fmt.Errorf("%w: %w", errTruncated, err)
		}
	}
}

// readBatch reads one event and those that are already buffered behind it, up to maxBatchParts. done is true after the event
// that ends the stream.
func readBatch(reader *bufio.Reader) (parts [][]byte, done bool, err error) {
	for len(parts) < maxBatchParts {
		part, err := readEvent(reader)
		if err != nil {
			return parts, false, err
		}
		parts = append(parts, part)
		if bytes.Contains(part, []byte("data: [DONE]")) {
			return parts, true, nil
		}
		buffered, _ := reader.Peek(reader.Buffered())
		if !bytes.Contains(buffered, []byte("\n\n")) {
			break
		}
	}
	return parts, false, nil
}

// readEvent reads one event, including the empty line that ends it.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil:
			return nil, err
		case len(line) == 1 && len(event) > 1:
			return event, nil
		}
		if len(event) > maxEventBytes {
			return nil, errAnswerTooLarge
		}
	}
}

// forwardBuffered forwards an answer once all of it has been read.
func forwardBuffered(body io.Reader, response *http.Response, frames *frameWriter) error {
	content, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", errTruncated, err)
	case len(content) > maxAnswerBytes:
		return errAnswerTooLarge
	case !answer.EndMarked(response):
		return errTruncated
	}
	if err := frames.writeHead(response); err != nil {
		return sendError{err}
	}
	frames.position = 0
	if err := frames.writeParts([][]byte{content}); err != nil {
		return sendError{err}
	}
	if err := frames.writeEnd(); err != nil {
		return sendError{err}
	}
	return nil
}

// runPlainTry runs a call on a plain service. A call with an idempotency key is sent at most once. Any other call is sent again,
// on a new connection, if the first connection exceeds silenceTimeout.
func (k *keeperController) runPlainTry(ctx context.Context, record engine.Record, call *wire.Call, frames *frameWriter) error {
	keyed := call.GetIdempotencyKey() != ""
	startedAt := k.n.timers.Now()
	err := k.runPlainConnection(ctx, record, call, frames, keyed)
	var sendErr sendError
	if err == nil || ctx.Err() != nil || errors.As(err, &sendErr) || errors.Is(err, errAnswerTooLarge) {
		return err
	}
	if wasNeverSent(err) {
		k.markDown(record.ID)
		return err
	}
	if errors.Is(err, errConnectionSilent) {
		k.n.meter.countResume()
		return k.runPlainConnection(ctx, record, call, frames, true)
	}
	if !k.isReachable(record.Address) {
		k.markLost(record.ID, startedAt)
	}
	if keyed {
		return err
	}
	return eris.Wrapf(errEndpointLost, "run: endpoint %s: %v", record.ID, err)
}

// runPlainConnection sends a call on one connection and forwards the answer. With singleUse the connection is new and limited
// only by the call's deadline; otherwise it may be a reused one and is cancelled after silenceTimeout.
func (k *keeperController) runPlainConnection(ctx context.Context, record engine.Record, call *wire.Call, frames *frameWriter, singleUse bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	client := k.unpooledClient
	if !singleUse {
		client = k.pooledClient
		watchdog := newWatchdog(silenceTimeout, func() { cancel(errConnectionSilent) })
		defer watchdog.stop()
	}
	if !k.n.timers.Now().Before(time.UnixMilli(call.GetDeadlineMs())) {
		return context.DeadlineExceeded
	}
	target := endpointURL(record, call)
	r, err := http.NewRequestWithContext(ctx, call.GetMethod(), target.String(), nonReplayableBody(call.GetBody()))
	if err != nil {
		return eris.Wrapf(err, "run: endpoint %s", record.ID)
	}
	r.ContentLength = int64(len(call.GetBody()))
	copyHeaders(r.Header, call.GetHeaders())
	r.Header.Set("Request-Id", call.GetId())
	response, err := client.Do(r)
	if err != nil {
		return withSilenceCause(ctx, err)
	}
	defer response.Body.Close()
	return withSilenceCause(ctx, forwardBuffered(response.Body, response, frames))
}

// nonReplayableBody returns a body that net/http can't rewind. Otherwise net/http would itself repeat a request with an
// Idempotency-Key header if a reused connection fails. It can also repeat a request with an empty body; that is prevented only
// by sending keyed calls on new connections.
func nonReplayableBody(body []byte) io.Reader {
	if len(body) == 0 {
		return http.NoBody
	}
	return struct{ io.Reader }{bytes.NewReader(body)}
}

// cancelRequest cancels a request on an engine. Errors are ignored.
func (k *keeperController) cancelRequest(ctx context.Context, record engine.Record, callID string) {
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+record.Address+"/v1/responses/"+callID, http.NoBody)
	if err != nil {
		return
	}
	if response, err := k.unpooledClient.Do(r); err == nil {
		_ = response.Body.Close()
	}
}

// watchdog calls a function when nothing has been read from the watched reader for timeout.
type watchdog struct {
	timer   *time.Timer
	timeout time.Duration
}

func newWatchdog(timeout time.Duration, onExpiry func()) *watchdog {
	return &watchdog{timer: time.AfterFunc(timeout, onExpiry), timeout: timeout}
}

func (d *watchdog) stop() { d.timer.Stop() }

func (d *watchdog) watch(r io.Reader) io.Reader { return &watchedReader{r, d} }

type watchedReader struct {
	r io.Reader
	d *watchdog
}

// Read implements io.Reader.
func (w *watchedReader) Read(b []byte) (int, error) {
	n, err := w.r.Read(b)
	w.d.timer.Reset(w.d.timeout)
	return n, err
}

// countingReader counts the bytes read through it.
type countingReader struct {
	r io.Reader
	n int
}

// Read implements io.Reader.
func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	c.n += n
	return n, err
}
