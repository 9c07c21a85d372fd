package kit

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// WarmingEndpoints is how many endpoints ScaleOut adds, and Heartbeat how often each of them writes its registration.
	WarmingEndpoints = 12
	Heartbeat        = 1200 * time.Millisecond
	// coldTime is how long they are slow after their start.
	coldTime = 12 * time.Second
)

// ScaleOut adds endpoints to a service, in the given round. They start one after the other within a heartbeat, and write with each heartbeat
// for how long they will still be slow.
func ScaleOut(store *Store, service string, round int) {
	for i := range WarmingEndpoints {
		e := &Endpoint{
			ID: fmt.Sprintf("i-app-%d-%d", round, i+1), Service: service, Zone: "zone-gent", Version: "v1", Slots: 6, Cold: coldTime,
			Serve: func(_ *Endpoint, w http.ResponseWriter, _ *http.Request, _ Body) { _, _ = fmt.Fprint(w, "ok") },
		}
		go func() {
			time.Sleep(time.Duration(i) * Heartbeat / WarmingEndpoints)
			e.Start(store, fmt.Sprintf("%s.%d.%d", Network, 3+round, i+1))
			for e.Cold > 0 {
				time.Sleep(Heartbeat)
				e.Cold = max(e.Cold-Heartbeat, 0)
				e.Register("ready")
			}
		}()
	}
}
