// Command 2 stops the hosts of a zone one after the other with SIGTERM while callers have chats over kept connections, and looks for
// requests that a host had read and passed on, and whose connection it closed before the end of their answers.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"balsamknot.org/review/kit"
)

const (
	hosts     = 3
	endpoints = 4
	callers   = 192
	// events and eventInterval give the length of an answer: five seconds.
	events        = 50
	eventInterval = 100 * time.Millisecond
	deadline      = 15 * time.Second
	// grace is how long after SIGTERM a host is killed, and stopGap the time between the stops of two hosts.
	grace   = 8 * time.Second
	stopGap = 14 * time.Second
	warmUp  = 8 * time.Second
	// excusedUntil is how long after SIGTERM a request may be sent that is excused if it still runs in the last sixth of grace.
	excusedUntil = 3 * time.Second
	// lossSlack is the time after its last byte from which a request that was not passed on counts as lost.
	lossSlack = 200 * time.Millisecond
)

// run is a run of a request at an endpoint.
type run struct {
	endpoint       string
	beganAt, endAt time.Time
	// broken is true if the endpoint could not write its answer to the end.
	broken bool
}

type site struct {
	record *kit.Record
	store  *kit.Store
	hosts  []*kit.Host

	mu    sync.Mutex
	runs  map[string]*run
	stops map[*kit.Host]time.Time
	cut   []string

	served, excused, refused atomic.Int64
}

func main() {
	dir := os.Args[1]
	kit.LimitTime(115 * time.Second)
	kit.Prepare()
	s := &site{record: kit.NewRecord(filepath.Join(dir, "record.txt")), runs: make(map[string]*run), stops: make(map[*kit.Host]time.Time)}
	config, err := os.ReadFile(filepath.Join(dir, "config.json"))
	if err != nil {
		kit.Unable("read the configuration: %v", err)
	}
	s.store = kit.StartStore(kit.Network + ".2.1:8223")
	s.store.Put(kit.Wire.Keys["Config"], config)
	for i := range endpoints {
		e := &kit.Endpoint{ID: fmt.Sprintf("i-%d", i+1), Service: "assist-llm", Zone: "zone-gent", Version: "v1", Slots: 64, Serve: s.stream}
		e.Start(s.store, fmt.Sprintf("%s.3.%d", kit.Network, i+1))
	}
	for i := range hosts {
		h := kit.NewHost(i+1, "zone-gent", s.store.Address(), []string{kit.Seed(1), kit.Seed(2)})
		s.hosts = append(s.hosts, h)
		h.Start()
	}
	kit.AwaitReady(s.hosts, 15*time.Second)
	balancer := kit.StartBalancer(s.hosts)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * events * eventInterval / callers)
			s.chat(fmt.Sprintf("caller-%d", i+1), balancer, stop)
		})
	}
	time.Sleep(warmUp)
	for _, h := range s.hosts {
		s.stopHost(h)
	}
	close(stop)
	wg.Wait()
	s.record.Say("served %d, refused %d, cut and excused %d, cut and not excused %d", s.served.Load(), s.refused.Load(), s.excused.Load(), len(s.cut))
	for _, line := range s.cut {
		s.record.Say("LOST: %s", line)
	}
	if len(s.cut) > 0 {
		kit.Finish(kit.ExitBroken)
	}
	kit.Finish(kit.ExitHeld)
}

// stopHost replaces the process of a host as the platform does: SIGTERM, SIGKILL after the grace period, and a new start.
func (s *site) stopHost(h *kit.Host) {
	begin := time.Now()
	if kit.Trouble() {
		s.record.Say("SIGTERM to %s", h.Name)
		s.mu.Lock()
		s.stops[h] = begin
		s.mu.Unlock()
		h.Signal(syscall.SIGTERM)
		select {
		case <-h.Exited():
			s.record.Say("%s has ended after %.3f s", h.Name, time.Since(begin).Seconds())
		case <-time.After(grace):
			h.Kill()
			s.record.Say("%s was killed after %s", h.Name, grace)
		}
		h.Start()
	}
	time.Sleep(time.Until(begin.Add(stopGap)))
}

