package kit

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// StreamServer runs requests for streams: it sends the events after the one that a request names, at equal intervals.
type StreamServer struct {
	Record *Record
	// Events is the length of a stream, Interval the time between two events, and Prefill the time to the first one.
	Events            int
	Interval, Prefill time.Duration
}

// Serve runs a request at an endpoint.
func (s StreamServer) Serve(e *Endpoint, w http.ResponseWriter, r *http.Request, _ Body) {
	id := r.Header.Get(Header("Request"))
	after, _ := strconv.Atoi(r.Header.Get(Header("LastEvent")))
	s.Record.Printf("request %s begins at %s (%s) after event %d", id, e.ID, e.Version, after)
	defer s.Record.Printf("request %s ends at %s", id, e.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(s.Prefill)
	for i := after + 1; i <= s.Events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", i, e.Version, id, i); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-time.After(s.Interval):
		case <-r.Context().Done():
			return
		}
	}
}

// StreamCaller is a caller that has one stream after another. A stream that breaks off is taken up again over a new connection to another
// host, within its deadline.
type StreamCaller struct {
	Record          *Record
	Host, Path, Key string
	Events          int
	Deadline        time.Duration
	// OnTry is called after each try, and OnEnd at the end of each stream.
	OnTry func(StreamTry)
	OnEnd func(name string, st *Stream)
}

// StreamTry is one request for a stream.
type StreamTry struct {
	ID     string
	Stream *Stream
	Host   *Host
	SentAt time.Time
	// Number counts the tries for the stream from 1. TakesUp is true if the stream had begun before.
	Number  int
	TakesUp bool
	// Events is how many events the try brought.
	Events int
}

// Run has streams until stop is closed. The tries go to the hosts in turn, from the one with the caller's number on.
func (c StreamCaller) Run(name string, number int, hosts []*Host, stop <-chan struct{}) {
	next := number
	for turn := 1; ; turn++ {
		select {
		case <-stop:
			return
		default:
		}
		st := &Stream{}
		begin := time.Now()
		for try := 1; time.Since(begin) < c.Deadline && st.LastID < c.Events; try++ {
			t := StreamTry{
				ID: fmt.Sprintf("%s.%d.%d", name, turn, try), Stream: st, Host: hosts[next%len(hosts)], SentAt: time.Now(), Number: try, TakesUp: st.First != "",
			}
			before := st.LastID
			o := c.try(t, c.Deadline-time.Since(begin))
			st.rest = nil
			t.Events = st.LastID - before
			c.OnTry(t)
			if o.Status != http.StatusOK || !o.Complete {
				next++
				time.Sleep(retryAfter(o))
			}
		}
		c.OnEnd(fmt.Sprintf("%s.%d", name, turn), st)
	}
}

// minRetryAfter is the time to the next try if the answer names none.
const minRetryAfter = 20 * time.Millisecond

func retryAfter(o Outcome) time.Duration {
	seconds, err := strconv.ParseFloat(o.Header.Get("Retry-After"), 64)
	if err != nil {
		return minRetryAfter
	}
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}

// try sends a request for a stream, or for the rest of it, over a new connection.
func (c StreamCaller) try(t StreamTry, left time.Duration) Outcome {
	conn, err := Dial(t.Host.Front())
	if err != nil {
		c.Record.Printf("request %s: no connection to %s", t.ID, t.Host.Name)
		return Outcome{Err: err}
	}
	defer conn.Close()
	turn := t.ID[:strings.LastIndex(t.ID, ".")]
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(turn))
	call := Call{
		ID: t.ID, Method: http.MethodPost, Host: c.Host, Path: c.Path, Key: c.Key, Deadline: left, Body: []byte("a question: " + turn),
		Headers: map[string]string{Header("Model"): "m", Header("Tokens"): "400,480", Header("Prompt"): fmt.Sprintf("5c1e07a2:300,%x:100", hash.Sum32())},
	}
	st := t.Stream
	if st.First != "" {
		call.Headers[Header("Resumes")] = st.First
		call.Headers[Header("LastEvent")] = strconv.Itoa(st.LastID)
	}
	c.Record.Printf("request %s sent to %s, takes up %q after event %d", t.ID, t.Host.Name, st.First, st.LastID)
	o := conn.Do(call, func(data []byte) { st.Feed(t.ID, data) })
	c.Record.Printf("request %s answered %d, complete: %v, last event %d, error: %v", t.ID, o.Status, o.Complete, st.LastID, o.Err)
	return o
}
