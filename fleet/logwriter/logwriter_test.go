package logwriter

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

type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func TestWarningsAreWrittenWhenInfoLinesExceedBudget(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		out := &syncBuffer{}
		w := New(Config{Out: out, Rate: 1000, Burst: 2000, BufferSize: 10000, FlushInterval: 100 * time.Millisecond, Now: time.Now})
		log := zerolog.New(w)
		for range 1000 {
			log.Info().Str("Event", "BK1401").Msg("plain")
		}
		log.Warn().Str("Event", "BK1402").Msg("refused")
		w.Close()
		require.Contains(t, out.String(), `"BK1402"`)
		require.Less(t, strings.Count(out.String(), "plain"), 40)
		require.Regexp(t, `"Event":"BK1902","Dropped":\{"BK1401":9\d\d\}`, out.String())
	})
}

func TestBudgetRefillsOverTime(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		out := &syncBuffer{}
		w := New(Config{Out: out, Rate: 1000, Burst: 1000, BufferSize: 10000, FlushInterval: 100 * time.Millisecond, Now: time.Now})
		log := zerolog.New(w)
		for range 100 {
			log.Info().Str("Event", "BK1401").Msg("first")
		}
		time.Sleep(2 * time.Second)
		log.Info().Str("Event", "BK1401").Msg("second")
		w.Close()
		require.Contains(t, out.String(), "second")
	})
}

// A pipe that nobody reads fills up and blocks writes to it. Logging must not block with it.
func TestAReaderThatDoesNotReadHoldsUpNobody(t *testing.T) {
	t.Parallel()
	pipeReader, pipeWriter, err := os.Pipe()
	require.NoError(t, err)
	defer pipeReader.Close()
	defer pipeWriter.Close()
	w := New(Config{Out: pipeWriter, Rate: 1 << 30, Burst: 1 << 30, BufferSize: 1 << 20, FlushInterval: time.Millisecond, Now: time.Now})
	log := zerolog.New(w)
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
		t.Fatal("logging blocks while the pipe is not read")
	}
	w.Close()
}
