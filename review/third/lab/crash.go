package lab

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"balsamknot.org/platform/standin"
)

// Crasher is an endpoint that some requests crash. It is back after a time, as a new process under the ID that it had.
type Crasher struct {
	*standin.Endpoint
	record *Record
	mu     sync.Mutex
	down   bool
	closed bool
}

// NewCrasher starts an endpoint. answer answers a request, unless it returns true: then the endpoint crashes and is back after downTime.
func NewCrasher(site *Site, id, service string, downTime time.Duration, answer func(w http.ResponseWriter, r *http.Request) (crash bool)) *Crasher {
	c := &Crasher{record: site.Record}
	c.Endpoint = standin.NewEndpoint(site.Store, id, service, func(w http.ResponseWriter, r *http.Request) {
		if answer(w, r) {
			c.crash(downTime)
			panic(http.ErrAbortHandler)
		}
	})
	c.CachePrompts()
	return c
}

func (c *Crasher) crash(downTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down || c.closed {
		return
	}
	c.down = true
	c.Crash()
	c.record.Printf("crash of %s", c.ID)
	time.AfterFunc(downTime, c.comeBack)
}

func (c *Crasher) comeBack() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	if err := c.ComeBackAs(c.ID); err != nil {
		c.record.Say("%s is not back: %v", c.ID, err)
		return
	}
	c.down = false
	c.record.Printf("%s is back", c.ID)
}

// End stops the endpoint for good.
func (c *Crasher) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.Close()
}

// Stream writes a stream of events.
func Stream(w http.ResponseWriter, id string, events int, gap time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= events; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n)
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		time.Sleep(gap)
	}
}
