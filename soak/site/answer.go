package site

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"

	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform/standin"
	"balsamknot.org/soak/schedule"
	"balsamknot.org/standin/network"
)

// serveStream sends the events after the position in the request's headers, from the first one if there is none. A host sends
// a position when it resumes an interrupted stream at another endpoint, and a caller when it takes one up. id is the ID of the request that
// began the stream.
func (e *endpoint) serveStream(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, misbehaviour schedule.Misbehaviour) {
	after, _ := strconv.Atoi(r.Header.Get(standin.LastEventIDHeader))
	version := e.currentVersion()
	if misbehaviour == schedule.UnframedStream {
		e.sendUnframed(ctx, w, id, version, after)
		return
	}
	breaksOff := misbehaviour.Misplaces() && after == 0
	if misbehaviour.Misplaces() && after > 0 && rand.N(2) == 0 {
		after = misplace(w, r, misbehaviour, after)
	}
	for n := after + 1; n <= eventCount(id); n++ {
		if !timer.Sleep(ctx, eventInterval) {
			panic(http.ErrAbortHandler)
		}
		text := eventText(id, version, n)
		if misbehaviour == schedule.TruncateResponse && n == after+2 {
			_, _ = io.WriteString(w, text[:len(text)/2])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if misbehaviour == schedule.EndInsideEvent && n == after+2 {
			_, _ = io.WriteString(w, text[:len(text)/2])
			return
		}
		if breaksOff && n > eventsBeforeBreak {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
	}
}

// sendUnframed sends the events of a version after a position without a length and without chunks, and closes the connection. If ctx ends, it resets
// the connection.
func (e *endpoint) sendUnframed(ctx context.Context, w http.ResponseWriter, id, version string, after int) {
	conn, err := standin.BeginRaw(w, "")
	if err != nil {
		return
	}
	defer conn.Close()
	for n := after + 1; err == nil && n <= eventCount(id); n++ {
		if !timer.Sleep(ctx, eventInterval) {
			network.Reset(conn)
			return
		}
		_, err = io.WriteString(conn, eventText(id, version, n))
	}
}

// plainBody returns the only correct response body of a request that is not a stream.
func plainBody(id string) string {
	const lines = 20
	body := ""
	for n := range lines {
		body += fmt.Sprintf("line %d of the answer to %s\n", n, id)
	}
	return body
}

// streamBody returns the only correct response body of a stream that an endpoint of a version sends after a position.
func streamBody(id, version string, after int) string {
	body := ""
	for n := after + 1; n <= eventCount(id); n++ {
		body += eventText(id, version, n)
	}
	return body
}

// eventCount returns the number of events in the stream of a request: from 3 to 202, depending on the length of its id.
func eventCount(id string) int {
	const minimum, multiplier, spread = 3, 7919, 200
	return minimum + len(id)*multiplier%spread
}

func eventText(id, version string, n int) string {
	return fmt.Sprintf("id: %d\ndata: event %d of %s by %s\n\n", n, n, id, version)
}
