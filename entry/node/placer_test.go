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

// A host is restarted while a keeper still has slots of its previous process. If the new process used the same ticket numbers,
// the keeper would treat its first requests as repetitions of the old ones.
func TestTicketsDifferFromThoseBeforeARestart(t *testing.T) {
	t.Parallel()
	requestTicket := func() pool.Ticket {
		timers := timer.New()
		defer timers.Stop()
		cfg := settings.Default()
		cfg.Host = "host-1"
		n := New(Config{Settings: cfg, Log: zerolog.Nop(), Timers: timers})
		ticket, reply := n.slots.acquire(t.Context(), pool.SlotRequested{Service: "plain", TimeLeft: time.Second})
		require.IsType(t, pool.Refuse{}, reply)
		return ticket
	}
	before, after := requestTicket(), requestTicket()
	require.NotEqual(t, before, after)
}

// The fleet starts while engines with filled caches are running. The keeper of the service requests the engines' cache lists, so
// that each chat goes to the engine that caches it.
func TestAKeeperThatBeginsFindsWhatEnginesHold(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.store.Publish(1, "k1")
	stream := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "id: 1\ndata: a\n\n") }
	s.addEndpoint("i-a", "engines", stream)
	cachingEngine := s.addEndpoint("i-b", "engines", stream)
	const chats = 12
	var parts []string
	for i := range 2 * chats {
		parts = append(parts, fmt.Sprintf("c%02d", i))
	}
	cachingEngine.SetCachedParts(parts...)
	s.startNodes(2, 24)
	n := s.nodes[0]
	sendChat := func(i int) {
		id := fmt.Sprintf("id-%d", i)
		r := n.call(t, http.MethodPost, "/stream/x", id, "k1", standin.PromptPartsHeader, parts[i]+":10000,e"+parts[i]+":10")
		require.Equal(t, http.StatusOK, r.StatusCode)
		_ = readText(t, r)
	}
	// Right after the start, requests may be placed by a host that is not the keeper, and before the cache lists have arrived.
	// They use the first half of the chats; the second half is sent after the keeper has logged the list of i-b.
	listLogged := fmt.Sprintf(`"Endpoint":"i-b","Service":"engines","Parts":%d`, 2*chats)
	sent := 0
	require.Eventually(t, func() bool {
		sendChat(sent % chats)
		sent++
		return s.nodes[0].log.contains(listLogged) || s.nodes[1].log.contains(listLogged)
	}, time.Minute, 10*time.Millisecond)
	ranBefore := cachingEngine.RunCount()
	for i := chats; i < 2*chats; i++ {
		sendChat(i)
	}
	require.Equal(t, chats, cachingEngine.RunCount()-ranBefore)
}
