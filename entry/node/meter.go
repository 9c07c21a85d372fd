package node

import (
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/timer"
)

// outcome is how a request ended, as its label says.
type outcome string

// Outcomes of requests.
const (
	outcomeDone    outcome = "done"
	outcomeFailed  outcome = "failed"
	outcomeRefused outcome = "refused"
	outcomeCut     outcome = "cut"
	outcomeLeft    outcome = "left"
)

func outcomeOf(status int) outcome {
	if status >= http.StatusInternalServerError {
		return outcomeFailed
	}
	return outcomeDone
}

// Series without a service.
const (
	storeReadsDone   = `entry_store_reads_total{result="done"}`
	storeReadsFailed = `entry_store_reads_total{result="failed"}`
	datagramsSent    = "entry_datagrams_sent_total"
	datagramBytes    = "entry_datagram_bytes_sent_total"
)

// meter counts what a node does.
type meter struct {
	set *metrics.Set
}

func newMeter(n *Node) *meter {
	m := &meter{set: metrics.NewSet()}
	// Series without a service exist from the start, so that a zero is a zero.
	for _, name := range []string{storeReadsDone, storeReadsFailed, datagramsSent, datagramBytes} {
		m.set.NewCounter(name)
	}
	m.set.NewGauge("entry_requests_in_flight", func() float64 { return float64(n.callers.flying.Load()) })
	m.set.NewGauge("entry_belief_age_seconds", func() float64 { return n.beliefs.age(timer.BootClock()).Seconds() })
	m.set.NewGauge("entry_set_version", func() float64 { return float64(n.beliefs.setVersion()) })
	m.set.NewGauge("entry_hosts_live", func() float64 { return float64(n.members.liveCount()) })
	m.set.NewGauge("entry_endpoint_connections_total", func() float64 { return float64(n.links.Dials()) })
	m.set.NewGauge("entry_places_held", func() float64 { running, _ := n.places.counts(); return float64(running) })
	m.set.NewGauge("entry_places_waiting", func() float64 { _, waiting := n.places.counts(); return float64(waiting) })
	return m
}

func (m *meter) write(w io.Writer) { m.set.WritePrometheus(w) }

// placed notes how long a request took to its place, and what its endpoint has to read again.
func (m *meter) placed(q *request, after time.Duration, why pool.Decision) {
	m.set.GetOrCreatePrometheusHistogram(`entry_place_seconds{service="` + label(q.service) + `"}`).Update(after.Seconds())
	m.set.GetOrCreateCounter(`entry_missing_tokens_total{service="` + label(q.service) + `"}`).Add(why.MissingTokens)
}

func (m *meter) retried(q *request) {
	m.set.GetOrCreateCounter(`entry_repeats_total{service="` + label(q.service) + `"}`).Inc()
}

// finished notes how a request ended and, of whole answers, how long they took.
func (m *meter) finished(q *request, o outcome) {
	m.set.GetOrCreateCounter(`entry_requests_total{service="` + label(q.service) + `",outcome="` + string(o) + `"}`).Inc()
	if o != outcomeDone {
		return
	}
	m.set.GetOrCreatePrometheusHistogram(`entry_first_byte_seconds{service="` + label(q.service) + `"}`).Update(q.first.Sub(q.start).Seconds())
	m.set.GetOrCreatePrometheusHistogram(`entry_answer_seconds{service="` + label(q.service) + `"}`).Update(timer.BootClock().Sub(q.start).Seconds())
}

// read counts a read of the platform.
func (m *meter) read(err error) {
	name := storeReadsDone
	if err != nil {
		name = storeReadsFailed
	}
	m.set.GetOrCreateCounter(name).Inc()
}

// datagram counts a datagram to another host.
func (m *meter) datagram(bytes int) {
	m.set.GetOrCreateCounter(datagramsSent).Inc()
	m.set.GetOrCreateCounter(datagramBytes).Add(bytes)
}

// label makes a service's name fit between quotes; an unknown service has none.
func label(name site.ServiceName) string {
	clean := make([]byte, 0, len(name))
	for i := range len(name) {
		if c := name[i]; c != '"' && c != '\\' && c >= ' ' {
			clean = append(clean, c)
		}
	}
	return string(clean)
}
