package node

import (
	"context"
	"encoding/json"
	"maps"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/fingerprint"
	"balsamknot.org/fleet/gossip"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/keeper"
	"balsamknot.org/fleet/placement"
	"balsamknot.org/fleet/wire"
)

const (
	probeInterval = time.Second
	probeTimeout  = 900 * time.Millisecond
	// downAfter is how many probes in a row must fail before an endpoint gets no new work.
	downAfter = 2
	// downLifetime is how long a report of an endpoint that is down counts.
	downLifetime = 2 * time.Second
)

// keeping is the controller of the endpoints that this node keeps.
type keeping struct {
	n *Node

	mu      sync.Mutex
	machine *keeper.Keeper
	next    keeper.Ticket
	waiting map[keeper.Ticket]chan keeper.Command
	kept    map[engine.ID]*kept
	pooled  *http.Client
	fresh   *http.Client
	// reports holds the last load that the least-loaded baseline read of each endpoint.
	reports map[engine.ID]int
}

// kept is what the node holds of an endpoint beside the decisions.
type kept struct {
	record      engine.Record
	cancelProbe func()
	failures    int
	// events is the number of the last cache event read.
	events uint64
	// running counts the tries on the endpoint by fingerprint, and lostAt is when it was last lost.
	running map[fingerprint.Print]int
	lostAt  time.Time
}

func newKeeping(n *Node) *keeping {
	return &keeping{
		n: n, machine: keeper.New(), waiting: make(map[keeper.Ticket]chan keeper.Command), kept: make(map[engine.ID]*kept),
		reports: make(map[engine.ID]int),
		pooled:  &http.Client{Transport: endpointTransport(false)},
		fresh:   &http.Client{Transport: endpointTransport(true)},
	}
}

// endpointIdle bounds how long an unused connection is trusted.
const (
	endpointIdle        = 10 * time.Second
	endpointConnections = 256
)

// endpointTransport connects to endpoints. A fresh one uses each connection once: it never meets one that has
// gone silent, and net/http sends nothing twice on it.
func endpointTransport(fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:           countingDial(nil),
		DisableKeepAlives:     fresh,
		DisableCompression:    true,
		MaxIdleConnsPerHost:   endpointConnections,
		IdleConnTimeout:       endpointIdle,
		ExpectContinueTimeout: time.Second,
	}
}

// update applies one event and hands the commands that follow to whoever waits for them.
func (k *keeping) update(e keeper.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dispatch(k.machine.Update(k.n.timers.Now(), e))
}

func (k *keeping) dispatch(commands []keeper.Command) {
	for _, command := range commands {
		ticket := ticketOf(command)
		if waiter := k.waiting[ticket]; waiter != nil {
			delete(k.waiting, ticket)
			waiter <- command
		}
	}
}

func ticketOf(command keeper.Command) keeper.Ticket {
	switch c := command.(type) {
	case keeper.Admit:
		return c.Ticket
	case keeper.Redirect:
		return c.Ticket
	case keeper.Refuse:
		return c.Ticket
	}
	return 0
}

// arrive asks for a place and waits for the decision.
func (k *keeping) arrive(ctx context.Context, e keeper.RequestArrived) (keeper.Ticket, keeper.Command) {
	decided := make(chan keeper.Command, 1)
	k.mu.Lock()
	k.next++
	e.Ticket = k.next
	k.waiting[e.Ticket] = decided
	k.dispatch(k.machine.Update(k.n.timers.Now(), e))
	k.mu.Unlock()
	select {
	case command := <-decided:
		return e.Ticket, command
	case <-ctx.Done():
		k.mu.Lock()
		delete(k.waiting, e.Ticket)
		k.dispatch(k.machine.Update(k.n.timers.Now(), keeper.RequestAbandoned{Ticket: e.Ticket}))
		k.mu.Unlock()
		return e.Ticket, keeper.Redirect{Ticket: e.Ticket, Reason: keeper.OverBound}
	}
}

func (k *keeping) tick(time.Time) { k.update(keeper.Ticked{}) }

// keeperOf returns the host that keeps an endpoint by this node's view; alternate gives the second in line.
func (k *keeping) keeperOf(id engine.ID, region host.Region, alternate bool) (host.ID, bool) {
	const choices = 2
	ranked := placement.Rank("keep/"+string(id), k.n.members.live(region), choices)
	if len(ranked) == 0 {
		ranked = placement.Rank("keep/"+string(id), k.n.members.live(""), choices)
	}
	switch {
	case len(ranked) == 0:
		return "", false
	case alternate && len(ranked) > 1:
		return ranked[1], true
	}
	return ranked[0], true
}

