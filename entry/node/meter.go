package node

import (
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"balsamknot.org/entry/connection"
	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/catalogue"
	"balsamknot.org/fleet/completion"
	"balsamknot.org/fleet/memory"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/timer"
)

// outcome is how a request ended, as in the label outcome of entry_requests_total.
type outcome string

// Outcomes of requests.
const (
	outcomeDone         outcome = "done"
	outcomeFailed       outcome = "failed"
	outcomeRefused      outcome = "refused"
	outcomeAborted      outcome = "cut"
	outcomeDisconnected outcome = "left"
)

func outcomeOfAnswer(status int) outcome {
	if status >= http.StatusInternalServerError {
		return outcomeFailed
	}
	return outcomeDone
}

// Names of series without the label service.
const (
	storeReadsDone     = `entry_store_reads_total{result="done"}`
	storeReadsFailed   = `entry_store_reads_total{result="failed"}`
	datagramsSent      = "entry_datagrams_sent_total"
	datagramBytes      = "entry_datagram_bytes_sent_total"
	interruptedRuns    = "entry_interrupted_runs_total"
	crashesObserved    = `entry_crashes_total{source="observed"}`
	crashesReceived    = `entry_crashes_total{source="received"}`
	blockedRequests    = "entry_blocked_requests_total"
	blockedByParts     = "entry_requests_blocked_by_parts_total"
	tunnelsOpened      = "entry_tunnels_opened_total"
	storeReturns       = "entry_store_returns_total"
	droppedReads       = "entry_store_reads_dropped_total"
	misplacedRuns      = "entry_misplaced_runs_total"
	originConflicts    = "entry_origin_conflicts_total"
	streamOrigins      = "entry_stream_origins_total"
	unsignedAnswers    = "entry_unsigned_answers_total"
	evacuationRefusals = "entry_evacuation_refusals_total"
	homeRefusals       = "entry_home_refusals_total"
	deferredRemovals   = "entry_deferred_removals_total"
)

// meter holds the metrics of a node.
type meter struct {
	set *metrics.Set
}

func newMeter(n *Node) *meter {
	m := &meter{set: metrics.NewSet()}
	// Series without the label service are created at startup, so that a zero is exported as 0 and not left out.
	for _, name := range []string{storeReadsDone, storeReadsFailed, datagramsSent, datagramBytes, interruptedRuns, crashesObserved, crashesReceived, blockedRequests, blockedByParts, tunnelsOpened, storeReturns, droppedReads, misplacedRuns, originConflicts, unsignedAnswers, evacuationRefusals, homeRefusals, deferredRemovals} {
		m.set.NewCounter(name)
	}
	for _, evidence := range []originEvidence{recordedOrigin, onlyVersionSeen, cachedPart, noEvidence} {
		m.set.NewCounter(streamOrigins + `{evidence="` + string(evidence) + `"}`)
	}
	for _, evidence := range []catalogue.Evidence{catalogue.OwnReads, catalogue.Stated} {
		m.set.NewCounter(storeOutages(evidence))
	}
	for _, verdict := range []completion.Verdict{completion.Complete, completion.BrokenOff, completion.Unconfirmed} {
		m.set.NewCounter(unmarkedEnd(verdict))
	}
	for _, result := range connection.ReportResults {
		m.set.NewCounter(processReports(result))
	}
	for _, kind := range peer.Kinds {
		m.set.NewCounter(messageBytes(kind))
	}
	m.set.NewGauge("entry_requests_in_flight", func() float64 { return float64(n.callers.inFlight.Load()) })
	m.set.NewGauge("entry_belief_age_seconds", func() float64 { return n.storeView.age(timer.BootClock()).Seconds() })
	m.set.NewGauge("entry_set_version", func() float64 { return float64(n.storeView.setVersion()) })
	m.set.NewGauge("entry_store_era", func() float64 { return float64(n.storeView.position().Era) })
	m.set.NewGauge("entry_missing_endpoints", func() float64 { return float64(n.storeView.missingCount()) })
	m.set.NewGauge("entry_store_revision", func() float64 { return float64(n.storeView.position().Revision) })
	m.set.NewGauge("entry_hosts_live", func() float64 { return float64(n.membership.liveCount()) })
	m.set.NewGauge("entry_hosts_earlier_release", func() float64 { return float64(n.membership.earlierReleaseCount()) })
	m.set.NewGauge("entry_endpoint_connections_total", func() float64 { return float64(n.endpointConns.Dials()) })
	m.set.NewGauge("entry_memory_budget_bytes", func() float64 { return float64(n.memory.budget()) })
	m.set.NewGauge("entry_memory_peak_bytes", func() float64 { return float64(n.memory.peak()) })
	for _, kind := range memory.Kinds {
		label := `{kind="` + string(kind) + `"}`
		m.set.NewGauge("entry_memory_bytes"+label, func() float64 { return float64(n.memory.usedBy(kind)) })
		m.set.NewGauge("entry_memory_refusals_total"+label, func() float64 { return float64(n.memory.refusals(kind)) })
	}
	m.set.NewGauge("entry_limited_endpoints", func() float64 { return float64(n.slots.limitedCount()) })
	m.set.NewGauge("entry_evacuated_data_centres", func() float64 { return float64(len(n.slots.evacuated())) })
	m.set.NewGauge("entry_cold_endpoints", func() float64 { cold, _ := n.slots.coldCounts(); return float64(cold) })
	m.set.NewGauge("entry_paced_requests_total", func() float64 { _, paced := n.slots.coldCounts(); return float64(paced) })
	m.set.NewGauge("entry_relayed_endpoints", func() float64 { return float64(n.paths.goneCount()) })
	m.set.NewGauge("entry_tunnels", func() float64 { return float64(n.paths.tunnelCount()) })
	m.set.NewGauge("entry_places_held", func() float64 { running, _ := n.slots.counts(); return float64(running) })
	m.set.NewGauge("entry_places_waiting", func() float64 { _, waiting := n.slots.counts(); return float64(waiting) })
	return m
}

