package site

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform/standin"
	"balsamknot.org/soak/promise"
	"balsamknot.org/soak/schedule"
	"balsamknot.org/standin/network"
)

// endpoint is a stand-in behind a link. It answers so that callers can check the answer by its request's id.
type endpoint struct {
	*standin.Endpoint
	s       *Site
	name    string
	service string
	link    *network.Link
	// sick is its schedule.Sickness; 0 is none.
	sick atomic.Int64

	mu sync.Mutex
	// life ends with a crash, and with it all that runs.
	life context.Context
	end  context.CancelFunc
	// away counts the faults that keep the registration from being ready.
	away int
}

const (
	// eventInterval is the time between two events of a stream, plainWork how long any other request takes, and longWork how
	// long one in longEvery takes.
	eventInterval = 5 * time.Millisecond
	plainWork     = 15 * time.Millisecond
	longWork      = time.Second
	longEvery     = 30
)

func (s *Site) newEndpoint(name, service string) (*endpoint, error) {
	e := &endpoint{s: s, name: name, service: service}
	e.life, e.end = context.WithCancel(context.Background())
	e.Endpoint = standin.NewEndpoint(s.store, name, service, e.answer)
	link, err := network.NewLink(e.Listener.Addr().String())
	if err != nil {
		return nil, err
	}
	e.link = link
	e.RegisterAt(link.Address())
	return e, nil
}

func (e *endpoint) close() {
	e.crash()
	e.link.Close()
	e.CloseClientConnections()
	e.Close()
}

// crash ends all that runs, and lets a new life begin.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end()
	e.life, e.end = context.WithCancel(context.Background())
}

// leave keeps the registration from being ready; the function that it returns ends that.
func (e *endpoint) leave(withdraw func()) (back func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.away++
	withdraw()
	e.s.tell(promise.Leaving{Endpoint: e.name})
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.away--; e.away == 0 {
			e.s.tell(promise.Returned{Endpoint: e.name})
			e.RegisterReady()
		}
	}
}

// startAnew registers a new life, as ready unless a fault keeps it from that.
func (e *endpoint) startAnew() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Restart()
	if e.away == 0 {
		e.RegisterReady()
	}
}

// answer runs a request, or does what the endpoint's sickness says.
func (e *endpoint) answer(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	life := e.life
	e.mu.Unlock()
	sick := schedule.Sickness(e.sick.Load())
	if sick == schedule.TurnsAway {
		standin.RejectNotRun(w, r)
		return
	}
	// Whoever sends a body may go on sending it; only after it has been read does the server see a caller who leaves.
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(standin.RequestIDHeader)
	e.s.tell(promise.Ran{Request: id, Endpoint: e.name, Service: e.service, Path: r.URL.Path, Workspace: r.Header.Get(standin.WorkspaceHeader)})
	defer e.s.tell(promise.Ended{Request: id, Endpoint: e.name})
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(life, cancel)()
	switch sick {
	case schedule.TurnsAway, schedule.BreaksOff:
		// The one was handled above, the other comes in the middle of the answer.
	case schedule.Aborts:
		panic(http.ErrAbortHandler)
	case schedule.Hangs:
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	case schedule.Mistakes:
		w.Header().Set(standin.RequestIDHeader, id+"-other")
	case schedule.Fails:
		e.s.tell(promise.Gave{Request: id, Endpoint: e.name, Status: http.StatusInternalServerError})
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	e.s.tell(promise.Gave{Request: id, Endpoint: e.name, Status: http.StatusOK})
	if e.service == "engines" {
		e.stream(ctx, w, r, id, sick)
		return
	}
	work := plainWork
	if len(id)%longEvery == 0 {
		work = longWork
	}
	if !timer.Sleep(ctx, work) {
		panic(http.ErrAbortHandler)
	}
	body := plainBody(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if sick == schedule.BreaksOff {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}

// stream sends the events behind the caller's position.
func (e *endpoint) stream(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, sick schedule.Sickness) {
	after, _ := strconv.Atoi(r.Header.Get(standin.LastEventIDHeader))
	for n := after + 1; n <= events(id); n++ {
		if !timer.Sleep(ctx, eventInterval) {
			panic(http.ErrAbortHandler)
		}
		text := eventText(id, n)
		if sick == schedule.BreaksOff && n == after+2 {
			_, _ = io.WriteString(w, text[:len(text)/2])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
	}
}

// plainBody is the one right answer to a request of a plain service.
func plainBody(id string) string {
	const lines = 20
	body := ""
	for n := range lines {
		body += fmt.Sprintf("line %d of the answer to %s\n", n, id)
	}
	return body
}

// streamBody is the one right answer to a request for a stream.
func streamBody(id string) string {
	body := ""
	for n := 1; n <= events(id); n++ {
		body += eventText(id, n)
	}
	return body
}

// events is how many events the stream of a request has.
func events(id string) int {
	const least, step, spread = 3, 7919, 200
	return least + len(id)*step%spread
}

func eventText(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", n, n, id)
}
