package peer

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/catalogue"
	"balsamknot.org/fleet/host"
)

// fixedSource serves one update, or refers to a host unless the query is direct.
type fixedSource struct {
	update  OutgoingUpdate
	holder  host.ID
	err     error
	queries []UpdateQuery
	sent    []error
}

func (s *fixedSource) PrepareUpdate(_ context.Context, q UpdateQuery) (OutgoingUpdate, host.ID, error) {
	s.queries = append(s.queries, q)
	if q.Direct {
		return s.update, "", s.err
	}
	return s.update, s.holder, s.err
}

func (s *fixedSource) UpdateSent(_ UpdateQuery, err error) { s.sent = append(s.sent, err) }

func serveUpdates(t *testing.T, s *fixedSource) (address string) {
	t.Helper()
	server := httptest.NewServer(StoreUpdateHandler(s))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestUpdateOfCompressedEntriesIsReadAsSent(t *testing.T) {
	t.Parallel()
	for _, size := range []int{0, 1, 3000} {
		entries, _ := storeHistory(size).Since(catalogue.Position{})
		compressed, err := CompressEntries(entries)
		require.NoError(t, err)
		s := &fixedSource{update: OutgoingUpdate{Position: catalogue.Position{Era: 4, Revision: 7}, SetEra: 3, Full: true, AgeMs: 12, Entries: compressed}}
		q := UpdateQuery{After: catalogue.Position{Era: 2, Revision: 3}, EraStated: true, Asker: catalogue.Asker{Host: "host-1", DataCentre: "a"}}
		update, holder, err := FetchStoreUpdate(t.Context(), http.DefaultClient, serveUpdates(t, s), q)
		require.NoError(t, err)
		require.Empty(t, holder)
		require.Equal(t, StoreUpdate{Revision: 7, Era: 4, EraStated: true, SetEra: 3, Full: true, AgeMs: 12, Entries: entries}, update)
		require.Equal(t, []UpdateQuery{q}, s.queries)
		require.Equal(t, []error{nil}, s.sent)
	}
}

func TestHostIsReferredUnlessItAsksDirectly(t *testing.T) {
	t.Parallel()
	s := &fixedSource{holder: "host-7"}
	address := serveUpdates(t, s)
	_, holder, err := FetchStoreUpdate(t.Context(), http.DefaultClient, address, UpdateQuery{})
	require.NoError(t, err)
	require.Equal(t, host.ID("host-7"), holder)
	require.Empty(t, s.sent)
	_, holder, _ = FetchStoreUpdate(t.Context(), http.DefaultClient, address, UpdateQuery{Direct: true})
	require.Empty(t, holder)
}

func TestHostWithoutACopyAndMalformedQueriesAreErrors(t *testing.T) {
	t.Parallel()
	address := serveUpdates(t, &fixedSource{err: ErrNoCopy})
	_, _, err := FetchStoreUpdate(t.Context(), http.DefaultClient, address, UpdateQuery{})
	require.ErrorContains(t, err, "status 503")
	address = serveUpdates(t, &fixedSource{err: errors.New("compress")})
	_, _, err = FetchStoreUpdate(t.Context(), http.DefaultClient, address, UpdateQuery{})
	require.ErrorContains(t, err, "status 500")
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+StoreUpdatePath+"?After=x", nil)
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusBadRequest, response.StatusCode)
}

// A host that sends a byte now and then, without end, does not keep the asking host waiting for ever.
func TestFetchOfAnUpdateThatNeverEndsIsGivenUp(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			// Empty blocks of DEFLATE that are not the last one.
			if _, err := w.Write([]byte{0, 0, 0, 0xff, 0xff}); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	}))
	t.Cleanup(server.Close)
	_, _, err := FetchStoreUpdate(t.Context(), http.DefaultClient, strings.TrimPrefix(server.URL, "http://"), UpdateQuery{})
	require.ErrorIs(t, err, context.DeadlineExceeded)
}