// stream runs a request: it sends events at equal intervals.
func (s *site) stream(e *kit.Endpoint, w http.ResponseWriter, r *http.Request, _ kit.Body) {
	id := r.Header.Get(kit.Header("Request"))
	n := &run{endpoint: e.ID, beganAt: time.Now()}
	s.mu.Lock()
	s.runs[id] = n
	s.mu.Unlock()
	s.record.Printf("request %s begins at %s", id, e.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	broken := false
	for i := 1; i <= events && !broken; i++ {
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			broken = true
			continue
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, id, i)
		flusher.Flush()
		broken = err != nil
	}
	s.mu.Lock()
	n.endAt, n.broken = time.Now(), broken
	s.mu.Unlock()
	s.record.Printf("request %s ends at %s, connection lost: %v", id, e.ID, broken)
}

// chat has one chat after another over a connection that is kept for as long as the host keeps it.
func (s *site) chat(name string, balancer *kit.Balancer, stop <-chan struct{}) {
	var conn *kit.Conn
	var h *kit.Host
	for turn := 1; ; turn++ {
		select {
		case <-stop:
			return
		default:
		}
		if conn == nil {
			h = balancer.Pick(name)
			var err error
			if conn, err = kit.Dial(h.Front()); err != nil {
				conn = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		call := kit.Call{
			ID: fmt.Sprintf("%s.%d", name, turn), Method: http.MethodPost, Host: "drums.example", Path: "/draft/x", Key: "key-gent", Deadline: deadline,
			Headers: map[string]string{
				kit.Header("Model"): "m", kit.Header("Tokens"): "400,300", kit.Header("Prompt"): fmt.Sprintf("5c1e07a2:300,%x:100", 1000+turn),
			},
			Body: []byte("a question of " + name),
		}
		s.record.Printf("request %s sent to %s", call.ID, h.Name)
		o := conn.Do(call, nil)
		s.record.Printf("request %s answered %d by %s, complete: %v, error: %v", call.ID, o.Status, h.Name, o.Complete, o.Err)
		s.judge(call.ID, h, o)
		if o.Close {
			_ = conn.Close()
			conn = nil
		}
		if o.Status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// judge checks the rule for one request.
func (s *site) judge(id string, h *kit.Host, o kit.Outcome) {
	switch {
	case o.Complete && o.Status == http.StatusOK:
		s.served.Add(1)
		return
	case o.Complete:
		s.refused.Add(1)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stoppedAt, stopped := s.stops[h]
	n := s.runs[id]
	passedOn := n != nil
	took := o.EndedAt.Sub(o.SentAt)
	switch {
	case o.TimedOut() || took >= deadline-time.Second:
		s.record.Say("request %s reached its deadline", id)
	case !passedOn && took < lossSlack:
		s.record.Printf("request %s was closed unread", id)
	case !stopped || o.EndedAt.Before(stoppedAt) || o.EndedAt.After(stoppedAt.Add(grace+time.Second)):
		s.record.Say("request %s was cut with no stop of its host", id)
	case o.SentAt.Sub(stoppedAt) <= excusedUntil && o.EndedAt.Sub(stoppedAt) >= grace*5/6:
		s.excused.Add(1)
		s.record.Printf("request %s was cut, excused: sent %.3f s after SIGTERM", id, o.SentAt.Sub(stoppedAt).Seconds())
	default:
		s.cut = append(s.cut, fmt.Sprintf("request %s, sent %.3f s after SIGTERM of %s, passed on: %v, cut after %.3f s of its %s, %.3f s after SIGTERM",
			id, o.SentAt.Sub(stoppedAt).Seconds(), h.Name, passedOn, took.Seconds(), events*eventInterval, o.EndedAt.Sub(stoppedAt).Seconds()))
	}
}