func (m *meter) write(w io.Writer) { m.set.WritePrometheus(w) }

// recordGrant records the time from a request's arrival to its slot, and how many tokens of shared prompt parts its endpoint does
// not cache.
func (m *meter) recordGrant(q *request, waited time.Duration, decision pool.Decision) {
	m.set.GetOrCreatePrometheusHistogram(`entry_place_seconds{service="` + labelValue(q.service) + `"}`).Update(waited.Seconds())
	m.set.GetOrCreateCounter(`entry_missing_tokens_total{service="` + labelValue(q.service) + `"}`).Add(decision.MissingTokens)
}

func (m *meter) recordRetry(q *request) {
	m.set.GetOrCreateCounter(`entry_repeats_total{service="` + labelValue(q.service) + `"}`).Inc()
}

// recordOutcome counts a request by outcome and, for complete answers, records the time to the first byte and to the end.
func (m *meter) recordOutcome(q *request, o outcome) {
	m.set.GetOrCreateCounter(`entry_requests_total{service="` + labelValue(q.service) + `",outcome="` + string(o) + `"}`).Inc()
	if o != outcomeDone {
		return
	}
	m.set.GetOrCreatePrometheusHistogram(`entry_first_byte_seconds{service="` + labelValue(q.service) + `"}`).Update(q.firstByteAt.Sub(q.start).Seconds())
	m.set.GetOrCreatePrometheusHistogram(`entry_answer_seconds{service="` + labelValue(q.service) + `"}`).Update(timer.BootClock().Sub(q.start).Seconds())
}

// recordStoreRead counts a read of the platform's store, by result.
func (m *meter) recordStoreRead(err error) {
	name := storeReadsDone
	if err != nil {
		name = storeReadsFailed
	}
	m.set.GetOrCreateCounter(name).Inc()
}

// recordStoreReturn counts a return of the platform's store from an older copy.
func (m *meter) recordStoreReturn() { m.set.GetOrCreateCounter(storeReturns).Inc() }

// storeOutages is the name of the series of outages by evidence.
func storeOutages(evidence catalogue.Evidence) string {
	return `entry_store_outages_total{evidence="` + string(evidence) + `"}`
}

// recordOutage counts an outage of the platform's store that has ended.
func (m *meter) recordOutage(evidence catalogue.Evidence) {
	m.set.GetOrCreateCounter(storeOutages(evidence)).Inc()
}

// recordDeferrals counts endpoints whose removal is deferred after an outage.
func (m *meter) recordDeferrals(n int) { m.set.GetOrCreateCounter(deferredRemovals).Add(n) }

