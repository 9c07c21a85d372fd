// Package platform simulates the document service of the platform, which publishes the fleet's configuration: hosts read
// and watch documents, operators publish them. It counts the reads, a watch as one, however long it waits. It can be
// unavailable, or serve outdated documents as a lagging replica does.
package platform

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// maxValueBytes bounds a published document, and maxWait the time for which a watch may wait.
const (
	revisionHeader = "Document-Revision"
	maxValueBytes  = 1 << 20
	maxWait        = time.Minute
)

// Service is a simulated document service that keeps its documents in memory. It is safe for concurrent use.
type Service struct {
	mu        sync.Mutex
	documents map[string]document
	// changed is closed and replaced when readers may see a new version.
	changed chan struct{}
	down    atomic.Bool
	// frozenDocuments is the outdated copy that readers get between Freeze and Thaw; nil otherwise.
	frozenDocuments map[string]document
	// previousDocuments holds the version of each document before the current one.
	previousDocuments map[string]document
	reads             atomic.Int64
}

// document is a version of a document. Revision 0 means that the document was never published.
type document struct {
	revision uint64
	value    []byte
}

// New returns a service without documents. Its Handler has to be served by the caller.
func New() *Service {
	return &Service{documents: make(map[string]document), previousDocuments: make(map[string]document), changed: make(chan struct{})}
}

// Publish stores a new version of a document, wakes the waiting watches and returns its revision, which starts at 1. It also
// works while the service is down.
func (s *Service) Publish(name string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.documents[name].revision + 1
	s.previousDocuments[name] = s.documents[name]
	s.documents[name] = document{revision: next, value: value}
	close(s.changed)
	s.changed = make(chan struct{})
	return next
}

// SetDown sets whether reads fail with status 503. A watch that is already waiting fails only when a document
// changes or Thaw is called.
func (s *Service) SetDown(down bool) { s.down.Store(down) }

// Freeze makes reads return the current versions until Thaw is called, whatever is published meanwhile.
func (s *Service) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozenDocuments = make(map[string]document, len(s.documents))
	for name, d := range s.documents {
		s.frozenDocuments[name] = d
	}
}

// Rewind makes reads return the version of a document before the current one, as a lagging replica does, and the current
// versions of all others, until Thaw is called.
func (s *Service) Rewind(name string) {
	s.Freeze()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozenDocuments[name] = s.previousDocuments[name]
}

// Thaw ends the effect of Freeze and Rewind: reads return the latest versions again.
func (s *Service) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozenDocuments = nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// Reads returns the number of reads and watches since New, those that failed included.
func (s *Service) Reads() int64 { return s.reads.Load() }

// Handler returns the HTTP interface: documents are read with GET and published with PUT, /v1/reads returns the number of
// reads, and a POST to /v1/down, /v1/up, /v1/freeze or /v1/thaw switches the faults.
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

// read answers with a document that is newer than revision "after", or waits up to "wait" for one (a watch). If none comes,
// it answers 304.
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
		d, changed := s.documentForReaders(r.PathValue("name"))
		if d.revision > after {
			w.Header().Set(revisionHeader, strconv.FormatUint(d.revision, 10))
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

// documentForReaders returns the version that reads get, and a channel that is closed when that may have changed.
func (s *Service) documentForReaders(name string) (document, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozenDocuments != nil {
		return s.frozenDocuments[name], s.changed
	}
	return s.documents[name], s.changed
}

func (s *Service) publish(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, "the value is over a megabyte", http.StatusRequestEntityTooLarge)
		return
	}
	revision := s.Publish(r.PathValue("name"), value)
	_, _ = io.WriteString(w, strconv.FormatUint(revision, 10)+"\n")
}
