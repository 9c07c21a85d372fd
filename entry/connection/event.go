package connection

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// EventReader reads a stream of server-sent events and returns complete events only.
type EventReader struct {
	r *bufio.Reader
	// lastID is the id of the newest complete event.
	lastID string
	buf    []byte
	// total is the size of the events so far.
	total int
	// Reserve is called before an event is held of which more than freeEventSize, and than was reserved before, is to be kept, with the
	// number of further bytes. If it returns false, Next fails with ErrNoMemory. Nil means that there is no limit but maxEventSize.
	Reserve  func(bytes int) bool
	reserved int
}

const (
	// maxEventSize is the largest event accepted, in bytes. It limits the memory that a stream without blank lines can take.
	maxEventSize = 256 << 10
	// freeEventSize is the size of an event, in bytes, up to which nothing is reserved.
	freeEventSize = 16 << 10
	// maxStreamSize is the largest total size of the events of a stream, in bytes. It ends a stream of events without end.
	maxStreamSize = 16 << 20
)

// ErrNoMemory means that there is no memory for an event.
var ErrNoMemory = errors.New("no memory for an event")

var (
	errEventTooLong  = errors.New("event exceeds the size limit")
	errStreamTooLong = errors.New("stream exceeds the size limit")
	errNoEvent       = errors.New("stream has bytes that are no event")
)

// NewEventReader returns a reader of the events in r, which it buffers.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, 2048)}
}

// Next returns the bytes of the next event, including the blank line that ends it. The slice is valid until the next call.
// The error is io.EOF when the stream ends after an event, and io.ErrUnexpectedEOF when it ends within one.
func (e *EventReader) Next() ([]byte, error) {
	e.buf = e.buf[:0]
	id := e.lastID
	lineStart := 0
	for {
		read, err := e.r.ReadSlice('\n')
		if !e.reserve(len(e.buf) + len(read)) {
			return nil, ErrNoMemory
		}
		e.buf = append(e.buf, read...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(e.buf) > maxEventSize {
				return nil, errEventTooLong
			}
			continue
		case errors.Is(err, io.EOF) && len(e.buf) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		line := bytes.TrimRight(e.buf[lineStart:], "\r\n")
		lineStart = len(e.buf)
		if len(line) == 0 {
			if e.total += len(e.buf); e.total > maxStreamSize {
				return nil, errStreamTooLong
			}
			e.lastID = id
			return e.buf, nil
		}
		if !isEventLine(line) {
			return nil, errNoEvent
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(e.buf) > maxEventSize {
			return nil, errEventTooLong
		}
	}
}

// reserve reserves memory for an event of a size so far, in steps that double.
func (e *EventReader) reserve(size int) bool {
	if size <= max(freeEventSize, e.reserved) || e.Reserve == nil {
		return true
	}
	step := max(freeEventSize, e.reserved, size-e.reserved)
	if !e.Reserve(step) {
		return false
	}
	e.reserved += step
	return true
}

// isEventLine reports whether a line, without its end, is a comment or begins with the name of a field. Names that are not known are
// allowed.
func isEventLine(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	for _, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// LastEventID returns the id of the newest event that Next returned, or of the last one before it that had an id; empty if none.
func (e *EventReader) LastEventID() string { return e.lastID }
