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
}

// maxEventSize is the largest event accepted, in bytes. It limits the memory that a stream without blank lines can take.
const maxEventSize = 1 << 20

var errEventTooLong = errors.New("event exceeds the size limit")

// NewEventReader returns a reader of the events in r, which it buffers.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, 2048)}
}

// Next returns the bytes of the next event, including the blank line that ends it. The slice is valid until the next call.
// The error is io.EOF when the stream ends after an event, and io.ErrUnexpectedEOF when it ends within one.
func (e *EventReader) Next() ([]byte, error) {
	e.buf = e.buf[:0]
	id := e.lastID
	for {
		line, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, line...)
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
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			e.lastID = id
			return e.buf, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(e.buf) > maxEventSize {
			return nil, errEventTooLong
		}
	}
}

// LastEventID returns the id of the newest event that Next returned, or of the last one before it that had an id; empty if none.
func (e *EventReader) LastEventID() string { return e.lastID }
