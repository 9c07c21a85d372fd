// Command 5 ends the processes of all hosts at the same moment, while callers have streams at endpoints of two software versions, and starts
// them again. It looks at the streams that callers take up again.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"balsamknot.org/review/kit"
)

const (
	hosts     = 4
	endpoints = 120
	slots     = 16
	callers   = 240
	// events and eventInterval give the length of a stream, and prefill is the time to its first event.
	events        = 80
	eventInterval = 100 * time.Millisecond
	prefill       = 50 * time.Millisecond
	deadline      = 15 * time.Second
	// listTime is how long an endpoint takes to list its cache.
	listTime = 100 * time.Millisecond
	warmUp   = 10 * time.Second
	// startDelay is the time from the end of the processes to their new start, and stable that from which they are in touch again.
	startDelay = 500 * time.Millisecond
	stable     = 3 * time.Second
	lastAt     = 16 * time.Second
	// minTakenUp is the number of streams that must be taken up for the rule to apply.
	minTakenUp = 12
)

type site struct {
	record *kit.Record

	mu sync.Mutex
	// startedAt is when the processes were started again; zero before.
	startedAt time.Time
	// caches holds the tokens of each part of a prompt that an endpoint caches, by endpoint.
	caches map[string]map[string]int
	// takenUp holds the streams that were taken up again, and whether they went on. inTouch holds those that were taken up at hosts in touch.
	takenUp, inTouch map[*kit.Stream]bool
	// firstTries and begun count the new streams at hosts in touch.
	firstTries, begun int
	mixed, faults     []string
}

func main() {
	dir := os.Args[1]
	kit.LimitTime(115 * time.Second)
	kit.Prepare()
	s := &site{
		record: kit.NewRecord(filepath.Join(dir, "record.txt")), caches: make(map[string]map[string]int),
		takenUp: make(map[*kit.Stream]bool), inTouch: make(map[*kit.Stream]bool),
	}
	config, err := os.ReadFile(filepath.Join(dir, "config.json"))
	if err != nil {
		kit.Unable("read the configuration: %v", err)
	}
	store := kit.StartStore(kit.Network + ".2.1:8223")
	store.Put(kit.Wire.Keys["Config"], config)
	for i := range endpoints {
		s.startEndpoint(store, i+1)
	}
	var all []*kit.Host
	for i := range hosts {
		h := kit.NewHost(i+1, "zone-gent", store.Address(), []string{kit.Seed(1), kit.Seed(2), kit.Seed(3)})
		all = append(all, h)
		h.Start()
	}
	kit.AwaitReady(all, 15*time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	chat := kit.StreamCaller{
		Record: s.record, Host: "drums.example", Path: "/summary/x", Key: "key-gent", Events: events, Deadline: deadline, OnTry: s.note, OnEnd: s.end,
	}
	for i := range callers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * events * eventInterval / callers)
			chat.Run(fmt.Sprintf("caller-%d", i+1), i, all, stop)
		})
	}
	time.Sleep(warmUp)
	if kit.Trouble() {
		s.record.Say("SIGKILL to all hosts")
		for _, h := range all {
			go h.Kill()
		}
		for _, h := range all {
			<-h.Exited()
		}
	}
	time.Sleep(startDelay)
	s.mu.Lock()
	s.startedAt = time.Now()
	s.mu.Unlock()
	if kit.Trouble() {
		for _, h := range all {
			h.Start()
		}
		s.record.Say("all hosts start again")
	}
	time.Sleep(lastAt)
	close(stop)
	wg.Wait()
	s.finish()
}

// startEndpoint starts an endpoint that caches the prompts that it runs. Every other one has version v2.
func (s *site) startEndpoint(store *kit.Store, number int) {
	stream := kit.StreamServer{Record: s.record, Events: events, Interval: eventInterval, Prefill: prefill}
	id := fmt.Sprintf("i-%d", number)
	s.caches[id] = make(map[string]int)
	e := &kit.Endpoint{ID: id, Service: "assist-llm", Zone: "zone-gent", Version: fmt.Sprintf("v%d", 1+number%2), Slots: slots}
	e.Serve = func(e *kit.Endpoint, w http.ResponseWriter, r *http.Request, b kit.Body) {
		s.cache(id, r.Header.Get(kit.Header("Prompt")))
		stream.Serve(e, w, r, b)
	}
	e.Caches = func(w http.ResponseWriter) {
		time.Sleep(listTime)
		held := s.list(id)
		s.record.Printf("endpoint %s lists its cache, %d entries", id, len(held))
		_ = json.NewEncoder(w).Encode(map[string]any{"epoch": 1, "next": 1, "held": held})
	}
	e.Start(store, fmt.Sprintf("%s.3.%d", kit.Network, number))
}

func (s *site) cache(id, prompt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for part := range strings.SplitSeq(prompt, ",") {
		name, tokens, _ := strings.Cut(part, ":")
		s.caches[id][name], _ = strconv.Atoi(tokens)
	}
}

func (s *site) list(id string) []any {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := []any{}
	for name, tokens := range s.caches[id] {
		held = append(held, []any{"", name, tokens, "m"})
	}
	return held
}

// note counts a try for the rule.
func (s *site) note(try kit.StreamTry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startedAt.IsZero() || try.SentAt.Before(s.startedAt) {
		return
	}
	touch := !try.SentAt.Before(s.startedAt.Add(stable))
	switch {
	case try.TakesUp:
		s.takenUp[try.Stream] = s.takenUp[try.Stream] || try.Events > 0
		if touch {
			s.inTouch[try.Stream] = s.inTouch[try.Stream] || try.Events > 0
		}
	case try.Number == 1 && touch:
		s.firstTries++
		if try.Events > 0 {
			s.begun++
		}
	}
}

// end notes the end of a stream.
func (s *site) end(name string, st *kit.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(st.Versions) > 1 {
		s.mixed = append(s.mixed, fmt.Sprintf("%s has events of versions %s", name, strings.Join(st.Versions, ", ")))
	}
	if st.Fault != "" {
		s.faults = append(s.faults, name+": "+st.Fault)
	}
}

func count(streams map[*kit.Stream]bool) (went int) {
	for _, on := range streams {
		if on {
			went++
		}
	}
	return went
}

func (s *site) finish() {
	s.record.Say("streams taken up again from the start on: %d, of which %d went on", len(s.takenUp), count(s.takenUp))
	s.record.Say("from %s after it: taken up %d, of which %d went on; new streams %d, of which %d began", stable, len(s.inTouch), count(s.inTouch), s.firstTries, s.begun)
	s.record.Say("streams of two versions: %d; other faults: %d", len(s.mixed), len(s.faults))
	for _, line := range append(s.mixed, s.faults...) {
		s.record.Say("ORDER: %s", line)
	}
	begin := float64(s.begun) / float64(max(s.firstTries, 1))
	on := float64(count(s.inTouch)) / float64(max(len(s.inTouch), 1))
	onOfAll := float64(count(s.takenUp)) / float64(max(len(s.takenUp), 1))
	if len(s.inTouch) >= minTakenUp && max(on, onOfAll) < begin/2 {
		s.record.Say("LOST: %.2f of the streams taken up at hosts in touch go on (%.2f of all), and %.2f of the new ones begin", on, onOfAll, begin)
		kit.Finish(kit.ExitBroken)
	}
	if len(s.mixed) > 2 || len(s.faults) > 0 {
		kit.Finish(kit.ExitBroken)
	}
	kit.Finish(kit.ExitHeld)
}
