package revision

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/host"
)

// HostList is the platform's document of hosts.
type HostList struct{ Hosts []host.Record }

// EndpointList is the platform's document of endpoints.
type EndpointList struct{ Endpoints []engine.Record }

// ParseHosts reads the document of hosts.
func ParseHosts(value []byte) (HostList, error) {
	return parseList[HostList](value, "hosts")
}

// ParseEndpoints reads the document of endpoints.
func ParseEndpoints(value []byte) (EndpointList, error) {
	return parseList[EndpointList](value, "endpoints")
}

func parseList[T any](value []byte, name string) (T, error) {
	var list T
	if err := json.Unmarshal(value, &list); err != nil {
		return list, eris.Wrapf(err, "parse %s list", name)
	}
	return list, nil
}
