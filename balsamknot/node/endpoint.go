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

	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/wire"
)

const (
	// silentAfter is how long an endpoint's connection may say nothing before a new one takes its place.
	silentAfter = 3 * time.Second
	// maxAnswer bounds an answer that is not streamed, in bytes.
	maxAnswer = 8 << 20
	// maxBatch bounds the parts that travel in one frame.
	maxBatch = 64
)

var (
	// errEndpointLost says that the endpoint itself is gone, with what ran on it.
	errEndpointLost = errors.New("the endpoint is lost")
	// errAnswerTooLarge says that an answer is over maxAnswer.
	errAnswerTooLarge = errors.New("the answer is over 8 MiB")
	// errSilent says that a connection said nothing for silentAfter.
	errSilent = errors.New("the connection fell silent")
	// errTruncated says that an answer ended without its end marker.
	errTruncated = errors.New("the answer ended before its end marker")
)

// headers that belong to one connection and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Upgrade": true, "Te": true, "Trailer": true,
	"Proxy-Authorization": true, "Proxy-Authenticate": true, "Content-Length": true, "Authorization": true,
}

// emitter turns an endpoint's answer into frames of one try.
type emitter struct {
	try      string
	engine   string
	keeper   string
	send     func(*wire.Frame) error
	position uint64
	headSent bool
	// load is the endpoint's average load when this request came.
	load float64
}

func (m *emitter) head(response *http.Response) error {
	if m.headSent {
		return nil
	}
	m.headSent = true
	head := &wire.Head{Status: int32(response.StatusCode), Engine: m.engine, Keeper: m.keeper, Load: float32(m.load)}
	for name, values := range response.Header {
		if hopHeaders[name] {
			continue
		}
		for _, value := range values {
			head.Headers = append(head.Headers, &wire.Header{Name: name, Value: value})
		}
	}
	return m.send(&wire.Frame{TryId: m.try, Body: &wire.Frame_Head{Head: head}})
}

func (m *emitter) data(parts [][]byte) error {
	if len(parts) == 0 {
		return nil
	}
	frame := &wire.Frame{TryId: m.try, Position: m.position + 1}
	if len(parts) == 1 {
		frame.Body = &wire.Frame_Data{Data: parts[0]}
	} else {
		frame.Body = &wire.Frame_Batch{Batch: &wire.Batch{Parts: parts}}
	}
	m.position += uint64(len(parts))
	return m.send(frame)
}

func (m *emitter) end() error {
	return m.send(&wire.Frame{TryId: m.try, Position: m.position + 1, Body: &wire.Frame_End{End: &wire.End{Whole: true}}})
}

// sendError marks an error of the way to the entry, as against one of the endpoint.
type sendError struct{ error }

// modelTry runs a chat on an engine and sends its answer on, resuming over new connections when one falls silent.
func (k *keeperController) modelTry(ctx context.Context, record engine.Record, r *wire.ForwardRequest, m *emitter) error {
	m.position = r.GetResumeAfter()
	resume := r.GetResume()
	began := k.n.timers.Now()
	for ctx.Err() == nil {
		err := k.modelConnection(ctx, record, r.GetCall(), resume, m)
		var failed sendError
		switch {
		case err == nil, errors.As(err, &failed), errors.Is(err, errAnswerTooLarge):
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		case neverSent(err) && !resume:
			k.markDown(record.ID)
			return err
		case errors.Is(err, errEndpointLost) || !k.answers(record.Address):
			k.markLost(record.ID, began)
			return eris.Wrapf(errEndpointLost, "run: endpoint %s: %v", record.ID, err)
		}
		k.n.meter.countResume()
		resume = true
	}
	return ctx.Err()
}

// answers reports whether an endpoint takes a new connection.
func (k *keeperController) answers(address string) bool {
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

// modelConnection reads one connection's share of an answer.
func (k *keeperController) modelConnection(ctx context.Context, record engine.Record, call *wire.Call, resume bool, m *emitter) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := newWatchdog(silentAfter, func() { cancel(errSilent) })
	defer watchdog.stop()
	priority := k.n.documents.inForce().objects.Workspaces[call.GetWorkspace()].Priority
	httpRequest, err := modelRequest(ctx, record, call, priority, resume, m.position)
	if err != nil {
		return err
	}
	client := k.pooledClient
	if resume {
		client = k.unpooledClient
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return causeOf(ctx, err)
	}
	defer response.Body.Close()
	if resume && response.StatusCode == http.StatusNotFound {
		return errEndpointLost
	}
	body := watchdog.watch(response.Body)
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		if err := m.head(response); err != nil {
			return sendError{err}
		}
		return causeOf(ctx, copyEvents(body, m))
	}
	return causeOf(ctx, copyWhole(body, response, m))
}

func modelRequest(ctx context.Context, record engine.Record, call *wire.Call, priority int, resume bool, after uint64) (*http.Request, error) {
	target := targetOf(record, call)
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

// targetOf returns where a call goes on an endpoint, with the caller's path and query as they came.
func targetOf(record engine.Record, call *wire.Call) url.URL {
	path, query, _ := strings.Cut(call.GetPath(), "?")
	target := url.URL{Scheme: "http", Host: record.Address, Path: path, RawQuery: query}
	if decoded, err := url.PathUnescape(path); err == nil {
		target.Path, target.RawPath = decoded, path
	}
	return target
}

func copyHeaders(into http.Header, headers []*wire.Header) {
	for _, h := range headers {
		if !hopHeaders[http.CanonicalHeaderKey(h.GetName())] {
			into.Add(h.GetName(), h.GetValue())
		}
	}
}

func causeOf(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errSilent) {
		return errSilent
	}
	return err
}

