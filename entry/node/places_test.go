package node

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"balsamknot.org/entry/settings"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform/standin"
)

// A host starts anew while its keeper still holds a place for a request of the process before. The first requests of the new
// process must not be taken for those.
func TestTicketsOfANewProcessAreNew(t *testing.T) {
	t.Parallel()
	ask := func() pool.Ticket {
		timers := timer.New()
		defer timers.Stop()
		cfg := settings.Default()
		cfg.Host = "host-1"
		n := New(Config{Settings: cfg, Log: zerolog.Nop(), Timers: timers})
		ticket, answer := n.places.ask(t.Context(), pool.SlotRequested{Service: "plain", TimeLeft: time.Second})
		require.IsType(t, pool.Refuse{}, answer)
		return ticket
	}
	before, after := ask(), ask()
	require.NotEqual(t, before, after)
}

// A fleet starts before engines that worked before. The keeper asks them what they hold, and chats go back to where they were.
func TestAKeeperThatBeginsFindsWhatEnginesHold(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.store.Publish(1, "k1")
	stream := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "id: 1\ndata: a\n\n") }
	s.endpoint("i-a", "engines", stream)
	holder := s.endpoint("i-b", "engines", stream)
	const chats = 12
	var parts []string
	for i := range 2 * chats {
		parts = append(parts, fmt.Sprintf("c%02d", i))
	}
	holder.SetCachedParts(parts...)
	s.start(2, 24)
	n := s.nodes[0]
	ask := func(i int) {
		id := fmt.Sprintf("id-%d", i)
		r := n.call(t, http.MethodPost, "/stream/x", id, "k1", standin.PromptPartsHeader, parts[i]+":10000,e"+parts[i]+":10")
		require.Equal(t, http.StatusOK, r.StatusCode)
		_ = text(t, r)
	}
	// The first requests of a young process may be placed before it takes itself for the keeper, and before the lists are there.
	listed := fmt.Sprintf(`"Endpoint":"i-b","Service":"engines","Parts":%d`, 2*chats)
	asked := 0
	require.Eventually(t, func() bool {
		ask(asked % chats)
		asked++
		return s.nodes[0].log.has(listed) || s.nodes[1].log.has(listed)
	}, time.Minute, 10*time.Millisecond)
	before := holder.RunCount()
	for i := chats; i < 2*chats; i++ {
		ask(i)
	}
	require.Equal(t, chats, holder.RunCount()-before)
}
