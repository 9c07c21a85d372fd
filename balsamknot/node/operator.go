package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"balsamknot.org/balsamknot/report"
	"balsamknot.org/fleet/burn"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/keeper"
	"balsamknot.org/fleet/object"
	"balsamknot.org/fleet/revision"
)

// Status is the state of one node and its view of the fleet, as JSON at /status.
type Status struct {
	Host     host.ID
	Ready    bool
	Draining bool
	InFlight int64
	// Revision is the number of the set in force on this node.
	Revision revision.Number
	// Refused is the highest published set that failed validation, 0 if the set in force is newer.
	Refused       revision.Number
	RefusedReason string `json:",omitempty"`
	PlatformReads int64
	Hosts         []HostStatus
	Endpoints     []keeper.EngineLoad
}

// HostStatus is the state of one host in this node's view.
type HostStatus struct {
	Host       host.ID
	DataCentre host.DataCentre
	State      string
	// Revision is the number of the set in force on that host, from its last message; 0 if none was received.
	Revision revision.Number
}

// Verdict is the result of checking a submitted set, as JSON at /submit. Accepted is true if the set itself has no errors; Faults
// also holds warnings, among them those about the change from the set in force.
type Verdict struct {
	Accepted    bool
	Faults      object.Faults
	Differences []object.Difference
	// InForce is the revision of the set in force, with which the submitted one was compared.
	InForce revision.Number
}

// operatorHandler serves the requests of operators.
func (n *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", n.readyz)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("fresh") != "" {
			n.exchangeWithPeers(r.Context())
		}
		writeJSON(w, n.Status())
	})
	mux.HandleFunc("POST /submit", n.serveSubmit)
	mux.HandleFunc("GET /burn", n.serveBurn)
	return mux
}

// exchangeWithPeers exchanges messages with up to maxBroadcastPeers peers, so that the status has their current revisions.
func (n *Node) exchangeWithPeers(ctx context.Context) {
	var wg sync.WaitGroup
	peers := n.members.peerIDs()
	for _, id := range peers[:min(maxBroadcastPeers, len(peers))] {
		wg.Go(func() { n.members.exchange(ctx, id) })
	}
	wg.Wait()
}

// Status returns the current state of the node and its view of the fleet. It makes no calls to peers.
func (n *Node) Status() Status {
	status := Status{
		Host: n.self.ID, Ready: n.ready.Load(), Draining: n.draining.Load(), InFlight: n.inFlight.Load(),
		Revision: n.documents.currentRevision(revision.DocumentSet), PlatformReads: n.documents.platformReads.Load(),
		Endpoints: n.keeper.engineLoads(),
	}
	if refused, ok := n.documents.lastRejectedSet(); ok {
		status.Refused = refused.Number
		status.RefusedReason = refused.Reason.Error()
	}
	status.Hosts = append(status.Hosts, HostStatus{n.self.ID, n.self.DataCentre, n.members.state(n.self.ID), status.Revision})
	for _, id := range n.members.peerIDs() {
		record, _ := n.members.record(id)
		status.Hosts = append(status.Hosts, HostStatus{id, record.DataCentre, n.members.state(id), n.members.peerRevision(id)})
	}
	return status
}

// serveSubmit checks a set as nodes check a published one and compares it with the set in force. It publishes nothing.
func (n *Node) serveSubmit(w http.ResponseWriter, r *http.Request) {
	const maxSetBytes = 1<<20 + 1
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSetBytes))
	if err != nil {
		http.Error(w, "the set is larger than a megabyte", http.StatusRequestEntityTooLarge)
		return
	}
	current := n.documents.snapshot()
	objects, faults := object.Check(value)
	verdict := Verdict{Accepted: !faults.HasErrors(), Faults: faults, InForce: current.setRevision}
	if objects != nil {
		verdict.Differences = object.Diff(current.objects, objects)
		verdict.Faults = append(verdict.Faults, object.CheckChange(current.objects, objects)...)
	}
	writeJSON(w, verdict)
}

func (n *Node) serveBurn(w http.ResponseWriter, r *http.Request) {
	rates := n.meter.rates(n.timers.Now())
	if r.URL.Query().Get("format") == "html" {
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		_ = report.HTML(w, string(n.self.ID), rates)
		return
	}
	if rates == nil {
		rates = []burn.Rate{}
	}
	writeJSON(w, rates)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
