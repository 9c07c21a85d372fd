package kit

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is a stand-in of an endpoint: an HTTP server that registers itself in the store. It answers requests that are meant for another
// one with status 421 and lists no caches unless Caches is set.
type Endpoint struct {
	ID, Service, Zone, Version string
	Slots                      int
	Born                       int64
	// Cold is how much longer the endpoint says that it is slow after its start.
	Cold time.Duration
	// Serve runs a request, whose body was read.
	Serve func(e *Endpoint, w http.ResponseWriter, r *http.Request, body Body)
	// Caches answers a request for the cache list; nil for an empty list.
	Caches func(w http.ResponseWriter)

	store    *Store
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	sequence int64
	running  int
}

// maxKeptBody is how much of a body is kept, in bytes.
const maxKeptBody = 64 << 10

// Body is the body of a request: its start and its size.
type Body struct {
	Start []byte
	Size  int64
}

// Start listens at an IP address and registers the endpoint as ready.
func (e *Endpoint) Start(store *Store, ip string) {
	e.store = store
	e.listener = Listen(ip + ":0")
	e.Born = time.Now().UnixMilli()
	e.server = &http.Server{Handler: http.HandlerFunc(e.handle)}
	go func() { _ = e.server.Serve(e.listener) }()
	AtEnd(func() { _ = e.server.Close() })
	e.Register("ready")
}

// Address returns the endpoint's ip:port.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Register writes the registration with a state.
func (e *Endpoint) Register(state string) {
	e.mu.Lock()
	e.sequence++
	sequence := e.sequence
	e.mu.Unlock()
	e.store.Put(Wire.Keys["Endpoints"]+e.ID, []byte(fill(string(Wire.Registration), map[string]string{
		"SERVICE": e.Service, "ADDRESS": e.Address(), "ZONE": e.Zone, "VERSION": e.Version, "STATE": state,
		"SLOTS": strconv.Itoa(e.Slots), "SEQUENCE": strconv.FormatInt(sequence, 10), "BORN": strconv.FormatInt(e.Born, 10),
		"COLD": strconv.FormatInt(e.Cold.Milliseconds(), 10),
	})))
}

// Deregister removes the registration.
func (e *Endpoint) Deregister() { e.store.Delete(Wire.Keys["Endpoints"] + e.ID) }

// Stop closes the listener and all connections, as the end of a process does.
func (e *Endpoint) Stop() { _ = e.server.Close() }

// Running returns the number of requests that are running.
func (e *Endpoint) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

func (e *Endpoint) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == Wire.Paths["CacheList"] {
		if e.Caches != nil {
			e.Caches(w)
			return
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"epoch": 1, "next": 1, "held": []any{}})
		return
	}
	w.Header().Set(Header("Instance"), e.ID)
	if r.Header.Get(Header("Expect")) != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(io.LimitReader(r.Body, maxKeptBody))
	rest, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	size := int64(len(body)) + rest
	id := r.Header.Get(Header("Request"))
	e.mu.Lock()
	full := e.running >= e.Slots
	if !full {
		e.running++
	}
	e.mu.Unlock()
	w.Header().Set(Header("Request"), id)
	if full {
		w.Header().Set(Header("NotRun"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	w.Header().Set(Header("Seal"), fmt.Sprintf("seal.%s.%s", e.ID, id))
	e.Serve(e, w, r, Body{Start: body, Size: size})
}
