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

// Phase is a part of a run with a constant request rate.
type Phase struct {
	Name     string
	Duration time.Duration
	// SurgingWorkspaces is the number of workspaces, the first ones listed, that send SurgeFactor times their share of requests.
	SurgingWorkspaces int
	SurgeFactor       float64
}

// Result holds the measurements of a run. It is written as JSON under the names of its fields.
type Result struct {
	Name   string
	Phases []PhaseResult
	// ControlBytes is the control traffic of a node in bytes per second, both directions, averaged over nodes and the run.
	ControlBytes float64
}

// PhaseResult holds the measurements of one phase. It is written as JSON under the names of its fields.
type PhaseResult struct {
	Phase string
	// Sent is the sum of Whole, answered completely; Refused, answered with a status other than 200; and Lost, the requests
	// that failed or whose answer ended early.
	Sent, Whole, Refused, Lost int
	// Moved is the number of complete turns that were answered by a different engine than the previous complete turn of the chat.
	Moved int
	// Reuse is the fraction of the prompt tokens of earlier turns that the engine had cached.
	Reuse float64
	// SkewP50 and SkewP99 are quantiles over the samples of the load of the busiest engine divided by the mean load. Samples
	// with a mean below minSkewMean are left out, as a single request gives a high ratio there.
	SkewP50, SkewP99 float64
	// OverBound is the number of samples, out of Samples, in which an engine had more requests than the load factor allows.
	OverBound, Samples int
	// MeanLoad is the mean number of requests in an engine.
	MeanLoad float64
	// FirstByteP50Ms and FirstByteP95Ms are quantiles of the time from sending a request to the first event of its answer.
	FirstByteP50Ms float64
	FirstByteP95Ms float64
	// FirstByteBeyond is the number of complete answers whose time is above what the quantiles can hold, so that they leave it out.
	FirstByteBeyond int
}

// generator sends the requests of a run and measures the answers and the engines.
type generator struct {
	options    options
	client     *http.Client
	mu         sync.Mutex
	simulation *caller.Simulation
	random     *rand.Rand
	phase      *phaseRecorder
	wg         sync.WaitGroup
}

// phaseRecorder collects the measurements of one phase. The generator's lock guards it.
type phaseRecorder struct {
	result          PhaseResult
	returningTokens int64
	cachedTokens    int64
	// firstByte is in units of firstByteUnit, and skew in units of 1/skewScale.
	firstByte *hdrhistogram.Histogram
	skew      *hdrhistogram.Histogram
	meanSum   float64
	// recentTotals holds the number of requests in all engines together, for each of the last boundWindow/sampleInterval samples.
	recentTotals []int64
}

const (
	sampleInterval = 50 * time.Millisecond
	// minSkewMean is the lowest mean number of requests per engine at which skew is recorded.
	minSkewMean = 2
	// boundWindow is the time over which the load is averaged to compute how much load an engine may have.
	boundWindow        = time.Second
	maxIdleConnections = 4096
	// firstByteUnit is the resolution of the time to the first byte. The histogram holds those of every request that is not given up.
	firstByteUnit = 10 * time.Microsecond
	// skewScale is the factor by which ratios are multiplied, since the histogram records integers.
	skewScale = 1000
	// randomStream is the second word of the seed of the random numbers; the first is the flag --seed.
	randomStream = 1
)

func newGenerator(o options) *generator {
	random := rand.New(rand.NewPCG(o.seed, randomStream))
	return &generator{
		options: o, random: random,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}},
		simulation: caller.NewSimulation(caller.Config{
			Workspaces: o.workspaces, ChatsPerWorkspace: o.chats, TurnsPerChat: o.turns, OpeningBytes: o.openingBytes, TurnBytes: o.turnBytes,
		}, random),
	}
}

func (g *generator) run(ctx context.Context) Result {
	result := Result{Name: g.options.name}
	startedAt := time.Now()
	controlBefore := g.controlBytes(ctx)
	phases := make([]*phaseRecorder, 0, len(g.options.phases))
	for _, p := range g.options.phases {
		phases = append(phases, g.runPhase(ctx, p))
	}
	// Requests that are still under way are counted in the phase in which they were sent, so wait for them first.
	g.wg.Wait()
	for _, p := range phases {
		result.Phases = append(result.Phases, p.finish())
	}
	controlBytes := g.controlBytes(ctx) - controlBefore
	result.ControlBytes = controlBytes / float64(len(g.options.metrics)) / time.Since(startedAt).Seconds()
	return result
}

