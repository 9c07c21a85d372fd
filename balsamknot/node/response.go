package node

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"balsamknot.org/fleet/outcome"
	"balsamknot.org/fleet/wire"
)

// refusalBody is the JSON form of a refusal. Its structure is that of OpenAI errors, which OpenAI clients can parse.
type refusalBody struct {
	Error struct {
		Code       outcome.Code    `json:"code"`
		Outcome    outcome.Outcome `json:"outcome"`
		Message    string          `json:"message"`
		Step       string          `json:"step"`
		Peer       string          `json:"peer,omitempty"`
		RetryAfter float64         `json:"retry_after_seconds,omitempty"`
	} `json:"error"`
}

func refusalJSON(refusal *outcome.Refusal) []byte {
	var body refusalBody
	body.Error.Code = refusal.Code
	body.Error.Outcome = refusal.Outcome
	body.Error.Message = refusal.Detail
	body.Error.Step = refusal.Step
	body.Error.Peer = refusal.Peer
	body.Error.RetryAfter = refusal.RetryAfter.Seconds()
	encoded, _ := json.Marshal(body)
	return encoded
}

func writeRefusal(w http.ResponseWriter, refusal *outcome.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	if refusal.RetryAfter > 0 {
		seconds := int64((refusal.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(refusal.Status)
	_, _ = w.Write(append(refusalJSON(refusal), '\n'))
}

// response is the sink that writes to the caller. With stream it writes each part at once, otherwise finish writes the complete
// answer.
type response struct {
	w           http.ResponseWriter
	info        *requestInfo
	n           *Node
	stream      bool
	buffer      buffer
	headWritten bool
}

// Head implements sink.
func (r *response) Head(head *wire.Head) error {
	r.info.keeper, r.info.engine = head.GetKeeper(), head.GetEngine()
	if !r.stream {
		return r.buffer.Head(head)
	}
	r.writeHead(head)
	r.flush()
	return nil
}

// Part implements sink.
func (r *response) Part(data []byte) error {
	if !r.stream {
		return r.buffer.Part(data)
	}
	if r.info.firstByteAt.IsZero() {
		r.info.firstByteAt = r.n.timers.Now()
	}
	if _, err := r.w.Write(data); err != nil {
		return err
	}
	r.flush()
	return nil
}

// Delivered implements sink.
func (r *response) Delivered() bool { return r.headWritten }

// Reset implements sink.
func (r *response) Reset() { r.buffer.Reset() }

func (r *response) writeHead(head *wire.Head) {
	r.headWritten = true
	r.w.Header().Set("Balsamknot-Endpoint", head.GetEngine())
	r.w.Header().Set("Balsamknot-Keeper", head.GetKeeper())
	writeHeaders(r.w, head.GetHeaders())
	r.w.WriteHeader(int(head.GetStatus()))
}

func (r *response) flush() { _ = http.NewResponseController(r.w).Flush() }

// finish writes the complete answer, unless it was streamed.
func (r *response) finish() {
	if r.stream && r.headWritten {
		return
	}
	r.info.firstByteAt = r.n.timers.Now()
	r.w.Header().Set("Content-Length", strconv.Itoa(len(r.buffer.body)))
	r.writeHead(r.buffer.head)
	_, _ = r.w.Write(r.buffer.body)
}

// abort ends a stream that can't be completed. It writes an error event, and aborts the connection so that the caller does
// not take the answer for a complete one.
func (r *response) abort(refusal *outcome.Refusal) {
	_, _ = r.w.Write([]byte("event: error\ndata: "))
	_, _ = r.w.Write(refusalJSON(refusal))
	_, _ = r.w.Write([]byte("\n\n"))
	r.flush()
	panic(http.ErrAbortHandler)
}

// buffer is a sink that holds an answer in memory until it is complete.
type buffer struct {
	head *wire.Head
	body []byte
}

// Head implements sink.
func (b *buffer) Head(head *wire.Head) error {
	b.head = head
	return nil
}

// Part implements sink.
func (b *buffer) Part(data []byte) error {
	b.body = append(b.body, data...)
	return nil
}

// Delivered implements sink.
func (b *buffer) Delivered() bool { return false }

// Reset implements sink.
func (b *buffer) Reset() { *b = buffer{} }
