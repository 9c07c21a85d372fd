package node

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	dto "github.com/prometheus/client_model/go"

	"balsamknot.org/fleet/burn"
	"balsamknot.org/fleet/object"
	"balsamknot.org/fleet/outcome"
)

// meter counts requests, bytes and failures for Prometheus and for the report of error budget burn rates.
type meter struct {
	registry        *prometheus.Registry
	requests        *prometheus.CounterVec
	firstByte       *prometheus.HistogramVec
	answer          *prometheus.HistogramVec
	controlBytes    prometheus.Counter
	readBytes       prometheus.Counter
	droppedFrames   prometheus.Counter
	resumes         prometheus.Counter
	unsettledClaims prometheus.Counter
	rejectedPeers   prometheus.Counter

	objectives *prometheus.CounterVec

	mu   sync.Mutex
	burn *burn.Meter
	// targets holds the objective of each series: the share of requests that must be good, by the policy in force at the last
	// request.
	targets map[burn.Series]float64
}

func newMeter() *meter {
	buckets := prometheus.ExponentialBuckets(0.001, 2, 17)
	labels := []string{labelWorkspace, labelService}
	m := &meter{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "balsamknot_requests_total", Help: "Requests by workspace, service, outcome and code.",
		}, append(labels, "outcome", "code")),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "balsamknot_first_byte_seconds", Help: "Time to the first byte of an answer.", Buckets: buckets,
		}, labels),
		answer: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "balsamknot_answer_seconds", Help: "Time to the last byte of an answer.", Buckets: buckets,
		}, labels),
		controlBytes:    newCounter("balsamknot_control_bytes_total", "Bytes, both directions, on control connections that this node dialled to peers."),
		readBytes:       newCounter("balsamknot_read_bytes_total", "Bytes, both directions, for probes of endpoints and reads of the platform."),
		droppedFrames:   newCounter("balsamknot_frames_dropped_total", "Frames of another try or repeated."),
		resumes:         newCounter("balsamknot_resumes_total", "Answers that went on over another connection or keeper."),
		unsettledClaims: newCounter("balsamknot_claims_unsettled_total", "Claims for which too few electors vouched."),
		rejectedPeers:   newCounter("balsamknot_peers_rejected_total", "Calls of the peer listener without proof of identity."),
		objectives: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "balsamknot_objective_total", Help: "Requests by whether they met the objective of an indicator.",
		}, append(labels, labelIndicator, labelResult)),
		burn:    burn.NewMeter(),
		targets: make(map[burn.Series]float64),
	}
	m.registry.MustRegister(m.requests, m.firstByte, m.answer, m.objectives, m.controlBytes, m.readBytes, m.droppedFrames, m.resumes, m.unsettledClaims, m.rejectedPeers)
	return m
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func (m *meter) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	return mux
}

func (m *meter) countControl(bytes int) { m.controlBytes.Add(float64(bytes)) }
func (m *meter) countRead(bytes int)    { m.readBytes.Add(float64(bytes)) }
func (m *meter) countDroppedFrame()     { m.droppedFrames.Inc() }
func (m *meter) countResume()           { m.resumes.Inc() }

// requestResult is the result of one request as the caller saw it. refusal is nil for an answer that was sent in full. firstByte
// and lastByte are the times from the arrival of the request to the first and last byte of the answer.
type requestResult struct {
	workspace, service  string
	refusal             *outcome.Refusal
	firstByte, lastByte time.Duration
	policy              object.Policy
}

// count records the result of a request. A refusal with a 4xx status other than 429 is the caller's fault and does not affect
// the objectives.
func (m *meter) count(f requestResult) {
	code, result := "", string(outcome.Done)
	if f.refusal != nil {
		code, result = string(f.refusal.Code), string(f.refusal.Outcome)
	}
	m.requests.WithLabelValues(f.workspace, f.service, result, code).Inc()
	if f.policy.Name == "" || (f.refusal != nil && f.refusal.Status < http.StatusInternalServerError && f.refusal.Status != http.StatusTooManyRequests) {
		return
	}
	if f.refusal == nil {
		m.firstByte.WithLabelValues(f.workspace, f.service).Observe(f.firstByte.Seconds())
		m.answer.WithLabelValues(f.workspace, f.service).Observe(f.lastByte.Seconds())
	}
	m.countObjective(f, burn.Refusal, f.refusal == nil)
	if f.refusal == nil {
		m.countObjective(f, burn.FirstToken, f.firstByte <= f.policy.FirstToken)
		m.countObjective(f, burn.Answer, f.lastByte <= f.policy.Answer)
	}
}

// Names of labels, and the values of the label result.
const (
	labelWorkspace = "workspace"
	labelService   = "service"
	labelIndicator = "indicator"
	labelResult    = "result"
	resultGood     = "good"
	resultPoor     = "poor"
)

// countObjective counts whether a request met the objective of an indicator.
func (m *meter) countObjective(f requestResult, indicator burn.Indicator, good bool) {
	result := resultPoor
	if good {
		result = resultGood
	}
	m.objectives.WithLabelValues(f.workspace, f.service, string(indicator), result).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.targets[burn.Series{Workspace: f.workspace, Service: f.service, Indicator: indicator}] = f.policy.Objective
}

// observeBurn records the objective counters in the windows from which burn rates are computed.
func (m *meter) observeBurn(now time.Time) {
	totals := make(map[burn.Series]burn.Counts)
	collected := make(chan prometheus.Metric)
	go func() {
		m.objectives.Collect(collected)
		close(collected)
	}()
	for metric := range collected {
		var sample dto.Metric
		if err := metric.Write(&sample); err == nil {
			addCounter(totals, &sample)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for series, counts := range totals {
		m.burn.Observe(now, series, m.targets[series], counts)
	}
}

// addCounter stores the value of one objective counter in the totals of its series.
func addCounter(totals map[burn.Series]burn.Counts, sample *dto.Metric) {
	labels := make(map[string]string)
	for _, pair := range sample.GetLabel() {
		labels[pair.GetName()] = pair.GetValue()
	}
	series := burn.Series{
		Workspace: labels[labelWorkspace], Service: labels[labelService], Indicator: burn.Indicator(labels[labelIndicator]),
	}
	counts := totals[series]
	value := uint64(sample.GetCounter().GetValue())
	if labels[labelResult] == resultGood {
		counts.Good = value
	} else {
		counts.Poor = value
	}
	totals[series] = counts
}

func (m *meter) rates(now time.Time) []burn.Rate {
	m.observeBurn(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.burn.Rates(now)
}
