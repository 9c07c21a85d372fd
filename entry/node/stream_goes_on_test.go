package node

import (
	"io"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against ORDER and MIXED: the answer of an endpoint that refused to go on with a stream was appended to the events that the caller had, and
// the stream ended as complete.
func TestStreamIsNotEndedWithTheRefusalOfAnEndpointThatIsToGoOnWithIt(t *testing.T) {
	t.Parallel()
	for i, status := range []int{
		http.StatusNoContent, http.StatusPartialContent, http.StatusNotFound, http.StatusConflict, http.StatusRequestedRangeNotSatisfiable,
		http.StatusInternalServerError,
	} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			t.Parallel()
			s := newPositionSite(t, 190+i, func(w http.ResponseWriter, run, after int) {
				switch run {
				case 0:
					sendCut(w, textFrom(1, 3))
				case 1:
					w.WriteHeader(status)
					_, _ = io.WriteString(w, "no such run")
				default:
					_, _ = io.WriteString(w, textFrom(after+1, streamEvents))
				}
			})
			text, whole := s.readStream(0)
			require.NotContains(t, text, "no such run")
			require.True(t, whole)
			require.Equal(t, textFrom(1, streamEvents), text)
		})
	}
}
