package pool

const (
	// readCost is the cost of a millisecond in which an engine reads parts that another one has cached, and readDelayCost what it costs in addition
	// for each request that runs there, whose answer it delays.
	readCost      = 2.0
	readDelayCost = 0.3
)

// engineCost returns the cost of a request at an engine that lacks missingTokens of the prompt's shared parts, in milliseconds.
type engineCost func(sc *scan, st *endpointState, missingTokens int) float64

// placing is how the engines of a service are compared.
type placing struct {
	cost engineCost
	// awaits is true if a request may wait for the engine that caches its prefix.
	awaits bool
}

// expectedCost is the time until the first event that a request is expected to wait at an engine more than at an idle one of usual pace, and what
// it costs the others that run there; with failures, the position in the rendezvous order, and the way to another data centre. An engine with a
// limit or that is cold counts as no less loaded than the others, whose mean load is unlimited: that it has little to do is no capacity.
func expectedCost(sc *scan, st *endpointState, missingTokens int) float64 {
	pace := st.slowdown.factor(sc.now)
	avoidable := max(missingTokens-sc.leastMissingTokens, 0)
	again := float64(avoidable) * (readCost + readDelayCost*float64(st.running))
	readMs := (float64(missingTokens-avoidable) + again) / sc.speeds.tokensPerMs * pace
	slowMs := (pace - 1) * (float64(sc.own.readTokens)/sc.speeds.tokensPerMs + sc.speeds.eventMs)
	own := st.load(sc.now)
	cost := readMs + slowMs + st.work.readMs(sc.now) + engineFailureCost*st.failureRisk(sc.request) + rendezvousCost*st.rendezvousRank(sc.rendezvousKey)
	if st.record.DataCentre != sc.request.DataCentre {
		cost += remoteEngineCost
	}
	if st.limiter.idle(sc.now) {
		own = load{running: max(own.running, sc.unlimited.running), recent: max(own.recent, sc.unlimited.recent)}
	}
	if st.limiter.avoided(sc.now) {
		cost += limitedEngineCost
	}
	return cost + pace*(runningCost*own.running+recentLoadCost*own.recent)
}
