package peer

import (
	"compress/flate"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"balsamknot.org/fleet/catalogue"
)

// Probe asks a reader for the state of its copy of the platform's store. The reader replies with a ProbeReply.
type Probe struct {
	_ struct{} `cbor:",toarray"`
	// Nonce matches a reply with its probe.
	Nonce uint64
}

// ProbeReply is the reply to a Probe.
type ProbeReply struct {
	_     struct{} `cbor:",toarray"`
	Nonce uint64
	// NewestChange is the newest revision at which an entry of the sender's copy changed.
	NewestChange catalogue.Revision
	// AgeMs is the age of the sender's copy: the time since the start of the read that last confirmed it. It is negative when
	// the sender has no copy yet.
	AgeMs int64
	// ReadsPlatform is true when the sender itself has read the platform recently and its last read succeeded. Otherwise
	// the sender gets its copy from other hosts, or cannot refresh it, so that the copy will become stale.
	ReadsPlatform bool
}

// Notice informs the hosts that probed the sender recently that its copy changed, or that it can no longer read the platform.
type Notice struct {
	_ struct{} `cbor:",toarray"`
	// NewestChange is the revision of the change; 0 when ReadFailed is set.
	NewestChange catalogue.Revision
	// ReadFailed is true when the sender's read of the platform failed after earlier ones had succeeded.
	ReadFailed bool
}

// StoreUpdate brings another host's copy of the platform's store up to date.
type StoreUpdate struct {
	_ struct{} `cbor:",toarray"`
	// Revision is the store revision that the copy has after the update.
	Revision catalogue.Revision
	// Full is true when Entries holds all existing keys, so that the receiver removes the others. Otherwise Entries holds
	// the changes and removals after the requested revision.
	Full bool
	// AgeMs is the age of the sender's copy, as in ProbeReply.
	AgeMs   int64
	Entries []catalogue.Entry
}

// StoreUpdatePath is the path under which hosts serve a StoreUpdate to each other.
const StoreUpdatePath = "/Knowledge"

// afterParam is the query parameter for the revision that the requesting host has.
const afterParam = "After"

// StoreUpdateHandler serves the update that load returns for a revision, compressed with DEFLATE. It responds with status 503
// when ok is false, because the host has no copy of the store yet.
func StoreUpdateHandler(load func(after catalogue.Revision) (update StoreUpdate, ok bool)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseInt(r.URL.Query().Get(afterParam), 10, 64)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		update, ok := load(catalogue.Revision(after))
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		out, err := flate.NewWriter(w, flate.BestSpeed)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		if err := cbor.NewEncoder(out).Encode(update); err == nil {
			_ = out.Close()
		}
	})
}

// maxUpdateBytes limits the size of an update after decompression, and fetchTimeout the time for a whole fetch.
const (
	maxUpdateBytes = 32 << 20
	fetchTimeout   = 1500 * time.Millisecond
)

// FetchStoreUpdate requests from the host at address (ip:port) the changes after a revision.
func FetchStoreUpdate(ctx context.Context, client *http.Client, address string, after catalogue.Revision) (StoreUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	target := url.URL{
		Scheme: "http", Host: address, Path: StoreUpdatePath,
		RawQuery: url.Values{afterParam: {strconv.FormatInt(int64(after), 10)}}.Encode(),
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return StoreUpdate{}, eris.Wrapf(err, "fetch store update from %s", address)
	}
	response, err := client.Do(r)
	if err != nil {
		return StoreUpdate{}, eris.Wrapf(err, "fetch store update from %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return StoreUpdate{}, eris.Errorf("fetch store update from %s: status %d", address, response.StatusCode)
	}
	var update StoreUpdate
	if err := cbor.NewDecoder(io.LimitReader(flate.NewReader(response.Body), maxUpdateBytes)).Decode(&update); err != nil {
		return StoreUpdate{}, eris.Wrapf(err, "decode store update from %s", address)
	}
	return update, nil
}
