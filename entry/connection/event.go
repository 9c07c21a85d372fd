package connection

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// EventReader reads a series of events and gives out whole ones only.
type EventReader struct {
	r *bufio.Reader
	// last is the id of the newest whole event.
	last string
	buf  []byte
}

// eventLimit bounds one event, in bytes.
const eventLimit = 1 << 20

var errEventTooLong = errors.New("event is too long")

// NewEventReader reads events from r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, 2048)}
}

// Next returns the next whole event with its blank line; the bytes are good until the next call.
// The error is io.EOF at the end of the series, and io.ErrUnexpectedEOF when it ends inside an event.
func (e *EventReader) Next() ([]byte, error) {
	e.buf = e.buf[:0]
	id := e.last
	for {
		line, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(e.buf) > eventLimit {
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
			e.last = id
			return e.buf, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(e.buf) > eventLimit {
			return nil, errEventTooLong
		}
	}
}

// Last returns the id of the newest whole event; empty before the first.
func (e *EventReader) Last() string { return e.last }