// reassign takes up and hands over endpoints after the view, the list or the set changed.
func (k *keeping) reassign() {
	current := k.n.documents.inForce()
	mine := make(map[engine.ID]engine.Record)
	for id, record := range current.endpoints {
		if owner, ok := k.keeperOf(id, record.Region, false); ok && owner == k.n.self.ID {
			mine[id] = record
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.n.timers.Now()
	for pool := range current.objects.EnginePools {
		cfg := current.objects.PoolConfig(pool)
		k.n.baseline(&cfg)
		k.dispatch(k.machine.Update(now, keeper.PoolConfigured{Pool: pool, Config: cfg}))
	}
	for id := range k.kept {
		if _, ok := mine[id]; !ok {
			k.handOver(now, id)
		}
	}
	for id, record := range mine {
		k.takeUp(now, id, record)
	}
}

func (k *keeping) handOver(now time.Time, id engine.ID) {
	k.kept[id].cancelProbe()
	delete(k.kept, id)
	k.dispatch(k.machine.Update(now, keeper.EngineWithdrawn{Engine: id}))
	event.Log(k.n.log, zerolog.DebugLevel, event.KeeperWithdrawn).Str("Endpoint", string(id)).Msg(event.Text(event.KeeperWithdrawn))
}

func (k *keeping) takeUp(now time.Time, id engine.ID, record engine.Record) {
	e := k.kept[id]
	if e == nil {
		e = &kept{running: make(map[fingerprint.Print]int)}
		k.kept[id] = e
		e.cancelProbe = k.n.timers.Every(probeInterval, func(time.Time, time.Duration) { k.probe(id) })
		k.n.work.Go(func() { k.probe(id) })
		event.Log(k.n.log, zerolog.DebugLevel, event.KeeperAssigned).Str("Endpoint", string(id)).Msg(event.Text(event.KeeperAssigned))
	}
	e.record = record
	k.dispatch(k.machine.Update(now, keeper.EngineAssigned{Engine: id, Pool: record.Pool}))
	leaving := record.Leaving || e.failures >= downAfter
	k.dispatch(k.machine.Update(now, keeper.EngineLeaving{Engine: id, Leaving: leaving}))
}

// loadReport is an endpoint's answer to a probe.
type loadReport struct {
	Running, Capacity int
	AgeMs             int64
	Leaving           bool
	Seq               uint64
	Events            []struct {
		Seq  uint64
		Kind string
		Chat string
	}
}

// probe asks an endpoint for its load and cache events.
func (k *keeping) probe(id engine.ID) {
	k.mu.Lock()
	e := k.kept[id]
	if e == nil {
		k.mu.Unlock()
		return
	}
	address, after := e.record.Address, e.events
	k.mu.Unlock()
	report, err := k.askLoad(address, after)
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.n.timers.Now()
	if err != nil {
		e.failures++
		if e.failures == downAfter {
			k.dispatch(k.machine.Update(now, keeper.EngineLeaving{Engine: id, Leaving: true}))
		}
		return
	}
	if e.failures >= downAfter {
		k.dispatch(k.machine.Update(now, keeper.EngineLeaving{Engine: id, Leaving: e.record.Leaving}))
	}
	e.failures = 0
	e.events = report.Seq
	for _, ev := range report.Events {
		k.dispatch(k.machine.Update(now, keeper.CacheEvicted{Engine: id, Chat: chat.ID(ev.Chat)}))
	}
	k.dispatch(k.machine.Update(now, keeper.LoadReported{Engine: id, Report: engine.Report{
		Running: report.Running, Capacity: report.Capacity, Leaving: report.Leaving,
		Age: time.Duration(report.AgeMs) * time.Millisecond,
	}}))
}

func (k *keeping) askLoad(address string, after uint64) (loadReport, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	target := url.URL{
		Scheme: "http", Host: address, Path: "/v1/load",
		RawQuery: "events_after=" + strconv.FormatUint(after, 10),
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return loadReport{}, err
	}
	response, err := k.pooled.Do(r)
	if err != nil {
		return loadReport{}, err
	}
	defer response.Body.Close()
	var report loadReport
	counted := &countingReader{r: response.Body}
	err = json.NewDecoder(counted).Decode(&report)
	k.n.meter.countControl(probeOverhead + counted.n)
	return report, err
}

// probeOverhead is what a probe's request line and the headers of both sides take, in bytes.
const probeOverhead = 260

// exchangeLoads tells the other keepers the loads of this node's endpoints, and takes in theirs.
func (k *keeping) exchangeLoads(now time.Time) {
	k.mu.Lock()
	loads := k.machine.Loads(now)
	k.mu.Unlock()
	for _, load := range loads {
		if told, ok := k.n.members.row(now, k.n.self.ID, loadKey+string(load.Engine)); ok && !worthTelling(now, told, load.Load) {
			continue
		}
		k.n.members.tell(gossip.Row{
			Origin: k.n.self.ID, Key: loadKey + string(load.Engine), Version: uint64(now.UnixMilli()), At: now, A: int64(load.Load * loadScale),
		})
	}
	k.tellDown(now)
	current := k.n.documents.inForce()
	for _, row := range k.n.members.rows(now, loadKey) {
		id := engine.ID(strings.TrimPrefix(row.Key, loadKey))
		if record, ok := current.endpoints[id]; ok && row.Origin != k.n.self.ID {
			k.update(keeper.LoadHeard{Engine: id, Pool: record.Pool, Load: float64(row.A) / loadScale, At: row.At})
		}
	}
	down := k.down(now)
	for pool, ids := range current.pools {
		k.update(keeper.PoolSized{Pool: pool, Engines: working(current, ids, down)})
	}
}

const (
	// loadChange is the share by which a load must change to be told before loadRefresh.
	loadChange  = 0.2
	loadRefresh = 2 * time.Second
	// loadScale is the unit of a load in gossip, as parts of a request.
	loadScale = 100
)

// worthTelling reports whether a load differs enough from what the peers were told.
func worthTelling(now time.Time, told gossip.Row, load float64) bool {
	before := float64(told.A) / loadScale
	return math.Abs(load-before) > loadChange*before || now.Sub(told.At) > loadRefresh
}

// tellDown tells the entries which endpoints answer no probe, so that they are left out at once.
func (k *keeping) tellDown(now time.Time) {
	k.mu.Lock()
	var down []engine.ID
	for id, e := range k.kept {
		if e.failures >= downAfter {
			down = append(down, id)
		}
	}
	k.mu.Unlock()
	for _, id := range down {
		k.n.members.tell(gossip.Row{Origin: k.n.self.ID, Key: downKey + string(id), Version: uint64(now.UnixMilli()), At: now})
	}
}

// down returns the endpoints that a keeper lately told to be down.
func (k *keeping) down(now time.Time) map[engine.ID]bool {
	down := make(map[engine.ID]bool)
	for _, row := range k.n.members.rows(now, downKey) {
		if now.Sub(row.At) < downLifetime {
			down[engine.ID(strings.TrimPrefix(row.Key, downKey))] = true
		}
	}
	return down
}

// working counts the endpoints that take new work.
func working(current *inForce, ids []engine.ID, down map[engine.ID]bool) int {
	n := 0
	for _, id := range ids {
		if !current.endpoints[id].Leaving && !down[id] {
			n++
		}
	}
	return n
}

// begin notes a try on an endpoint; the function returned ends it.
func (k *keeping) begin(id engine.ID, p fingerprint.Print) func() {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.kept[id]
	if e == nil {
		return func() {}
	}
	e.running[p]++
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if e.running[p]--; e.running[p] <= 0 {
			delete(e.running, p)
		}
	}
}

// endpointLost suspects everything that ran on an endpoint, once a loss.
func (k *keeping) endpointLost(id engine.ID, tryBegan time.Time) {
	now := k.n.timers.Now()
	k.mu.Lock()
	e := k.kept[id]
	if e == nil || e.lostAt.After(tryBegan) {
		k.mu.Unlock()
		return
	}
	e.lostAt = now
	e.failures = downAfter
	prints := slices.Sorted(maps.Keys(e.running))
	k.mu.Unlock()
	event.Log(k.n.log, zerolog.WarnLevel, event.EndpointLost).Str("Endpoint", string(id)).Int("Running", len(prints)).Msg(event.Text(event.EndpointLost))
	// Suspicion comes before the queue is sent on: what leaves here carries it along.
	k.n.suspects.lost(now, id, prints)
	k.update(keeper.EngineLeaving{Engine: id, Leaving: true})
	k.n.suspects.spread()
}

// average returns a kept endpoint's load over about a second.
func (k *keeping) average(id engine.ID) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Average(k.n.timers.Now(), id)
}

func (k *keeping) engines() []keeper.EngineLoad {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Engines(k.n.timers.Now())
}

func (k *keeping) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range k.kept {
		e.cancelProbe()
	}
	k.pooled.CloseIdleConnections()
}

func (k *keeping) lastReport(id engine.ID) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reports[id]
}

func (k *keeping) noteReport(id engine.ID, running int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reports[id] = running
}

// hearLoads takes in what travelled with a request: the loads of the engines that declined it just before.
func (k *keeping) hearLoads(loads []*wire.EngineLoad) {
	current := k.n.documents.inForce()
	for _, load := range loads {
		if record, ok := current.endpoints[engine.ID(load.GetEngine())]; ok {
			k.update(keeper.LoadMet{Engine: record.ID, Pool: record.Pool, Load: float64(load.GetLoad())})
		}
	}
}
