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

// loadBalancer simulates the load balancer in front of the hosts: it polls /readyz and sends each request to a random ready host.
type loadBalancer struct {
	scenario       *scenario
	mu             sync.Mutex
	readyAddresses []string
	stop           chan struct{}
}

// readinessPollInterval is the pause between two polls of all hosts, and the time-out for the response of one host.
const readinessPollInterval = 100 * time.Millisecond

func newLoadBalancer(sc *scenario) *loadBalancer {
	b := &loadBalancer{scenario: sc, stop: make(chan struct{})}
	b.pollReadiness()
	go func() {
		for {
			select {
			case <-b.stop:
				return
			case <-time.After(readinessPollInterval):
				b.pollReadiness()
			}
		}
	}()
	return b
}

func (b *loadBalancer) pollReadiness() {
	client := http.Client{Timeout: readinessPollInterval}
	var readyAddresses []string
	for _, h := range b.scenario.layout.Hosts {
		response, err := client.Get("http://" + h.CallerAddress + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			readyAddresses = append(readyAddresses, h.CallerAddress)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readyAddresses = readyAddresses
}

// randomReadyAddress returns the caller address of a random ready host. If none is ready, it returns an address that refuses
// connections, so that the request fails.
func (b *loadBalancer) randomReadyAddress(random *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.readyAddresses) == 0 {
		return "127.0.0.1:1"
	}
	return b.readyAddresses[random.IntN(len(b.readyAddresses))]
}

// traffic is a steady load of concurrent callers. Each sends a growing chat, whose turns are streamed and not streamed in turn, and
// after each turn a call with an idempotency key. The load balancer picks the host of each request.
type traffic struct {
	balancer *loadBalancer
	wg       sync.WaitGroup
	stop     chan struct{}
	sent     atomic.Int64
	mu       sync.Mutex
	failures []string
	// unexpectedFailures holds the failures that are not a refusal with a code and Retry-After: an answer that is truncated or
	// belongs to another chat, a call that did not run exactly once, or an error of the connection.
	unexpectedFailures []string
}

// trafficByName holds each *traffic, also after its stop, by the directory of its scenario followed by its name.
var trafficByName sync.Map

// cmdTraffic starts and stops a steady load, and checks how many of its requests failed: traffic start NAME callers=N tokens=N
// seed=N workspace=W, traffic stop NAME, traffic failed NAME N, traffic lost NAME N. A refusal with a code and Retry-After is
// failed but not lost.
func cmdTraffic(ts *testscript.TestScript, neg bool, args []string) {
	s := scenarioOf(ts)
	positional, options := splitOptions(args)
	name := s.dir + positional[1]
	switch positional[0] {
	case "start":
		t := &traffic{balancer: newLoadBalancer(s), stop: make(chan struct{})}
		trafficByName.Store(name, t)
		workspace := "gent-depot"
		if w, ok := options["workspace"]; ok {
			workspace = w
		}
		for caller := range intOption(ts, options, "callers", 8) {
			random := rand.New(rand.NewPCG(uint64(intOption(ts, options, "seed", 1)), uint64(caller)))
			t.wg.Go(func() {
				t.runCaller(s, workspace, fmt.Sprintf("%s-%d", positional[1], caller), intOption(ts, options, "tokens", 20), random)
			})
		}
	case "stop":
		t := trafficOf(ts, name)
		close(t.stop)
		t.wg.Wait()
		close(t.balancer.stop)
		ts.Logf("traffic %s: %d sent, %d failed", positional[1], t.sent.Load(), len(t.failures))
		for _, failure := range t.failures {
			ts.Logf("  %s", failure)
		}
	case "failed", "lost":
		t := trafficOf(ts, name)
		failures := t.failures
		if positional[0] == "lost" {
			failures = t.unexpectedFailures
		}
		if got := fmt.Sprint(len(failures)); (got != positional[2]) != neg {
			ts.Fatalf("%s of %d requests %s, want %s: %v", got, t.sent.Load(), positional[0], positional[2], failures[:min(5, len(failures))])
		}
		if t.sent.Load() == 0 {
			ts.Fatalf("no request was sent")
		}
	}
}

func trafficOf(ts *testscript.TestScript, name string) *traffic {
	t, ok := trafficByName.Load(name)
	if !ok {
		ts.Fatalf("no traffic named %s", name)
	}
	return t.(*traffic)
}

func (t *traffic) runCaller(sc *scenario, workspace, chatName string, tokens int, random *rand.Rand) {
	var messages []message
	for turn := 1; ; turn++ {
		select {
		case <-t.stop:
			return
		case <-time.After(time.Duration(random.IntN(50)) * time.Millisecond):
		}
		messages = append(messages, message{"user", fmt.Sprintf("%s turn %d", chatName, turn)})
		body, _ := json.Marshal(map[string]any{
			"model": "drum-assistant", "prompt_cache_key": chatName, "max_tokens": tokens, "stream": turn%2 == 0, "messages": messages,
		})
		parsed, _ := fleetchat.Parse(body)
		a := send("http://"+t.balancer.randomReadyAddress(random)+"/v1/chat/completions", workspace, "", body)
		a.wantText = modelengine.ExpectedText(string(parsed.ID(workspace)), turn, tokens)
		t.record(chatName, a, a.checkComplete())
		t.sendConfirmation(sc, workspace, chatName, random)
	}
}

func (t *traffic) sendConfirmation(s *scenario, workspace, chatName string, random *rand.Rand) {
	key := uuid.Must(uuid.NewV7()).String()
	a := send("http://"+t.balancer.randomReadyAddress(random)+"/returns/confirm", workspace, key, []byte("{}"))
	err := a.err
	runs := s.running.RunCounter.Count(key)
	switch {
	case err != nil:
	case a.status != http.StatusOK:
		err = fmt.Errorf("confirmation: status %d: %s", a.status, a.body)
	case runs != 1:
		err = fmt.Errorf("confirmation ran %d times", runs)
	}
	t.record(chatName, a, err)
}

func (t *traffic) record(chatName string, a *callResult, err error) {
	t.sent.Add(1)
	if err == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	text := fmt.Sprintf("%s %s: %v", time.Now().Format("05.000"), chatName, err)
	t.failures = append(t.failures, text)
	if a.refusal.Error.Code == "" || a.header.Get("Retry-After") == "" {
		t.unexpectedFailures = append(t.unexpectedFailures, text)
	}
}