func newPhaseRecorder(name string) *phaseRecorder {
	return &phaseRecorder{
		result:    PhaseResult{Phase: name},
		firstByte: hdrhistogram.New(1, int64(requestTimeout/firstByteUnit), 3),
		skew:      hdrhistogram.New(1, 1000*skewScale, 3),
	}
}

func (g *generator) runPhase(ctx context.Context, p Phase) *phaseRecorder {
	recorder := newPhaseRecorder(p.Name)
	g.mu.Lock()
	g.phase = recorder
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, p.Duration)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { g.sampleLoads(ctx, recorder) })
	g.sendArrivals(ctx, p, recorder)
	wg.Wait()
	return recorder
}

// sendArrivals sends requests as a Poisson process until ctx is done. In a surge the rate grows by the additional requests of
// the surging workspaces, so that the others keep theirs.
func (g *generator) sendArrivals(ctx context.Context, p Phase, recorder *phaseRecorder) {
	rate := g.options.requestRate
	if p.SurgingWorkspaces > 0 {
		share := 1 / float64(len(g.options.workspaces))
		rate *= 1 + float64(p.SurgingWorkspaces)*share*(p.SurgeFactor-1)
	}
	for ctx.Err() == nil {
		g.mu.Lock()
		wait := time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
		turn, ok := g.simulation.StartTurn(p.SurgingWorkspaces, p.SurgeFactor, g.options.model, g.options.tokens)
		host := g.options.hosts[g.random.IntN(len(g.options.hosts))]
		g.mu.Unlock()
		if ok {
			g.wg.Go(func() { g.send(host, turn, recorder) })
		}
		timer.Sleep(ctx, wait)
	}
}

// outcome is the way in which a request ended.
type outcome int

const (
	outcomeComplete outcome = iota
	outcomeRefused
	outcomeLost
)

const requestTimeout = 60 * time.Second

func (g *generator) send(host string, turn caller.Turn, recorder *phaseRecorder) {
	startedAt := time.Now()
	received, result := g.exchange(host, turn)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.simulation.FinishTurn(turn, received.text, result == outcomeComplete)
	recorder.result.Sent++
	switch result {
	case outcomeComplete:
		recorder.result.Whole++
		recorder.returningTokens += int64(turn.ReturningTokens)
		recorder.cachedTokens += received.cachedTokens
		if turn.Chat.LastEngine != "" && turn.Chat.LastEngine != received.engine {
			recorder.result.Moved++
		}
		turn.Chat.LastEngine = received.engine
		recorder.recordFirstByte(received.firstByte.Sub(startedAt))
	case outcomeRefused:
		recorder.result.Refused++
	case outcomeLost:
		recorder.result.Lost++
	}
}

// recordFirstByte records the time to the first byte of a complete answer. What the histogram can't hold is counted.
func (p *phaseRecorder) recordFirstByte(d time.Duration) {
	if err := p.firstByte.RecordValue(int64(d / firstByteUnit)); err != nil {
		p.result.FirstByteBeyond++
	}
}

// answer is a streamed answer as the caller received it. firstByte is zero if no event was received.
type answer struct {
	text      string
	engine    string
	firstByte time.Time
	// cachedTokens is the number of prompt tokens that the engine had cached, as the usage part of the answer reports it.
	cachedTokens int64
}

func (g *generator) exchange(host string, turn caller.Turn) (answer, outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/v1/chat/completions", bytes.NewReader(turn.Body))
	if err != nil {
		return answer{}, outcomeLost
	}
	request.Header.Set("Authorization", "Bearer key-"+turn.Workspace.Name)
	response, err := g.client.Do(request)
	if err != nil {
		return answer{}, outcomeLost
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer{}, outcomeRefused
	}
	return readStream(response)
}

// chunk holds the fields that are read from a chunk of a streamed answer.
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

func readStream(response *http.Response) (answer, outcome) {
	received := answer{engine: response.Header.Get("Balsamknot-Endpoint")}
	var text strings.Builder
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if received.firstByte.IsZero() {
			received.firstByte = time.Now()
		}
		if data == "[DONE]" {
			received.text = text.String()
			return received, outcomeComplete
		}
		var c chunk
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			text.WriteString(c.Choices[0].Delta.Content)
			received.cachedTokens += c.Usage.Details.Cached
		}
	}
	return received, outcomeLost
}

