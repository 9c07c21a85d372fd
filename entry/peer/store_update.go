package peer

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"balsamknot.org/fleet/catalogue"
	"balsamknot.org/fleet/host"
)

// Probe queries the state of a reader's copy of the platform's store. The reader replies with a ProbeReply.
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

	// Era is that of Revision. It is sent as a header; hosts of earlier releases do not, and EraStated is false.
	Era       catalogue.Era `cbor:"-"`
	EraStated bool          `cbor:"-"`
	// SetEra is catalogue.Update.SetEra, sent as a header, too; hosts of earlier releases do not, and it is 0.
	SetEra catalogue.Era `cbor:"-"`
}

// Position returns the position of the update. That of a host of an earlier release is taken to be in the receiver's era.
func (u StoreUpdate) Position(receiver catalogue.Era) catalogue.Position {
	if !u.EraStated {
		return catalogue.Position{Era: receiver, Revision: u.Revision}
	}
	return catalogue.Position{Era: u.Era, Revision: u.Revision}
}

// CompressedEntries is a list of entries as it stands in an encoded StoreUpdate: CBOR in DEFLATE blocks that refer to nothing before them, so
// that one list can be part of many updates.
type CompressedEntries []byte

// CompressEntries encodes and compresses a list of entries.
func CompressEntries(entries []catalogue.Entry) (CompressedEntries, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, eris.Wrap(err, "compress entries")
	}
	if err := cbor.NewEncoder(w).Encode(entries); err != nil {
		return nil, eris.Wrap(err, "encode entries")
	}
	if err := w.Flush(); err != nil {
		return nil, eris.Wrap(err, "compress entries")
	}
	return out.Bytes(), nil
}

// OutgoingUpdate is a StoreUpdate to be sent.
type OutgoingUpdate struct {
	Position catalogue.Position
	SetEra   catalogue.Era
	Full     bool
	AgeMs    int64
	Entries  CompressedEntries
}

// updateArrayHead is the first byte of an encoded StoreUpdate, a CBOR array of four elements.
const updateArrayHead = 0x84

// writeTo writes the update as FetchStoreUpdate reads it: a StoreUpdate, compressed with DEFLATE.
func (u OutgoingUpdate) writeTo(w io.Writer) error {
	head, err := flate.NewWriter(w, flate.NoCompression)
	if err != nil {
		return eris.Wrap(err, "write store update")
	}
	fields := []byte{updateArrayHead}
	for _, field := range []any{u.Position.Revision, u.Full, u.AgeMs} {
		raw, err := cbor.Marshal(field)
		if err != nil {
			return eris.Wrap(err, "encode store update")
		}
		fields = append(fields, raw...)
	}
	if _, err := head.Write(fields); err != nil {
		return eris.Wrap(err, "write store update")
	}
	if err := head.Flush(); err != nil {
		return eris.Wrap(err, "write store update")
	}
	if _, err := w.Write(u.Entries); err != nil {
		return eris.Wrap(err, "write store update")
	}
	// The writer of the head ends the stream with an empty block.
	return eris.Wrap(head.Close(), "write store update")
}

// StoreUpdatePath is the path under which hosts serve a StoreUpdate to each other.
const StoreUpdatePath = "/Knowledge"

// UpdateQuery asks a host for a StoreUpdate.
type UpdateQuery struct {
	// After is the position of the asking host's copy; zero if it has none. Hosts of earlier releases do not state its era, and EraStated is false.
	After     catalogue.Position
	EraStated bool
	// Asker is the asking host; hosts of earlier releases do not name it.
	Asker catalogue.Asker
	// Direct is true if the host that is asked must not refer to another one.
	Direct bool
}

// Query parameters of an UpdateQuery, by the names of its fields.
const (
	afterParam      = "After"
	eraParam        = "Era"
	hostParam       = "Host"
	dataCentreParam = "DataCentre"
	directParam     = "Direct"
)

// Headers of a response: holderHeader names the host that has the update, with status 303; eraHeader is the era of the update, and setEraHeader
// that of the set in it.
const (
	holderHeader = "Holder"
	eraHeader    = "Era"
	setEraHeader = "Set-Era"
)

func (q UpdateQuery) encode() string {
	values := url.Values{
		afterParam: {strconv.FormatInt(int64(q.After.Revision), 10)}, hostParam: {string(q.Asker.Host)}, dataCentreParam: {string(q.Asker.DataCentre)},
	}
	if q.Direct {
		values.Set(directParam, strconv.FormatBool(true))
	}
	if q.EraStated {
		values.Set(eraParam, strconv.FormatInt(int64(q.After.Era), 10))
	}
	return values.Encode()
}

