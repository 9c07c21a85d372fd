package lab

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"balsamknot.org/platform/standin"
)

// Engine is an engine of a software version, which its events name.
type Engine struct {
	*standin.Endpoint
	Version string

	record  *Record
	running atomic.Int64
}

// Shape is that of all streams of a case.
type Shape struct {
	Events   int
	Interval time.Duration
}

// NewEngine starts an engine that is not registered.
func NewEngine(site *Site, id, version string, shape Shape) *Engine {
	e := &Engine{Version: version, record: site.Record}
	e.Endpoint = standin.NewEndpoint(site.Store, id, "engines", func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, shape) })
	e.Deregister()
	e.SetVersion(version)
	e.CachePrompts()
	return e
}

// Register registers the engine as ready.
func (e *Engine) Register() {
	e.RegisterReady()
	e.record.Printf("%s is registered with version %s", e.ID, e.Version)
}

// Drain reports that the engine drains, as its last registration.
func (e *Engine) Drain() {
	e.RegisterDraining()
	e.record.Printf("%s drains", e.ID)
}

// Leave removes the registration and ends the engine once it runs nothing and shortest has passed.
func (e *Engine) Leave(shortest time.Duration) {
	time.Sleep(shortest)
	for e.running.Load() > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	e.Deregister()
	e.Crash()
	e.record.Say("%s (%s) has left", e.ID, e.Version)
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request, shape Shape) {
	e.running.Add(1)
	defer e.running.Add(-1)
	id := r.Header.Get(standin.RequestIDHeader)
	after, _ := strconv.Atoi(r.Header.Get(standin.LastEventIDHeader))
	e.record.Printf("run %s at %s (%s) after event %d", id, e.ID, e.Version, after)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= shape.Events; n++ {
		fmt.Fprintf(w, "id: %d\ndata: event %d by %s.\n\n", n, n, e.Version)
		if http.NewResponseController(w).Flush() != nil || r.Context().Err() != nil {
			return
		}
		time.Sleep(shape.Interval)
	}
}

// StreamResult is what a client got of a stream in all its tries.
type StreamResult struct {
	// Events counts the events by the version that wrote them.
	Events map[string]int
	// TakenUp is true if the client took the stream up again at a host that had run for stable. WentOn is true if events came then, or at any other
	// host before. Whole is true if all events came.
	TakenUp, WentOn, Whole bool
}

// Mixed reports whether events of several versions came.
func (r StreamResult) Mixed() bool { return len(r.Events) > 1 }

// ReceiveStream is a client that takes its stream up again when it was cut, at another host each time, until timeLeft is over.
func (b *Balancer) ReceiveStream(name string, parts []string, own string, shape Shape, timeLeft, pause, stable time.Duration) StreamResult {
	result := StreamResult{Events: make(map[string]int)}
	end := time.Now().Add(timeLeft)
	origin, last := "", 0
	for time.Until(end) > time.Second {
		id, h := b.NewID(), b.Pick()
		header := http.Header{standin.PromptPartsHeader: {standin.PromptOf(parts, own)}}
		if origin != "" {
			header.Set(standin.ResumesHeader, origin)
			header.Set(standin.LastEventIDHeader, strconv.Itoa(last))
			result.TakenUp = result.TakenUp || h.Running() && h.UpFor() > stable
		}
		b.site.Record.Printf("sent %s of %s to %s after event %d of %q", id, name, h.Name, last, origin)
		a := b.Call(h, http.MethodPost, "/stream/x", id, "key", "body of "+name, time.Until(end), header)
		whole := a.Body[:strings.LastIndex(a.Body, "\n\n")+1]
		n := 0
		if a.Status == http.StatusOK {
			n = strings.Count(whole, "id: ")
		}
		for _, line := range strings.Split(whole, "\n") {
			if _, version, ok := strings.Cut(line, " by "); ok && n > 0 {
				result.Events[strings.TrimSuffix(version, ".")]++
			}
		}
		b.site.Record.Printf("answered %s of %s status %d with %d events %v", id, name, a.Status, n, a.Err)
		result.WentOn = result.WentOn || origin != "" && n > 0
		if last += n; origin == "" && last > 0 {
			origin = id
		}
		if last >= shape.Events {
			result.Whole = true
			return result
		}
		time.Sleep(pause)
	}
	return result
}
