package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"balsamknot.org/fleet/timer"
	"balsamknot.org/load/caller"
	"balsamknot.org/load/gauge"
)

// Phase is one part of a run.
type Phase struct {
	Name     string
	Duration time.Duration
	// Surging workspaces ask Factor times their share.
	Surging int
	Factor  float64
}

// Result is what a run measured, by phase.
type Result struct {
	Name   string
	Phases []PhaseResult
	// ControlBytes is what a node spends on control a second, both directions.
	ControlBytes float64
}

// PhaseResult is one phase's figures.
type PhaseResult struct {
	Phase                      string
	Sent, Whole, Refused, Lost int
	// Moved counts returning turns that were answered by another engine than the turn before.
	Moved int
	// Reuse is the share of returning prompt tokens found on an engine.
	Reuse float64
	// SkewP50 and SkewP99 are the busiest engine over the mean, over time, while the mean is at least minimumMean.
	SkewP50, SkewP99 float64
	// OverBound counts samples in which an engine held more than the set multiple allows, of Samples.
	OverBound, Samples int
	MeanLoad           float64
	FirstByteP50Ms     float64
	FirstByteP95Ms     float64
}

// runner drives one run.
type runner struct {
	o      options
	client *http.Client
	mu     sync.Mutex
	play   *caller.Play
	random *rand.Rand
	phase  *phase
	wg     sync.WaitGroup
}

// phase collects one phase's counts.
type phase struct {
	result    PhaseResult
	returning int64
	cached    int64
	firstByte *hdrhistogram.Histogram
	skew      *hdrhistogram.Histogram
	means     float64
	// totals holds the samples of the last meanWindow.
	totals []int64
}

const (
	sampleInterval = 50 * time.Millisecond
	minimumMean    = 2
	// meanWindow is the time over which the mean of the bound is taken.
	meanWindow      = time.Second
	mostConnections = 4096
	histogramMost   = 120_000
	skewScale       = 1000
	seedStream      = 1
)

func newRunner(o options) *runner {
	random := rand.New(rand.NewPCG(o.seed, seedStream))
	return &runner{
		o: o, random: random,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: mostConnections, DisableCompression: true}},
		play: caller.NewPlay(caller.Config{
			Workspaces: o.workspaces, Chats: o.chats, Turns: o.turns, OpeningBytes: o.openingBytes, TurnBytes: o.turnBytes,
		}, random),
	}
}

func (r *runner) run(ctx context.Context) Result {
	result := Result{Name: r.o.name}
	began := time.Now()
	control := r.controlBytes(ctx)
	phases := make([]*phase, 0, len(r.o.phases))
	for _, p := range r.o.phases {
		phases = append(phases, r.runPhase(ctx, p))
	}
	// Requests still under way count for the phase in which they were sent.
	r.wg.Wait()
	for _, p := range phases {
		result.Phases = append(result.Phases, p.finish())
	}
	spent := r.controlBytes(ctx) - control
	result.ControlBytes = spent / float64(len(r.o.metrics)) / time.Since(began).Seconds()
	return result
}

func (r *runner) runPhase(ctx context.Context, p Phase) *phase {
	current := &phase{
		result:    PhaseResult{Phase: p.Name},
		firstByte: hdrhistogram.New(1, histogramMost, 3),
		skew:      hdrhistogram.New(1, 1000*skewScale, 3),
	}
	r.mu.Lock()
	r.phase = current
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, p.Duration)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { r.sampleSkew(ctx, current) })
	r.arrivals(ctx, p, current)
	wg.Wait()
	return current
}

// arrivals sends requests as a Poisson process; a surge adds to the rate what the surging workspaces add.
func (r *runner) arrivals(ctx context.Context, p Phase, current *phase) {
	rate := r.o.rate
	if p.Surging > 0 {
		share := 1 / float64(len(r.o.workspaces))
		rate *= 1 + float64(p.Surging)*share*(p.Factor-1)
	}
	for ctx.Err() == nil {
		r.mu.Lock()
		wait := time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
		turn, ok := r.play.Pick(p.Surging, p.Factor, r.o.model, r.o.tokens)
		host := r.o.hosts[r.random.IntN(len(r.o.hosts))]
		r.mu.Unlock()
		if ok {
			r.wg.Go(func() { r.send(host, turn, current) })
		}
		timer.Sleep(ctx, wait)
	}
}

// end is how a request ended.
type end int

const (
	endWhole end = iota
	endRefused
	endLost
)

const requestTimeout = 60 * time.Second

func (r *runner) send(host string, turn caller.Turn, current *phase) {
	began := time.Now()
	m, result := r.exchange(host, turn)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.play.Done(turn, m.text, result == endWhole)
	current.result.Sent++
	switch result {
	case endWhole:
		current.result.Whole++
		current.returning += int64(turn.Returning)
		current.cached += m.cached
		if turn.Chat.Engine != "" && turn.Chat.Engine != m.engine {
			current.result.Moved++
		}
		turn.Chat.Engine = m.engine
		_ = current.firstByte.RecordValue(m.firstByte.Sub(began).Microseconds() / 10)
	case endRefused:
		current.result.Refused++
	case endLost:
		current.result.Lost++
	}
}

