package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/keeper"
)

// loadReport is an endpoint's reply to a probe. Seq is the sequence number of its latest cache event; Events lists the evictions
// after the requested number.
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

// probe reads the load and the cache evictions of a kept endpoint. After downThreshold failures in a row the endpoint gets no
// new requests until a probe succeeds.
func (k *keeperController) probe(id engine.ID) {
	k.mu.Lock()
	e := k.endpoints[id]
	if e == nil {
		k.mu.Unlock()
		return
	}
	address, after := e.record.Address, e.lastCacheEvent
	k.mu.Unlock()
	report, err := k.fetchLoad(address, after)
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.n.timers.Now()
	if err != nil {
		e.probeFailures++
		if e.probeFailures == downThreshold {
			k.dispatch(k.admission.Update(now, keeper.EngineLeaving{Engine: id, Leaving: true}))
		}
		return
	}
	if e.probeFailures >= downThreshold {
		k.dispatch(k.admission.Update(now, keeper.EngineLeaving{Engine: id, Leaving: e.record.Leaving}))
	}
	e.probeFailures = 0
	e.lastCacheEvent = report.Seq
	for _, ev := range report.Events {
		k.dispatch(k.admission.Update(now, keeper.CacheEvicted{Engine: id, Chat: chat.ID(ev.Chat)}))
	}
	k.dispatch(k.admission.Update(now, keeper.LoadReported{Engine: id, Report: engine.Report{
		Running: report.Running, Capacity: report.Capacity, Leaving: report.Leaving,
		Age: time.Duration(report.AgeMs) * time.Millisecond,
	}}))
}

// fetchLoad reads an endpoint's load, and its cache events after the given sequence number.
func (k *keeperController) fetchLoad(address string, after uint64) (loadReport, error) {
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
	response, err := k.pooledClient.Do(r)
	if err != nil {
		return loadReport{}, err
	}
	defer response.Body.Close()
	var report loadReport
	counted := &countingReader{r: response.Body}
	err = json.NewDecoder(io.LimitReader(counted, maxLoadReportBytes)).Decode(&report)
	k.n.meter.countRead(probeOverheadBytes + counted.n)
	return report, err
}

// maxLoadReportBytes limits the size of an endpoint's load report with its cache events.
const maxLoadReportBytes = 1 << 20

// probeOverheadBytes is the size of a probe's request line and of the headers of request and reply.
const probeOverheadBytes = 260
