package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamknot.org/platform/standin"
)

// streamEvents is the number of events of a whole stream in the tests of positions.
const streamEvents = 6

// textFrom returns the events of a stream from one to another.
func textFrom(first, last int) string {
	var text strings.Builder
	for id := first; id <= last; id++ {
		text.WriteString(textOfEvent(id))
	}
	return text.String()
}

// sendCut sends the headers of an answer and a text, and breaks off.
func sendCut(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// newPositionSite returns a site of one node and five engines. answer gets the number of the run of the request, from 0, and the position after
// which it is to go on, 0 for the beginning.
func newPositionSite(t *testing.T, subnet int, answer func(w http.ResponseWriter, run, after int)) *testSite {
	s := newSite(t)
	s.store.Publish(1, "k1")
	var runs atomic.Int64
	for i := range 5 {
		s.addEndpoint(fmt.Sprintf("i-%d", i), "engines", func(w http.ResponseWriter, r *http.Request) {
			after, _ := strconv.Atoi(r.Header.Get(standin.LastEventIDHeader))
			answer(w, int(runs.Add(1))-1, after)
		})
	}
	s.startNodes(1, subnet)
	return s
}

// readStream sends a request that takes a stream up after a position, 0 for a new stream, and returns the text of its answer. whole is true if
// the answer ended as complete.
func (s *testSite) readStream(after int) (text string, whole bool) {
	r := standin.NewCall(s.nodes[0].cfg.CallerAddress, http.MethodPost, "/persistent/x", "id-1", "k1", nil)
	r.Header.Set(standin.PromptPartsHeader, promptOf("id-1"))
	if after > 0 {
		r.Header.Set(standin.LastEventIDHeader, strconv.Itoa(after))
		r.Header.Set(standin.ResumesHeader, "id-0")
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return "", false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err == nil && response.StatusCode == http.StatusOK
}

// Guards against ORDER: a stream began again at its first event, since a run that brought an event without an ID had taken its position away.
func TestStreamDoesNotJumpBackAfterARunThatBroughtAnEventWithoutAnID(t *testing.T) {
	t.Parallel()
	for i, without := range []string{": ping\n\n", "id:\ndata: x\n\n", "id\ndata: x\n\n"} {
		t.Run(strconv.Quote(without), func(t *testing.T) {
			t.Parallel()
			s := newPositionSite(t, 51+i, func(w http.ResponseWriter, run, after int) {
				switch run {
				case 0:
					sendCut(w, textFrom(1, 3))
				case 1:
					sendCut(w, without)
				}
				_, _ = io.WriteString(w, textFrom(after+1, streamEvents))
			})
			text, _ := s.readStream(0)
			require.Equal(t, 1, strings.Count(text, textOfEvent(1)))
			require.LessOrEqual(t, strings.Count(text, "id: "), streamEvents)
		})
	}
}

// Guards against ORDER: what an endpoint sent after a position was passed on although it began before or after the next event.
func TestStreamGoesOnOnlyWithTheEventAfterItsPosition(t *testing.T) {
	t.Parallel()
	const broken = 3
	for i, first := range []int{1, broken, broken + 2, streamEvents} {
		t.Run(fmt.Sprintf("from event %d", first), func(t *testing.T) {
			t.Parallel()
			s := newPositionSite(t, 55+i, func(w http.ResponseWriter, run, after int) {
				switch run {
				case 0:
					sendCut(w, textFrom(1, broken))
				case 1:
					_, _ = io.WriteString(w, textFrom(first, streamEvents))
				default:
					_, _ = io.WriteString(w, textFrom(after+1, streamEvents))
				}
			})
			text, whole := s.readStream(0)
			require.True(t, whole)
			require.Equal(t, textFrom(1, streamEvents), text)
		})
	}
}

// Guards against ORDER: the same where a caller takes the stream up.
func TestStreamThatIsTakenUpGoesOnOnlyWithTheEventAfterItsPosition(t *testing.T) {
	t.Parallel()
	const position = 3
	for i, first := range []int{1, position} {
		t.Run(fmt.Sprintf("from event %d", first), func(t *testing.T) {
			t.Parallel()
			s := newPositionSite(t, 59+i, func(w http.ResponseWriter, run, after int) {
				if run > 0 {
					first = after + 1
				}
				_, _ = io.WriteString(w, textFrom(first, streamEvents))
			})
			s.nodes[0].haveRunForLifetime()
			text, whole := s.readStream(position)
			require.True(t, whole)
			require.Equal(t, textFrom(position+1, streamEvents), text)
		})
	}
}

// Guards against ORDER: a stream that was cut looked complete to callers that speak HTTP/1.0, whose answers end with their connections.
func TestCutStreamDoesNotLookCompleteToCallersOfHTTP10(t *testing.T) {
	t.Parallel()
	s := newPositionSite(t, 61, func(w http.ResponseWriter, _, _ int) { sendCut(w, textFrom(1, 3)) })
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", s.nodes[0].cfg.CallerAddress)
	require.NoError(t, err)
	defer conn.Close()
	r := standin.NewCall(s.nodes[0].cfg.CallerAddress, http.MethodPost, "/draft/x", "id-1", "k1", nil)
	_, _ = fmt.Fprintf(conn, "POST /draft/x HTTP/1.0\r\nHost: %s\r\n", r.Host)
	require.NoError(t, r.Header.Write(conn))
	_, _ = io.WriteString(conn, "\r\n")
	text, err := io.ReadAll(conn)
	require.Error(t, err, "the connection ended in order after %q", text)
}
