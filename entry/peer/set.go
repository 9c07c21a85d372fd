package peer

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"balsamknot.org/fleet/catalogue"
	"balsamknot.org/fleet/site"
)

// SetState announces the sender's newest configuration set, beside its heartbeats. See catalogue.SetState.
type SetState struct {
	Version site.Version `cbor:"1,keyasint,omitempty"`
	InForce bool         `cbor:"2,keyasint,omitempty"`
}

// FromSetState converts an announcement to a message.
func FromSetState(s catalogue.SetState) *SetState {
	return &SetState{Version: s.Version, InForce: s.InForce}
}

// ToCatalogue converts the message to an announcement.
func (s SetState) ToCatalogue() catalogue.SetState {
	return catalogue.SetState{Version: s.Version, InForce: s.InForce}
}

// Set is a configuration set as a host passes it on: the value of its key in the store, and the era of the read that contained it.
type Set struct {
	Value []byte
	Era   catalogue.Era
}

// SetPath is the path under which hosts serve their newest set to each other.
const SetPath = "/Set"

// SetHandler serves a host's newest set. It responds with status 503 while there is none.
func SetHandler(newest func() Set) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		set := newest()
		if len(set.Value) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set(eraHeader, strconv.FormatInt(int64(set.Era), 10))
		_, _ = w.Write(set.Value)
	})
}

// FetchSet requests the newest set of the host at address (ip:port), which must come within timeout.
func FetchSet(ctx context.Context, client *http.Client, address string, timeout time.Duration) (Set, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: SetPath}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return Set{}, eris.Wrapf(err, "fetch set from %s", address)
	}
	response, err := client.Do(r)
	if err != nil {
		return Set{}, eris.Wrapf(err, "fetch set from %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Set{}, eris.Errorf("fetch set from %s: status %d", address, response.StatusCode)
	}
	era, err := parseEra(response.Header.Get(eraHeader))
	if err != nil {
		return Set{}, eris.Wrapf(err, "fetch set from %s", address)
	}
	value, err := io.ReadAll(io.LimitReader(response.Body, maxUpdateBytes))
	return Set{Value: value, Era: era}, eris.Wrapf(err, "fetch set from %s", address)
}
