package logbook

import (
	"bytes"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func TestWarningsOutliveAFloodOfPlainLines(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		out := &buffer{}
		book := New(Config{Out: out, Rate: 1000, Burst: 2000, Pending: 10000, Interval: 100 * time.Millisecond, Now: time.Now})
		log := zerolog.New(book)
		for range 1000 {
			log.Info().Str("Event", "BK1401").Msg("plain")
		}
		log.Warn().Str("Event", "BK1402").Msg("refused")
		book.Close()
		require.Contains(t, out.String(), `"BK1402"`)
		require.Less(t, strings.Count(out.String(), "plain"), 40)
		require.Regexp(t, `"Event":"BK1902","Dropped":\{"BK1401":9\d\d\}`, out.String())
	})
}

func TestTheBudgetRecovers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		out := &buffer{}
		book := New(Config{Out: out, Rate: 1000, Burst: 1000, Pending: 10000, Interval: 100 * time.Millisecond, Now: time.Now})
		log := zerolog.New(book)
		for range 100 {
			log.Info().Str("Event", "BK1401").Msg("first")
		}
		time.Sleep(2 * time.Second)
		log.Info().Str("Event", "BK1401").Msg("second")
		book.Close()
		require.Contains(t, out.String(), "second")
	})
}

// A pipe that nobody reads fills up; whoever logs must not notice.
func TestAReaderThatDoesNotReadHoldsUpNobody(t *testing.T) {
	t.Parallel()
	r, w, err := os.Pipe()
	require.NoError(t, err)
	defer r.Close()
	defer w.Close()
	book := New(Config{Out: w, Rate: 1 << 30, Burst: 1 << 30, Pending: 1 << 20, Interval: time.Millisecond, Now: time.Now})
	log := zerolog.New(book)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 50_000 {
			log.Info().Str("Event", "BK1401").Str("Padding", strings.Repeat("x", 100)).Msg("plain")
		}
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("logging waits for the reader of the pipe")
	}
	book.Close()
}
