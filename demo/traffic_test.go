package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	fleetchat "balsamknot.org/fleet/chat"
	"balsamknot.org/standin/modelengine"
)

// balancer stands in for the platform's: it sends callers to hosts that say they are ready.
type balancer struct {
	s     *scene
	mu    sync.Mutex
	ready []string
	stop  chan struct{}
}

const balancerInterval = 100 * time.Millisecond

func newBalancer(s *scene) *balancer {
	b := &balancer{s: s, stop: make(chan struct{})}
	b.poll()
	go func() {
		for {
			select {
			case <-b.stop:
				return
			case <-time.After(balancerInterval):
				b.poll()
			}
		}
	}()
	return b
}

func (b *balancer) poll() {
	client := http.Client{Timeout: balancerInterval}
	var ready []string
	for _, h := range b.s.layout.Hosts {
		response, err := client.Get("http://" + h.CallerAddress + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			ready = append(ready, h.CallerAddress)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *balancer) pick(random *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return "127.0.0.1:1"
	}
	return b.ready[random.IntN(len(b.ready))]
}

// traffic is steady load: chats that return, streamed and whole, and keyed calls, each through a host of the balancer's.
type traffic struct {
	balancer *balancer
	wg       sync.WaitGroup
	stop     chan struct{}
	sent     atomic.Int64
	mu       sync.Mutex
	failures []string
	// lost holds the failures that were no refusal with a code: answers broken off, mixed up or run twice.
	lost []string
}

var traffics sync.Map

// cmdTraffic runs steady load: traffic start NAME callers=N tokens=N seed=N workspace=W, traffic stop NAME,
// traffic failed NAME N, traffic lost NAME N; a refusal with code and Retry-After is failed but not lost.
func cmdTraffic(ts *testscript.TestScript, neg bool, args []string) {
	s := sceneOf(ts)
	rest, named := options(args)
	name := s.dir + rest[1]
	switch rest[0] {
	case "start":
		t := &traffic{balancer: newBalancer(s), stop: make(chan struct{})}
		traffics.Store(name, t)
		workspace := "gent-depot"
		if w, ok := named["workspace"]; ok {
			workspace = w
		}
		for caller := range number(ts, named, "callers", 8) {
			random := rand.New(rand.NewPCG(uint64(number(ts, named, "seed", 1)), uint64(caller)))
			t.wg.Go(func() {
				t.caller(s, workspace, fmt.Sprintf("%s-%d", rest[1], caller), number(ts, named, "tokens", 20), random)
			})
		}
	case "stop":
		t := trafficOf(ts, name)
		close(t.stop)
		t.wg.Wait()
		close(t.balancer.stop)
		ts.Logf("traffic %s: %d sent, %d failed", rest[1], t.sent.Load(), len(t.failures))
		for _, failure := range t.failures {
			ts.Logf("  %s", failure)
		}
	case "failed", "lost":
		t := trafficOf(ts, name)
		failures := t.failures
		if rest[0] == "lost" {
			failures = t.lost
		}
		if got := fmt.Sprint(len(failures)); (got != rest[2]) != neg {
			ts.Fatalf("%s of %d %s, want %s: %v", got, t.sent.Load(), rest[0], rest[2], failures[:min(5, len(failures))])
		}
		if t.sent.Load() == 0 {
			ts.Fatalf("no traffic was sent")
		}
	}
}

func trafficOf(ts *testscript.TestScript, name string) *traffic {
	t, ok := traffics.Load(name)
	if !ok {
		ts.Fatalf("no traffic %s", name)
	}
	return t.(*traffic)
}

func (t *traffic) caller(s *scene, workspace, id string, tokens int, random *rand.Rand) {
	var messages []message
	for turn := 1; ; turn++ {
		select {
		case <-t.stop:
			return
		case <-time.After(time.Duration(random.IntN(50)) * time.Millisecond):
		}
		messages = append(messages, message{"user", fmt.Sprintf("%s turn %d", id, turn)})
		body, _ := json.Marshal(map[string]any{
			"model": "drum-assistant", "prompt_cache_key": id, "max_tokens": tokens, "stream": turn%2 == 0, "messages": messages,
		})
		parsed, _ := fleetchat.Parse(body)
		a := send("http://"+t.balancer.pick(random)+"/v1/chat/completions", workspace, "", body)
		a.want = modelengine.ExpectedText(string(parsed.ID(workspace)), turn, tokens)
		t.note(id, a, a.whole())
		t.confirm(s, workspace, id, random)
	}
}

func (t *traffic) confirm(s *scene, workspace, id string, random *rand.Rand) {
	key := uuid.Must(uuid.NewV7()).String()
	a := send("http://"+t.balancer.pick(random)+"/returns/confirm", workspace, key, []byte("{}"))
	err := a.err
	runs := s.running.RunCounter.Count(key)
	switch {
	case err != nil:
	case a.status != http.StatusOK:
		err = fmt.Errorf("confirmation: status %d: %s", a.status, a.body)
	case runs != 1:
		err = fmt.Errorf("confirmation ran %d times", runs)
	}
	t.note(id, a, err)
}

func (t *traffic) note(id string, a *answer, err error) {
	t.sent.Add(1)
	if err == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	text := fmt.Sprintf("%s %s: %v", time.Now().Format("05.000"), id, err)
	t.failures = append(t.failures, text)
	if a.refusal.Error.Code == "" || a.header.Get("Retry-After") == "" {
		t.lost = append(t.lost, text)
	}
}
