package node

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/keeper"
)

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
	k.n.meter.countRead(probeOverhead + counted.n)
	return report, err
}

// probeOverhead is what a probe's request line and the headers of both sides take, in bytes.
const probeOverhead = 260
