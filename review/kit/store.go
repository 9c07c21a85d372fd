package kit

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the platform's store: keys with one revision counter, ranges and watches. It loses nothing and its answers are
// linearizable.
type Store struct {
	listener net.Listener

	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	events   []storeItem
	changed  chan struct{}
	// era rises with each Return.
	era int64
	// watches counts the watches that came in at each address.
	watches map[string]int
	// silent is true while the store accepts calls and never answers them.
	silent bool
}

type storeItem struct {
	key               string
	value             []byte
	revision, created int64
	deleted           bool
}

// StartStore starts a store at an address (ip:port).
func StartStore(address string) *Store {
	s := &Store{revision: 100, era: 1, items: make(map[string]storeItem), changed: make(chan struct{}), watches: make(map[string]int)}
	s.listener = Listen(address)
	s.serveAt(s.listener)
	return s
}

func (s *Store) serveAt(listener net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = server.Serve(listener) }()
	AtEnd(func() { _ = server.Close() })
}

// AlsoAt makes the store listen at a further address, and returns it.
func (s *Store) AlsoAt(address string) string {
	s.serveAt(Listen(address))
	return address
}

// Watches returns how many watches came in at an address.
func (s *Store) Watches(address string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches[address]
}

// Address returns the store's ip:port.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Put writes a key. The return is the store's acknowledgement.
func (s *Store) Put(key string, value []byte) { s.write(storeItem{key: key, value: value}) }

// Delete removes a key.
func (s *Store) Delete(key string) { s.write(storeItem{key: key, deleted: true}) }

func (s *Store) write(it storeItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.revision, it.created = s.revision, s.revision
	if old, ok := s.items[it.key]; ok {
		it.created = old.created
	}
	if it.deleted {
		delete(s.items, it.key)
	} else {
		s.items[it.key] = it
	}
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (it storeItem) encode() map[string]any {
	if it.deleted {
		return map[string]any{"key": it.key, "revision": it.revision, "deleted": true}
	}
	return map[string]any{"key": it.key, "value": it.value, "revision": it.revision, Wire.Fields["Created"]: it.created, "lease": 0}
}

// SetSilent makes the store leave the calls that it gets, and those that wait, without an answer for good, or serve new ones again.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	close(s.changed)
	s.changed = make(chan struct{})
}

// Copy is a copy of the store.
type Copy struct {
	revision int64
	items    map[string]storeItem
	events   []storeItem
}

// Copy returns a copy of the store as it is now.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{revision: s.revision, items: maps.Clone(s.items), events: slices.Clone(s.events)}
}

// Return makes the store lose what was written after a copy, as after a return from it. Its revisions are given out again.
func (s *Store) Return(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.items, s.events = c.revision, maps.Clone(c.items), slices.Clone(c.events)
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func localAddress(r *http.Request) string {
	if local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr); ok {
		return local.String()
	}
	return ""
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	if s.isSilent() {
		<-r.Context().Done()
		return
	}
	s.mu.Lock()
	era := strconv.FormatInt(s.era, 10)
	s.mu.Unlock()
	w.Header().Set(Header("Era"), era)
	w.Header().Set("Content-Type", "application/json")
	query := r.URL.Query()
	switch r.URL.Path {
	case Wire.Paths["Range"]:
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case Wire.Paths["Watch"]:
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get(Wire.Query["Wait"]))
		s.serveWatch(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// pageSize is the largest number of items in an answer to a range.
const pageSize = 500

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []any{}
	for _, key := range keys[:min(len(keys), pageSize)] {
		items = append(items, s.items[key].encode())
	}
	body := map[string]any{"items": items, Wire.Fields["More"]: len(keys) > pageSize, Wire.Fields["StoreRevision"]: s.revision}
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	s.mu.Lock()
	s.watches[localAddress(r)]++
	s.mu.Unlock()
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		events := []any{}
		for _, it := range s.events {
			if it.revision > after && strings.HasPrefix(it.key, prefix) {
				events = append(events, it.encode())
			}
		}
		revision, changed, silent := s.revision, s.changed, s.silent
		s.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		if after > revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		body := map[string]any{"events": events, Wire.Fields["StoreRevision"]: revision}
		if len(events) > 0 {
			_ = json.NewEncoder(w).Encode(body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			_ = json.NewEncoder(w).Encode(body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// Listen listens at an address; a failure ends the program.
func Listen(address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		Unable("listen at %s: %v", address, err)
	}
	return listener
}
