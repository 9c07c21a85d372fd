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

// ReadControlBytes reads how many bytes of control traffic a node has counted.
func ReadControlBytes(ctx context.Context, address string) (float64, error) {
	response, err := get(ctx, "http://"+address+"/metrics")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return 0, err
	}
	family := families["balsamknot_control_bytes_total"]
	if family == nil || len(family.GetMetric()) == 0 {
		return 0, ErrNoMetric
	}
	return family.GetMetric()[0].GetCounter().GetValue(), nil
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