// copyEvents sends server-sent events on, one part an event, several in a frame when they arrived together.
func copyEvents(body io.Reader, m *emitter) error {
	reader := bufio.NewReaderSize(body, 64<<10)
	for {
		parts, done, err := readBatch(reader)
		if sendErr := m.data(parts); sendErr != nil {
			return sendError{sendErr}
		}
		switch {
		case done:
			if err := m.end(); err != nil {
				return sendError{err}
			}
			return nil
		case err != nil:
			return fmt.Errorf("%w: %w", errTruncated, err)
		}
	}
}

// readBatch reads one event and those that have arrived behind it.
func readBatch(reader *bufio.Reader) (parts [][]byte, done bool, err error) {
	for len(parts) < maxBatch {
		part, err := readEvent(reader)
		if err != nil {
			return parts, false, err
		}
		parts = append(parts, part)
		if bytes.Contains(part, []byte("data: [DONE]")) {
			return parts, true, nil
		}
		waiting, _ := reader.Peek(reader.Buffered())
		if !bytes.Contains(waiting, []byte("\n\n")) {
			break
		}
	}
	return parts, false, nil
}

// readEvent reads up to and with the empty line that ends an event.
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
		if len(event) > maxAnswer {
			return nil, errAnswerTooLarge
		}
	}
}

// copyWhole reads an answer to its end before it sends any of it.
func copyWhole(body io.Reader, response *http.Response, m *emitter) error {
	whole, err := io.ReadAll(io.LimitReader(body, maxAnswer+1))
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", errTruncated, err)
	case len(whole) > maxAnswer:
		return errAnswerTooLarge
	}
	if err := m.head(response); err != nil {
		return sendError{err}
	}
	m.position = 0
	if err := m.data([][]byte{whole}); err != nil {
		return sendError{err}
	}
	if err := m.end(); err != nil {
		return sendError{err}
	}
	return nil
}

// plainTry runs a call on a plain service once. keyed calls are never sent again, whatever happens.
func (k *keeperController) plainTry(ctx context.Context, record engine.Record, call *wire.Call, m *emitter) error {
	keyed := call.GetIdempotencyKey() != ""
	began := k.n.timers.Now()
	err := k.plainConnection(ctx, record, call, m, keyed)
	var failed sendError
	if err == nil || ctx.Err() != nil || errors.As(err, &failed) || errors.Is(err, errAnswerTooLarge) {
		return err
	}
	if neverSent(err) {
		k.markDown(record.ID)
		return err
	}
	if errors.Is(err, errSilent) {
		k.n.meter.countResume()
		return k.plainConnection(ctx, record, call, m, true)
	}
	if !k.answers(record.Address) {
		k.markLost(record.ID, began)
	}
	if keyed {
		return err
	}
	return eris.Wrapf(errEndpointLost, "run: endpoint %s: %v", record.ID, err)
}

func (k *keeperController) plainConnection(ctx context.Context, record engine.Record, call *wire.Call, m *emitter, fresh bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	client := k.unpooledClient
	if !fresh {
		client = k.pooledClient
		watchdog := newWatchdog(silentAfter, func() { cancel(errSilent) })
		defer watchdog.stop()
	}
	if !k.n.timers.Now().Before(time.UnixMilli(call.GetDeadlineMs())) {
		return context.DeadlineExceeded
	}
	target := targetOf(record, call)
	r, err := http.NewRequestWithContext(ctx, call.GetMethod(), target.String(), onceBody(call.GetBody()))
	if err != nil {
		return eris.Wrapf(err, "run: endpoint %s", record.ID)
	}
	r.ContentLength = int64(len(call.GetBody()))
	copyHeaders(r.Header, call.GetHeaders())
	r.Header.Set("Request-Id", call.GetId())
	response, err := client.Do(r)
	if err != nil {
		return causeOf(ctx, err)
	}
	defer response.Body.Close()
	return causeOf(ctx, copyWhole(response.Body, response, m))
}

// onceBody returns a body that net/http can't send a second time: with Idempotency-Key in the headers it would
// otherwise repeat a request whose connection broke.
func onceBody(body []byte) io.Reader {
	if len(body) == 0 {
		return http.NoBody
	}
	return struct{ io.Reader }{bytes.NewReader(body)}
}

// cancelRun ends a request on an engine.
func (k *keeperController) cancelRun(ctx context.Context, record engine.Record, call string) {
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+record.Address+"/v1/responses/"+call, http.NoBody)
	if err != nil {
		return
	}
	if response, err := k.unpooledClient.Do(r); err == nil {
		_ = response.Body.Close()
	}
}

// watchdog calls expired when nothing was read for a while.
type watchdog struct {
	timer *time.Timer
	after time.Duration
}

func newWatchdog(after time.Duration, expired func()) *watchdog {
	return &watchdog{timer: time.AfterFunc(after, expired), after: after}
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
	w.d.timer.Reset(w.d.after)
	return n, err
}

// countingReader counts what is read through it.
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
