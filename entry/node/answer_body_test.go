package node

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/memory"
	"balsamknot.org/platform/standin"
)

// zeros is a body without end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) { return len(p), nil }

func TestBodiesWithoutEndTakeLimitedMemory(t *testing.T) {
	t.Parallel()
	budget := newMemoryBudget(2 * maxAnswerBytes)
	var held []*answerBody
	for range 100 {
		body := &answerBody{memory: budget}
		err := body.read(zeros{})
		require.True(t, errors.Is(err, errAnswerTooLarge) || errors.Is(err, errNoAnswerMemory), "%v", err)
		held = append(held, body)
	}
	total := 0
	for _, body := range held {
		total += body.buf.Cap()
	}
	require.LessOrEqual(t, total, 8*maxAnswerBytes)
	small := &answerBody{memory: budget}
	require.NoError(t, small.read(strings.NewReader("small")), "small answers must not wait for the memory of large ones")
	for _, body := range held {
		body.Release()
	}
	require.Zero(t, budget.usedBy(memory.Answer))
}

func TestBodyUpToTheLimitIsReadWhole(t *testing.T) {
	t.Parallel()
	for _, size := range []int64{0, 1, freeAnswerBytes - 1, freeAnswerBytes, freeAnswerBytes + 1, maxAnswerBytes - 1, maxAnswerBytes} {
		body := &answerBody{memory: newMemoryBudget(4 * maxAnswerBytes)}
		require.NoError(t, body.read(io.LimitReader(zeros{}, size)), "%d bytes", size)
		require.Len(t, body.buf.Bytes(), int(size))
	}
	body := &answerBody{memory: newMemoryBudget(4 * maxAnswerBytes)}
	require.ErrorIs(t, body.read(io.LimitReader(zeros{}, maxAnswerBytes+1)), errAnswerTooLarge)
}

// An endpoint answers with bytes without end, in the ways below. Callers must get an error and not a part of them that looks complete,
// and the host must go on to serve other requests.
func TestEndpointThatNeverEndsItsBytesDoesNotStopTheHost(t *testing.T) {
	t.Parallel()
	const subnetBase = 70
	for i, c := range []struct {
		name, path, service, head string
		chunk                     string
	}{
		{"head", "/once/x", "plain", "HTTP/1.1 200 ", "OK"},
		{"headers", "/once/x", "plain", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"body", "/once/x", "plain", "HTTP/1.1 200 OK\r\n%s\r\n\r\n", "x"},
		{"stream", "/stream/x", "engines", "HTTP/1.1 200 OK\r\n%s\r\n\r\n", "\x01\x02\n\n"},
		{"body of a rejection", "/again/x", "plain", "HTTP/1.1 503 Full\r\n%s\r\n" + standin.NotRunLine + "\r\n\r\n", "x"},
		{"body of a failure", "/again/x", "plain", "HTTP/1.1 500 Failed\r\n%s\r\n\r\n", "x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.store.Publish(1, "k1")
			s.addEndpoint("i-a", c.service, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Sound") != "" {
					_, _ = io.WriteString(w, "id: 1\ndata: answer\n\n")
					return
				}
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				head := c.head
				if strings.Contains(head, "%s") {
					head = fmt.Sprintf(head, standin.RequestIDHeader+": "+r.Header.Get(standin.RequestIDHeader)+"\r\n"+standin.SealHeader+": seal")
				}
				_, _ = io.WriteString(conn, head)
				block := strings.Repeat(c.chunk, 8<<10)
				for err == nil {
					_, err = io.WriteString(conn, block)
				}
			})
			s.startNodes(1, subnetBase+i)
			n := s.nodes[0]
			var wg sync.WaitGroup
			for j := range 8 {
				wg.Go(func() {
					response, err := http.DefaultTransport.RoundTrip(standin.NewCall(n.cfg.CallerAddress, http.MethodPost, c.path, fmt.Sprintf("id-%d", j), "k1", strings.NewReader("x")))
					if err != nil {
						return
					}
					defer response.Body.Close()
					body, err := io.ReadAll(response.Body)
					if err == nil && response.StatusCode < http.StatusInternalServerError {
						t.Errorf("status %d with %d bytes looks complete", response.StatusCode, len(body))
					}
				})
			}
			wg.Wait()
			require.Eventually(t, func() bool {
				return n.call(t, http.MethodPost, c.path, "sound", "k1", "Sound", "1").StatusCode == http.StatusOK
			}, time.Minute, 100*time.Millisecond)
			require.Zero(t, n.memory.usedBy(memory.Answer))
		})
	}
}
