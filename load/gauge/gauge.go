// Package gauge reads the counters of a site: the engines' own, and the nodes' control bytes.
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

// Engine is an engine's counters.
type Engine struct {
	Requests, PromptTokens, CachedTokens, Running int64
}

// ReadEngine reads an engine's counters.
func ReadEngine(ctx context.Context, address string) (Engine, error) {
	var e Engine
	response, err := get(ctx, "http://"+address+"/v1/stats")
	if err != nil {
		return e, err
	}
	defer response.Body.Close()
	return e, json.NewDecoder(response.Body).Decode(&e)
}

// ReadEndpoints reads the addresses of the endpoints that the platform lists.
func ReadEndpoints(ctx context.Context, address string) ([]string, error) {
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

// ErrNoMetric says that a node does not show a metric.
var ErrNoMetric = errors.New("no such metric")

// Control is what a node has counted of control traffic, in bytes.
type Control struct {
	// Peers counts the connections that the node dialled to its peers; what others dialled to it comes to as much on average.
	Peers float64
	// Reads counts probes and reads of the platform.
	Reads float64
}

// Total is a node's share, both directions and both ends.
func (c Control) Total() float64 {
	const ends = 2
	return ends*c.Peers + c.Reads
}

// ReadControl reads a node's counters.
func ReadControl(ctx context.Context, address string) (Control, error) {
	response, err := get(ctx, "http://"+address+"/metrics")
	if err != nil {
		return Control{}, err
	}
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return Control{}, err
	}
	peers, reads := families["balsamknot_control_bytes_total"], families["balsamknot_read_bytes_total"]
	if len(peers.GetMetric()) == 0 || len(reads.GetMetric()) == 0 {
		return Control{}, ErrNoMetric
	}
	return Control{Peers: peers.GetMetric()[0].GetCounter().GetValue(), Reads: reads.GetMetric()[0].GetCounter().GetValue()}, nil
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
