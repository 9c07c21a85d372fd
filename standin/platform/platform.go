// Package platform stands in for the platform's service of documents: read and watch for the fleet,
// publish for the operators' side. It counts each call, a waiting watch as one.
package platform

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	revisionHeader = "Document-Revision"
	maxValue       = 1 << 20
	maxWait        = time.Minute
)

// Service is the stand-in. Its Handler serves the fleet and the operators' side alike.
type Service struct {
	mu        sync.Mutex
	documents map[string]document
	changed   chan struct{}
	down      atomic.Bool
	// frozen holds the documents as a stale replica shows them; nil when it is up to date.
	frozen map[string]document
	// previous holds each document as it was before the last change.
	previous map[string]document
	reads    atomic.Int64
}

type document struct {
	number uint64
	value  []byte
}

// New returns a service without documents.
func New() *Service {
	return &Service{documents: make(map[string]document), previous: make(map[string]document), changed: make(chan struct{})}
}

// Publish stores a new version and returns its number.
func (s *Service) Publish(name string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.documents[name].number + 1
	s.previous[name] = s.documents[name]
	s.documents[name] = document{number: next, value: value}
	close(s.changed)
	s.changed = make(chan struct{})
	return next
}

// SetDown makes every call fail, or ends that.
func (s *Service) SetDown(down bool) { s.down.Store(down) }

// Freeze makes readers see the documents as they are now, until Thaw.
func (s *Service) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = make(map[string]document, len(s.documents))
	for name, d := range s.documents {
		s.frozen[name] = d
	}
}

// Rewind makes readers see a document as it was before its last change, as a replica that lags does, until Thaw.
func (s *Service) Rewind(name string) {
	s.Freeze()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen[name] = s.previous[name]
}

// Thaw shows readers the documents as they are.
func (s *Service) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// Reads returns how many calls readers made.
func (s *Service) Reads() int64 { return s.reads.Load() }

// Handler returns the HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/documents/{name}", s.read)
	mux.HandleFunc("PUT /v1/documents/{name}", s.publish)
	mux.HandleFunc("GET /v1/reads", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strconv.FormatInt(s.Reads(), 10)+"\n")
	})
	mux.HandleFunc("POST /v1/down", func(_ http.ResponseWriter, _ *http.Request) { s.SetDown(true) })
	mux.HandleFunc("POST /v1/up", func(_ http.ResponseWriter, _ *http.Request) { s.SetDown(false) })
	mux.HandleFunc("POST /v1/freeze", func(_ http.ResponseWriter, _ *http.Request) { s.Freeze() })
	mux.HandleFunc("POST /v1/thaw", func(_ http.ResponseWriter, _ *http.Request) { s.Thaw() })
	return mux
}

func (s *Service) read(w http.ResponseWriter, r *http.Request) {
	s.reads.Add(1)
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timeout := time.After(min(wait, maxWait))
	for {
		if s.down.Load() {
			http.Error(w, "the platform is down", http.StatusServiceUnavailable)
			return
		}
		d, changed := s.current(r.PathValue("name"))
		if d.number > after {
			w.Header().Set(revisionHeader, strconv.FormatUint(d.number, 10))
			_, _ = w.Write(d.value)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

func (s *Service) current(name string) (document, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen != nil {
		return s.frozen[name], s.changed
	}
	return s.documents[name], s.changed
}

func (s *Service) publish(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil {
		http.Error(w, "the value is over a megabyte", http.StatusRequestEntityTooLarge)
		return
	}
	number := s.Publish(r.PathValue("name"), value)
	_, _ = io.WriteString(w, strconv.FormatUint(number, 10)+"\n")
}
