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

// Status is one node's account of itself and of the fleet as it sees it.
type Status struct {
	Host     host.ID
	Ready    bool
	Draining bool
	InFlight int64
	// Revision is the number of the set in force here.
	Revision revision.Number
	// Refused is the last published set that was turned down, 0 when the newest is in force.
	Refused       revision.Number
	RefusedReason string `json:",omitempty"`
	PlatformReads int64
	Hosts         []HostStatus
	Endpoints     []keeper.EngineLoad
}

// HostStatus is one host as this node sees it.
type HostStatus struct {
	Host       host.ID
	DataCentre host.DataCentre
	State      string
	// Revision is the set in force there, when last heard.
	Revision revision.Number
}

// Verdict is the answer to a set submitted for checking.
type Verdict struct {
	Accepted    bool
	Faults      object.Faults
	Differences []object.Difference
	// InForce is the revision that the differences are against.
	InForce revision.Number
}

// operatorHandler serves operators.
func (n *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", n.readyz)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("fresh") != "" {
			n.askAll(r.Context())
		}
		writeJSON(w, n.Status())
	})
	mux.HandleFunc("POST /submit", n.serveSubmit)
	mux.HandleFunc("GET /burn", n.serveBurn)
	return mux
}

// askAll exchanges with up to mostTold peers, so that their revisions are fresh.
func (n *Node) askAll(ctx context.Context) {
	var wg sync.WaitGroup
	peers := n.members.peerIDs()
	for _, id := range peers[:min(mostTold, len(peers))] {
		wg.Go(func() { n.members.exchange(ctx, id) })
	}
	wg.Wait()
}

// Status returns the node's account.
func (n *Node) Status() Status {
	status := Status{
		Host: n.self.ID, Ready: n.ready.Load(), Draining: n.draining.Load(), InFlight: n.flying.Load(),
		Revision: n.documents.currentRevision(revision.DocumentSet), PlatformReads: n.documents.platformReads.Load(),
		Endpoints: n.keeping.engines(),
	}
	if refused, ok := n.documents.lastRejectedSet(); ok {
		status.Refused = refused.Number
		status.RefusedReason = refused.Reason.Error()
	}
	status.Hosts = append(status.Hosts, HostStatus{n.self.ID, n.self.DataCentre, n.members.state(n.self.ID), status.Revision})
	for _, id := range n.members.peerIDs() {
		record, _ := n.members.record(id)
		status.Hosts = append(status.Hosts, HostStatus{id, record.DataCentre, n.members.state(id), n.members.mark(id)})
	}
	return status
}

// serveSubmit gives the verdict on a set as the fleet would, and publishes nothing.
func (n *Node) serveSubmit(w http.ResponseWriter, r *http.Request) {
	const most = 1<<20 + 1
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
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