func (g *generator) controlBytes(ctx context.Context) float64 {
	total := 0.0
	for _, address := range g.options.metrics {
		if c, err := gauge.ReadControlTraffic(ctx, address); err == nil {
			total += c.TotalBytes()
		}
	}
	return total
}

// sampleLoads samples the number of requests in every engine until ctx is done. An engine that can't be read enters the sample
// with 0 requests.
func (g *generator) sampleLoads(ctx context.Context, recorder *phaseRecorder) {
	for ctx.Err() == nil {
		engines := g.listedEngines(ctx)
		loads := make([]int64, len(engines))
		var wg sync.WaitGroup
		for i, address := range engines {
			wg.Go(func() {
				if e, err := gauge.ReadEngineStats(ctx, address); err == nil {
					loads[i] = e.Running
				}
			})
		}
		wg.Wait()
		if ctx.Err() == nil {
			g.mu.Lock()
			recorder.addSample(loads, g.options.loadFactor)
			g.mu.Unlock()
		}
		timer.Sleep(ctx, sampleInterval)
	}
}

// listedEngines returns the engines that the platform lists now, so that removed engines don't lower the mean load. Without
// a platform address, or if the platform can't be read, it returns all engines.
func (g *generator) listedEngines(ctx context.Context) []string {
	if g.options.platform == "" {
		return g.options.engines
	}
	addresses, err := gauge.ReadEndpointAddresses(ctx, g.options.platform)
	if err != nil {
		return g.options.engines
	}
	return slices.DeleteFunc(slices.Clone(g.options.engines), func(a string) bool { return !slices.Contains(addresses, a) })
}

func (p *phaseRecorder) addSample(loads []int64, loadFactor float64) {
	var busiest, total int64
	for _, load := range loads {
		busiest = max(busiest, load)
		total += load
	}
	p.recentTotals = append(p.recentTotals, total)
	p.recentTotals = p.recentTotals[max(0, len(p.recentTotals)-int(boundWindow/sampleInterval)):]
	var sum int64
	for _, t := range p.recentTotals {
		sum += t
	}
	recentMeanTotal := float64(sum) / float64(len(p.recentTotals))
	mean := float64(total) / float64(len(loads))
	p.result.Samples++
	p.meanSum += mean
	// An engine may have the load factor times the mean load over the last second, with the next request included in the
	// mean, rounded up.
	if allowed := math.Ceil(loadFactor * (recentMeanTotal + 1) / float64(len(loads))); float64(busiest) > allowed {
		p.result.OverBound++
	}
	if mean >= minSkewMean {
		_ = p.skew.RecordValue(int64(float64(busiest) / mean * skewScale))
	}
}

func (p *phaseRecorder) finish() PhaseResult {
	result := p.result
	if p.returningTokens > 0 {
		result.Reuse = float64(p.cachedTokens) / float64(p.returningTokens)
	}
	result.SkewP50 = float64(p.skew.ValueAtQuantile(50)) / skewScale
	result.SkewP99 = float64(p.skew.ValueAtQuantile(99)) / skewScale
	result.MeanLoad = p.meanSum / float64(max(1, result.Samples))
	const unitsPerMs = float64(time.Millisecond / firstByteUnit)
	result.FirstByteP50Ms = float64(p.firstByte.ValueAtQuantile(50)) / unitsPerMs
	result.FirstByteP95Ms = float64(p.firstByte.ValueAtQuantile(95)) / unitsPerMs
	return result
}

func (r Result) print() {
	for _, p := range r.Phases {
		fmt.Printf("%-24s %-7s sent %5d whole %5d refused %4d lost %3d moved %3d reuse %.3f skew p50 %.2f p99 %.2f over %d/%d mean %.1f first byte p50 %.0f p95 %.0f ms beyond %d control %.0f B/s\n",
			r.Name, p.Phase, p.Sent, p.Whole, p.Refused, p.Lost, p.Moved, p.Reuse, p.SkewP50, p.SkewP99, p.OverBound, p.Samples, p.MeanLoad,
			p.FirstByteP50Ms, p.FirstByteP95Ms, p.FirstByteBeyond, r.ControlBytes)
	}
}
