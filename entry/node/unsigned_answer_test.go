package node

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamknot.org/platform/standin"
)

// Guards against MIXED, review/11: a success whose signature's header had a wrong byte was passed on as one without a signature.
func TestSuccessWithoutItsSignatureDoesNotReachCallers(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.store.Publish(1, "k1")
	for _, service := range []string{"plain", "engines"} {
		s.addEndpoint("i-"+service, service, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Del(standin.SealHeader)
			_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		})
	}
	s.startNodes(1, 75)
	for path, service := range map[string]string{"/once/x": "plain", "/again/x": "plain", "/stream/x": "engines", "/draft/x": "engines"} {
		response, err := http.DefaultTransport.RoundTrip(standin.NewCall(s.nodes[0].cfg.CallerAddress, http.MethodPost, path, "id"+path, "k1", nil))
		require.NoError(t, err)
		_ = response.Body.Close()
		require.GreaterOrEqual(t, response.StatusCode, http.StatusInternalServerError, "%s of %s", path, service)
	}
}

func TestRequestWhoseSuccessHasNoSignatureGoesToAnotherEndpoint(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.store.Publish(1, "k1")
	spoiled := s.addEndpoint("i-a", "plain", func(w http.ResponseWriter, _ *http.Request) { w.Header().Del(standin.SealHeader) })
	s.addEndpoint("i-b", "plain", nil)
	s.startNodes(1, 76)
	for i := range 8 {
		response, err := http.DefaultTransport.RoundTrip(standin.NewCall(s.nodes[0].cfg.CallerAddress, http.MethodGet, "/again/x", "id-"+string(rune('a'+i)), "k1", nil))
		require.NoError(t, err)
		_ = response.Body.Close()
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, "seal-i-b", response.Header.Get(standin.SealHeader))
	}
	require.Positive(t, spoiled.RunCount())
}
