package peer

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSetIsFetchedWithTheEraOfItsRead(t *testing.T) {
	t.Parallel()
	var set Set
	server := httptest.NewServer(SetHandler(func() Set { return set }))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	_, err := FetchSet(t.Context(), http.DefaultClient, address)
	require.ErrorContains(t, err, "status 503")
	set = Set{Value: []byte(`{"version":9}`), Era: 4}
	fetched, err := FetchSet(t.Context(), http.DefaultClient, address)
	require.NoError(t, err)
	require.Equal(t, set, fetched)
}

func TestSetOfAHostThatStatesNoEraIsAnError(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }))
	defer server.Close()
	_, err := FetchSet(t.Context(), http.DefaultClient, strings.TrimPrefix(server.URL, "http://"))
	require.ErrorContains(t, err, "era")
}