// recordDroppedRead counts what was read in an earlier era of the store than that of this host's copy.
func (m *meter) recordDroppedRead() { m.set.GetOrCreateCounter(droppedReads).Inc() }

// recordMisplaced counts a run whose events did not go on from the position of its stream.
func (m *meter) recordMisplaced() { m.set.GetOrCreateCounter(misplacedRuns).Inc() }

// recordOriginConflict counts an origin of a stream that was not recorded, since another one is known.
func (m *meter) recordOriginConflict() { m.set.GetOrCreateCounter(originConflicts).Inc() }

// recordUnsigned counts a success of an endpoint that had no signature.
func (m *meter) recordUnsigned() { m.set.GetOrCreateCounter(unsignedAnswers).Inc() }

// recordOrigin counts a stream that a caller took up, by what its origin was taken from.
func (m *meter) recordOrigin(evidence originEvidence) {
	m.set.GetOrCreateCounter(streamOrigins + `{evidence="` + string(evidence) + `"}`).Inc()
}

// recordSlotRefusal counts a request that got no slot, since the operator evacuates the data centres of all endpoints that could take it, or since no
// endpoint of its service is in a region in which it may run.
func (m *meter) recordSlotRefusal(reason pool.Reason) {
	if reason == pool.Evacuated {
		m.set.GetOrCreateCounter(evacuationRefusals).Inc()
	}
	if reason == pool.OutsideHomes {
		m.set.GetOrCreateCounter(homeRefusals).Inc()
	}
}

// recordReport counts a report of an engine's process, by what was learnt from it.
func (m *meter) recordReport(result connection.ReportResult) {
	m.set.GetOrCreateCounter(processReports(result)).Inc()
}

func processReports(result connection.ReportResult) string {
	return `entry_process_reports_total{result="` + string(result) + `"}`
}

// recordUnmarkedEnd counts an answer that only the end of its connection ended, by what it was taken for.
func (m *meter) recordUnmarkedEnd(verdict completion.Verdict) {
	m.set.GetOrCreateCounter(unmarkedEnd(verdict)).Inc()
}

func unmarkedEnd(verdict completion.Verdict) string {
	return `entry_unmarked_ends_total{verdict="` + string(verdict) + `"}`
}

// recordInterruption counts a run whose answer was missing or incomplete.
func (m *meter) recordInterruption() { m.set.GetOrCreateCounter(interruptedRuns).Inc() }

// recordCrash counts a crash recorded for a fingerprint, by whether this host observed it or another one reported it.
func (m *meter) recordCrash(observedHere bool) {
	name := crashesReceived
	if observedHere {
		name = crashesObserved
	}
	m.set.GetOrCreateCounter(name).Inc()
}

// recordBlocked counts a request that was refused because its fingerprint is blocked, or that of a part of its prompt.
func (m *meter) recordBlocked(byPart bool) {
	m.set.GetOrCreateCounter(blockedRequests).Inc()
	if byPart {
		m.set.GetOrCreateCounter(blockedByParts).Inc()
	}
}

// recordTunnel counts a connection to an endpoint that this host opened through another one.
func (m *meter) recordTunnel() { m.set.GetOrCreateCounter(tunnelsOpened).Inc() }

// recordDatagram counts a datagram to another host and its size in bytes.
func (m *meter) recordDatagram(kind peer.Kind, bytes int) {
	m.set.GetOrCreateCounter(datagramsSent).Inc()
	m.set.GetOrCreateCounter(datagramBytes).Add(bytes)
	m.set.GetOrCreateCounter(messageBytes(kind)).Add(bytes)
}

// messageBytes returns the name of the series that counts the bytes of a kind of datagrams.
func messageBytes(kind peer.Kind) string {
	return `entry_message_bytes_sent_total{kind="` + string(kind) + `"}`
}

// labelValue returns a service's name without the characters that are not allowed in a label value: quotes, backslashes and
// control characters. It is empty for requests whose service is not known.
func labelValue(name site.ServiceName) string {
	clean := make([]byte, 0, len(name))
	for i := range len(name) {
		if c := name[i]; c != '"' && c != '\\' && c >= ' ' {
			clean = append(clean, c)
		}
	}
	return string(clean)
}
