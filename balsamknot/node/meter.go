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

// meter counts what a node does, for Prometheus and for the burn report.
type meter struct {
	registry   *prometheus.Registry
	requests   *prometheus.CounterVec
	firstByte  *prometheus.HistogramVec
	whole      *prometheus.HistogramVec
	control    prometheus.Counter
	reads      prometheus.Counter
	drops      prometheus.Counter
	resumes    prometheus.Counter
	unsettled  prometheus.Counter
	rejections prometheus.Counter

	objectives *prometheus.CounterVec

	mu   sync.Mutex
	burn *burn.Meter
	// targets holds the objective of each series, from the policy at its last request.
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
		whole: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "balsamknot_answer_seconds", Help: "Time to the last byte of an answer.", Buckets: buckets,
		}, labels),
		control:    newCounter("balsamknot_control_bytes_total", "Bytes, both directions, on control connections that this node dialled to peers."),
		reads:      newCounter("balsamknot_read_bytes_total", "Bytes, both directions, for probes of endpoints and reads of the platform."),
		drops:      newCounter("balsamknot_frames_dropped_total", "Frames of another try or repeated."),
		resumes:    newCounter("balsamknot_resumes_total", "Answers that went on over another connection or keeper."),
		unsettled:  newCounter("balsamknot_claims_unsettled_total", "Claims for which too few electors vouched."),
		rejections: newCounter("balsamknot_peers_rejected_total", "Calls of the peer listener without proof of identity."),
		objectives: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "balsamknot_objective_total", Help: "Requests by whether they met the objective of an indicator.",
		}, append(labels, labelIndicator, labelResult)),
		burn:    burn.NewMeter(),
		targets: make(map[burn.Series]float64),
	}
	m.registry.MustRegister(m.requests, m.firstByte, m.whole, m.objectives, m.control, m.reads, m.drops, m.resumes, m.unsettled, m.rejections)
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

func (m *meter) countControl(bytes int) { m.control.Add(float64(bytes)) }
func (m *meter) countRead(bytes int)    { m.reads.Add(float64(bytes)) }
func (m *meter) dropped()               { m.drops.Inc() }
func (m *meter) resumed()               { m.resumes.Inc() }

// finished is one request's end as the caller saw it.
type finished struct {
	workspace, service string
	refusal            *outcome.Refusal
	firstByte, whole   time.Duration
	policy             object.Policy
}

// count notes a request's end. A refusal by the caller's own fault burns no budget.
func (m *meter) count(f finished) {
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
		m.whole.WithLabelValues(f.workspace, f.service).Observe(f.whole.Seconds())
	}
	m.judge(f, burn.Refusal, f.refusal == nil)
	if f.refusal == nil {
		m.judge(f, burn.FirstToken, f.firstByte <= f.policy.FirstToken)
		m.judge(f, burn.Answer, f.whole <= f.policy.Answer)
	}
}

// Labels of the objectives' counter beside workspace and service.
const (
	labelWorkspace = "workspace"
	labelService   = "service"
	labelIndicator = "indicator"
	labelResult    = "result"
	resultGood     = "good"
	resultPoor     = "poor"
)

func (m *meter) judge(f finished, indicator burn.Indicator, good bool) {
	result := resultPoor
	if good {
		result = resultGood
	}
	m.objectives.WithLabelValues(f.workspace, f.service, string(indicator), result).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.targets[burn.Series{Workspace: f.workspace, Service: f.service, Indicator: indicator}] = f.policy.Objective
}

// observe takes the objectives' counters into the burn windows.
func (m *meter) observe(now time.Time) {
	totals := make(map[burn.Series]burn.Counts)
	collected := make(chan prometheus.Metric)
	go func() {
		m.objectives.Collect(collected)
		close(collected)
	}()
	for metric := range collected {
		var written dto.Metric
		if err := metric.Write(&written); err == nil {
			addCounter(totals, &written)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for series, counts := range totals {
		m.burn.Observe(now, series, m.targets[series], counts)
	}
}

func addCounter(totals map[burn.Series]burn.Counts, written *dto.Metric) {
	labels := make(map[string]string)
	for _, pair := range written.GetLabel() {
		labels[pair.GetName()] = pair.GetValue()
	}
	series := burn.Series{
		Workspace: labels[labelWorkspace], Service: labels[labelService], Indicator: burn.Indicator(labels[labelIndicator]),
	}
	counts := totals[series]
	value := uint64(written.GetCounter().GetValue())
	if labels[labelResult] == resultGood {
		counts.Good = value
	} else {
		counts.Poor = value
	}
	totals[series] = counts
}

func (m *meter) rates(now time.Time) []burn.Rate {
	m.observe(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.burn.Rates(now)
}
