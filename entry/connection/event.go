package connection

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"balsamknot.org/fleet/stream"
)

// Event is a complete event of a stream.
type Event struct {
	// Text holds its bytes, including the blank line that ends it. It is valid until the next event is read.
	Text []byte
	// ID is the event's own ID; empty if it has none.
	ID stream.EventID
	// HasData is true if the event holds data. Comments and fields that are not known are none.
	HasData bool
}

// EventReader reads a stream of server-sent events and returns complete events only.
type EventReader struct {
	r   *bufio.Reader
	buf []byte
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

// Next returns the next event. The error is io.EOF when the stream ends after an event, and io.ErrUnexpectedEOF when it ends within one.
func (e *EventReader) Next() (Event, error) {
	e.buf = e.buf[:0]
	var ev Event
	lineStart := 0
	for {
		read, err := e.r.ReadSlice('\n')
		if !e.reserve(len(e.buf) + len(read)) {
			return Event{}, ErrNoMemory
		}
		e.buf = append(e.buf, read...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(e.buf) > maxEventSize {
				return Event{}, errEventTooLong
			}
			continue
		case errors.Is(err, io.EOF) && len(e.buf) > 0:
			return Event{}, io.ErrUnexpectedEOF
		case err != nil:
			return Event{}, err
		}
		line := bytes.TrimRight(e.buf[lineStart:], "\r\n")
		lineStart = len(e.buf)
		if len(line) == 0 {
			if e.total += len(e.buf); e.total > maxStreamSize {
				return Event{}, errStreamTooLong
			}
			ev.Text = e.buf
			return ev, nil
		}
		if !isEventLine(line) {
			return Event{}, errNoEvent
		}
		ev.readField(line)
		if len(e.buf) > maxEventSize {
			return Event{}, errEventTooLong
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

// readField takes what a line, without its end, says into the event.
func (ev *Event) readField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "id":
		ev.ID = stream.EventID(bytes.TrimSpace(value))
	case "data":
		ev.HasData = true
	}
}