// met is an answer as the caller got it.
type met struct {
	text      string
	engine    string
	firstByte time.Time
	// cached is how many prompt tokens the engine found cached, as it says in the answer.
	cached int64
}

func (r *runner) exchange(host string, turn caller.Turn) (met, end) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/v1/chat/completions", bytes.NewReader(turn.Body))
	if err != nil {
		return met{}, endLost
	}
	request.Header.Set("Authorization", "Bearer key-"+turn.Workspace.Name)
	response, err := r.client.Do(request)
	if err != nil {
		return met{}, endLost
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return met{}, endRefused
	}
	return readStream(response)
}

// chunk is the part of a streamed chunk that the callers read.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage struct {
		Details struct {
			Cached int64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func readStream(response *http.Response) (met, end) {
	m := met{engine: response.Header.Get("Balsamknot-Endpoint")}
	var text strings.Builder
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if m.firstByte.IsZero() {
			m.firstByte = time.Now()
		}
		if data == "[DONE]" {
			m.text = text.String()
			return m, endWhole
		}
		var c chunk
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			text.WriteString(c.Choices[0].Delta.Content)
			m.cached += c.Usage.Details.Cached
		}
	}
	return m, endLost
}

func (r *runner) controlBytes(ctx context.Context) float64 {
	total := 0.0
	for _, address := range r.o.metrics {
		if c, err := gauge.ReadControl(ctx, address); err == nil {
			total += c.Total()
		}
	}
	return total
}

// sampleSkew reads every engine's running requests at short intervals.
func (r *runner) sampleSkew(ctx context.Context, current *phase) {
	for ctx.Err() == nil {
		engines := r.listed(ctx)
		loads := make([]int64, len(engines))
		var wg sync.WaitGroup
		for i, address := range engines {
			wg.Go(func() {
				if e, err := gauge.ReadEngine(ctx, address); err == nil {
					loads[i] = e.Running
				}
			})
		}
		wg.Wait()
		if ctx.Err() == nil {
			r.mu.Lock()
			current.sample(loads, r.o.loadFactor)
			r.mu.Unlock()
		}
		timer.Sleep(ctx, sampleInterval)
	}
}

// listed returns the engines that the platform lists now: one that has left is no part of the mean.
func (r *runner) listed(ctx context.Context) []string {
	if r.o.platform == "" {
		return r.o.engines
	}
	addresses, err := gauge.ReadEndpoints(ctx, r.o.platform)
	if err != nil {
		return r.o.engines
	}
	return slices.DeleteFunc(slices.Clone(r.o.engines), func(a string) bool { return !slices.Contains(addresses, a) })
}

func (c *phase) sample(loads []int64, factor float64) {
	var busiest, total int64
	for _, load := range loads {
		busiest = max(busiest, load)
		total += load
	}
	c.totals = append(c.totals, total)
	c.totals = c.totals[max(0, len(c.totals)-int(meanWindow/sampleInterval)):]
	var sum int64
	for _, t := range c.totals {
		sum += t
	}
	lately := float64(sum) / float64(len(c.totals))
	mean := float64(total) / float64(len(loads))
	c.result.Samples++
	c.means += mean
	// An engine may hold the multiple of the mean over the last second, the next request in it, rounded up.
	if allowed := math.Ceil(factor * (lately + 1) / float64(len(loads))); float64(busiest) > allowed {
		c.result.OverBound++
	}
	if mean >= minimumMean {
		_ = c.skew.RecordValue(int64(float64(busiest) / mean * skewScale))
	}
}

func (c *phase) finish() PhaseResult {
	result := c.result
	if c.returning > 0 {
		result.Reuse = float64(c.cached) / float64(c.returning)
	}
	result.SkewP50 = float64(c.skew.ValueAtQuantile(50)) / skewScale
	result.SkewP99 = float64(c.skew.ValueAtQuantile(99)) / skewScale
	result.MeanLoad = c.means / float64(max(1, result.Samples))
	const hundredths = 100
	result.FirstByteP50Ms = float64(c.firstByte.ValueAtQuantile(50)) / hundredths
	result.FirstByteP95Ms = float64(c.firstByte.ValueAtQuantile(95)) / hundredths
	return result
}

func (r Result) print() {
	for _, p := range r.Phases {
		fmt.Printf("%-24s %-7s sent %5d whole %5d refused %4d lost %3d moved %3d reuse %.3f skew p50 %.2f p99 %.2f over %d/%d mean %.1f first byte p50 %.0f p95 %.0f ms control %.0f B/s\n",
			r.Name, p.Phase, p.Sent, p.Whole, p.Refused, p.Lost, p.Moved, p.Reuse, p.SkewP50, p.SkewP99, p.OverBound, p.Samples, p.MeanLoad,
			p.FirstByteP50Ms, p.FirstByteP95Ms, r.ControlBytes)
	}
}
