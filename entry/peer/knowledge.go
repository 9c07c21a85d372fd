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

// Probe asks a reader how new its knowledge of the platform is.
type Probe struct {
	_     struct{} `cbor:",toarray"`
	Nonce uint64
}

// Confirm answers a Probe: up to AgeMs before it was sent, the platform had nothing newer than Newest. A negative age
// says that the reader knows nothing yet.
type Confirm struct {
	_      struct{} `cbor:",toarray"`
	Nonce  uint64
	Newest catalogue.Revision
	AgeMs  int64
	// Reads is true when the sender itself reads the platform and its last read succeeded. Without it the sender's
	// knowledge comes from others, and will grow old.
	Reads bool
}

// Notice tells those who asked lately that there is something new, or that the sender can't read the platform any more.
type Notice struct {
	_      struct{} `cbor:",toarray"`
	Newest catalogue.Revision
	Blind  bool
}

// Knowledge is what a reader knows behind a position.
type Knowledge struct {
	_       struct{} `cbor:",toarray"`
	At      catalogue.Revision
	Whole   bool
	AgeMs   int64
	Entries []catalogue.Entry
}

// KnowledgePath is where hosts serve Knowledge to each other.
const KnowledgePath = "/Knowledge"

// afterKey is the query's key for the position.
const afterKey = "After"

// KnowledgeHandler serves what load returns behind a position; ok is false while nothing is known.
func KnowledgeHandler(load func(after catalogue.Revision) (k Knowledge, ok bool)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseInt(r.URL.Query().Get(afterKey), 10, 64)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		k, ok := load(catalogue.Revision(after))
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		out, err := flate.NewWriter(w, flate.BestSpeed)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		if err := cbor.NewEncoder(out).Encode(k); err == nil {
			_ = out.Close()
		}
	})
}

// knowledgeLimit bounds an answer in bytes, and fetchLimit its time.
const (
	knowledgeLimit = 32 << 20
	fetchLimit     = 1500 * time.Millisecond
)

// FetchKnowledge asks the host at ip:port for what it knows behind a position.
func FetchKnowledge(ctx context.Context, client *http.Client, address string, after catalogue.Revision) (Knowledge, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	target := url.URL{
		Scheme: "http", Host: address, Path: KnowledgePath,
		RawQuery: url.Values{afterKey: {strconv.FormatInt(int64(after), 10)}}.Encode(),
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return Knowledge{}, eris.Wrapf(err, "fetch knowledge: %s", address)
	}
	response, err := client.Do(r)
	if err != nil {
		return Knowledge{}, eris.Wrapf(err, "fetch knowledge: %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Knowledge{}, eris.Errorf("fetch knowledge: %s: status %d", address, response.StatusCode)
	}
	var k Knowledge
	if err := cbor.NewDecoder(io.LimitReader(flate.NewReader(response.Body), knowledgeLimit)).Decode(&k); err != nil {
		return Knowledge{}, eris.Wrapf(err, "decode knowledge: %s", address)
	}
	return k, nil
}