func parseUpdateQuery(values url.Values) (UpdateQuery, error) {
	after, err := strconv.ParseInt(values.Get(afterParam), 10, 64)
	if err != nil {
		return UpdateQuery{}, eris.Wrap(err, "parse query for a store update")
	}
	q := UpdateQuery{
		After: catalogue.Position{Revision: catalogue.Revision(after)}, Direct: values.Get(directParam) != "",
		Asker: catalogue.Asker{Host: host.ID(values.Get(hostParam)), DataCentre: host.DataCentre(values.Get(dataCentreParam))},
	}
	if values.Has(eraParam) {
		if q.After.Era, err = parseEra(values.Get(eraParam)); err != nil {
			return UpdateQuery{}, eris.Wrap(err, "parse query for a store update")
		}
		q.EraStated = true
	}
	return q, nil
}

func parseEra(text string) (catalogue.Era, error) {
	era, err := strconv.ParseInt(text, 10, 64)
	return catalogue.Era(era), eris.Wrap(err, "parse era")
}

// ErrNoCopy means that a host has no copy of the store yet.
var ErrNoCopy = errors.New("this host has no copy of the store yet")

// UpdateSource is a host's copy of the store, as far as the handler needs it.
type UpdateSource interface {
	// PrepareUpdate returns the update for a query, or the host that has it. The error is ErrNoCopy while this host has none.
	PrepareUpdate(ctx context.Context, q UpdateQuery) (u OutgoingUpdate, holder host.ID, err error)
	// UpdateSent reports the end of the transfer of an update that PrepareUpdate returned.
	UpdateSent(q UpdateQuery, err error)
}

// StoreUpdateHandler serves updates from a copy of the store. It responds with status 503 when the host has none, and with 303 and the
// header Holder to refer to another host.
func StoreUpdateHandler(source UpdateSource) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q, err := parseUpdateQuery(r.URL.Query())
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		update, holder, err := source.PrepareUpdate(r.Context(), q)
		switch {
		case errors.Is(err, ErrNoCopy):
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			w.WriteHeader(http.StatusInternalServerError)
		case holder != "":
			w.Header().Set(holderHeader, string(holder))
			w.WriteHeader(http.StatusSeeOther)
		default:
			w.Header().Set(eraHeader, strconv.FormatInt(int64(update.Position.Era), 10))
			w.Header().Set(setEraHeader, strconv.FormatInt(int64(update.SetEra), 10))
			source.UpdateSent(q, update.writeTo(w))
		}
	})
}

// maxUpdateBytes limits the size of an update after decompression, fetchTimeout the time without progress of a fetch, and maxFetchTime the time
// of a whole one: less than a set may be used without confirmation.
const (
	maxUpdateBytes = 32 << 20
	fetchTimeout   = 1500 * time.Millisecond
	maxFetchTime   = 4 * time.Second
)

// FetchStoreUpdate requests an update from the host at address (ip:port). If holder is not empty, that host has it.
func FetchStoreUpdate(ctx context.Context, client *http.Client, address string, q UpdateQuery) (update StoreUpdate, holder host.ID, err error) {
	ctx, cancel := context.WithTimeout(ctx, maxFetchTime)
	defer cancel()
	stalled := time.AfterFunc(fetchTimeout, cancel)
	defer stalled.Stop()
	target := url.URL{Scheme: "http", Host: address, Path: StoreUpdatePath, RawQuery: q.encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return StoreUpdate{}, "", eris.Wrapf(err, "fetch store update from %s", address)
	}
	response, err := client.Do(r)
	if err != nil {
		return StoreUpdate{}, "", eris.Wrapf(err, "fetch store update from %s", address)
	}
	defer response.Body.Close()
	switch holder := response.Header.Get(holderHeader); {
	case response.StatusCode == http.StatusSeeOther && holder != "":
		return StoreUpdate{}, host.ID(holder), nil
	case response.StatusCode != http.StatusOK:
		return StoreUpdate{}, "", eris.Errorf("fetch store update from %s: status %d", address, response.StatusCode)
	}
	body := &progressReader{in: response.Body, stalled: stalled}
	if err := cbor.NewDecoder(io.LimitReader(flate.NewReader(body), maxUpdateBytes)).Decode(&update); err != nil {
		return StoreUpdate{}, "", eris.Wrapf(err, "decode store update from %s", address)
	}
	return update, "", eris.Wrapf(update.readEras(response.Header), "decode store update from %s", address)
}

// readEras reads the headers that state eras.
func (u *StoreUpdate) readEras(h http.Header) (err error) {
	if text := h.Get(eraHeader); text != "" {
		if u.Era, err = parseEra(text); err != nil {
			return err
		}
		u.EraStated = true
	}
	if text := h.Get(setEraHeader); text != "" {
		u.SetEra, err = parseEra(text)
	}
	return err
}

// progressReader postpones the end of a fetch with each part that arrives.
type progressReader struct {
	in      io.Reader
	stalled *time.Timer
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.in.Read(p)
	if n > 0 {
		r.stalled.Reset(fetchTimeout)
	}
	return n, err
}
