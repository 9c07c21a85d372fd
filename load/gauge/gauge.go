// Package gauge reads the counters of a running site over HTTP: the statistics of simulated engines, the endpoints that the
// platform lists, and the control traffic of nodes. Addresses are host:port. Every read fails after 2 s.
package gauge

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

const readTimeout = 2 * time.Second

// EngineStats holds the counters of a simulated engine, a subset of modelengine.Stats. Requests, PromptTokens and
// CachedTokens are totals since it was created; Running is the number of requests in it now, queued ones included.
type EngineStats struct {
	Requests, PromptTokens, CachedTokens, Running int64
}

// ReadEngineStats reads the counters of the engine at address.
func ReadEngineStats(ctx context.Context, address string) (EngineStats, error) {
	var e EngineStats
	response, err := get(ctx, "http://"+address+"/v1/stats")
	if err != nil {
		return e, err
	}
	defer response.Body.Close()
	return e, json.NewDecoder(response.Body).Decode(&e)
}

// ReadEndpointAddresses returns the addresses of the endpoints (engines and runners) that the platform at address lists now.
func ReadEndpointAddresses(ctx context.Context, address string) ([]string, error) {
	response, err := get(ctx, "http://"+address+"/v1/documents/endpoints")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var list struct{ Endpoints []struct{ Address string } }
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return nil, err
	}
	var addresses []string
	for _, e := range list.Endpoints {
		addresses = append(addresses, e.Address)
	}
	return addresses, nil
}

// ErrMetricMissing is returned by ReadControlTraffic if a node's metrics lack one of the two counters.
var ErrMetricMissing = errors.New("metrics lack balsamknot_control_bytes_total or balsamknot_read_bytes_total")

// ControlTraffic holds the bytes of control traffic that a node has counted since its start, in both directions.
type ControlTraffic struct {
	// PeerBytes is the traffic on control connections that the node dialled to its peers. Each node counts only those, so the
	// traffic on connections that peers dialled to it, on average as much, is in the peers' counters.
	PeerBytes float64
	// ReadBytes is the traffic of probes of endpoints and of reads of the platform.
	ReadBytes float64
}

// TotalBytes estimates all control traffic of a node: PeerBytes twice, for the connections that it dialled and for those that
// its peers dialled to it, and ReadBytes.
func (c ControlTraffic) TotalBytes() float64 {
	const connectionEnds = 2
	return connectionEnds*c.PeerBytes + c.ReadBytes
}

// ReadControlTraffic reads the counters from the metrics page of a node.
func ReadControlTraffic(ctx context.Context, address string) (ControlTraffic, error) {
	response, err := get(ctx, "http://"+address+"/metrics")
	if err != nil {
		return ControlTraffic{}, err
	}
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return ControlTraffic{}, err
	}
	peers, reads := families["balsamknot_control_bytes_total"], families["balsamknot_read_bytes_total"]
	if len(peers.GetMetric()) == 0 || len(reads.GetMetric()) == 0 {
		return ControlTraffic{}, ErrMetricMissing
	}
	return ControlTraffic{PeerBytes: peers.GetMetric()[0].GetCounter().GetValue(), ReadBytes: reads.GetMetric()[0].GetCounter().GetValue()}, nil
}

func get(ctx context.Context, target string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		cancel()
		return nil, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		cancel()
		return nil, err
	}
	response.Body = &cancelBody{response.Body, cancel}
	return response, nil
}
