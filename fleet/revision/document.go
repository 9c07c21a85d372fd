package revision

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/host"
)

// HostList is the content of the document DocumentHosts, as JSON.
type HostList struct{ Hosts []host.Record }

// EndpointList is the content of the document DocumentEndpoints, as JSON.
type EndpointList struct{ Endpoints []engine.Record }

// ParseHosts decodes the JSON of the document DocumentHosts.
func ParseHosts(value []byte) (HostList, error) {
	return parseList[HostList](value, "hosts")
}

// ParseEndpoints decodes the JSON of the document DocumentEndpoints.
func ParseEndpoints(value []byte) (EndpointList, error) {
	return parseList[EndpointList](value, "endpoints")
}

func parseList[T any](value []byte, name string) (T, error) {
	var list T
	if err := json.Unmarshal(value, &list); err != nil {
		return list, eris.Wrapf(err, "decode list of %s", name)
	}
	return list, nil
}
