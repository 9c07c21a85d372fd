// Command 1 replaces one endpoint in place by one of a new software version, while endpoints of another service warm up. Half a minute later
// it ends the process of one host, so that its callers take up their streams at other hosts, and looks for streams with events of two
// versions.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"balsamknot.org/review/kit"
)

const (
	hosts     = 8
	endpoints = 4
	callers   = 180
	// events and eventInterval give the length of a stream, and prefill is the time to its first event.
	events        = 80
	eventInterval = 100 * time.Millisecond
	prefill       = 50 * time.Millisecond
	deadline      = 15 * time.Second
	warmUp        = 4 * time.Second
	// drain is how long the endpoint serves on after it has reported that it leaves, and restart the time from the removal of its registration
	// to the new one.
	drain   = 2500 * time.Millisecond
	restart = 30 * time.Millisecond
	// killAfter is the time from the new registration to the end of the host's process.
	killAfter = 34 * time.Second
	lastAfter = 50 * time.Second
	// allowed is how many streams may hold events of two versions.
	allowed = 2
)

type site struct {
	record *kit.Record

	mu            sync.Mutex
	takenUp       int
	mixed, faults []string
}

func main() {
	dir := os.Args[1]
	kit.LimitTime(115 * time.Second)
	kit.Prepare()
	s := &site{record: kit.NewRecord(filepath.Join(dir, "record.txt"))}
	config, err := os.ReadFile(filepath.Join(dir, "config.json"))
	if err != nil {
		kit.Unable("read the configuration: %v", err)
	}
	store := kit.StartStore(kit.Network + ".2.250:8223")
	store.Put(kit.Wire.Keys["Config"], config)
	stream := kit.StreamServer{Record: s.record, Events: events, Interval: eventInterval, Prefill: prefill}
	start := func(id, version string, n int) *kit.Endpoint {
		e := &kit.Endpoint{ID: id, Service: "assist-llm", Zone: "zone-gent", Version: version, Slots: 64, Serve: stream.Serve}
		e.Start(store, fmt.Sprintf("%s.3.%d", kit.Network, n))
		return e
	}
	var engines []*kit.Endpoint
	for i := range endpoints {
		engines = append(engines, start(fmt.Sprintf("i-%d", i+1), "v1", i+1))
	}
	var all []*kit.Host
	var storeAt []string
	for i := range hosts {
		storeAt = append(storeAt, store.AlsoAt(fmt.Sprintf("%s.2.%d:8223", kit.Network, i+1)))
		h := kit.NewHost(i+1, zoneOf(i+1), storeAt[i], []string{kit.Seed(1), kit.Seed(2), kit.Seed(3)})
		all = append(all, h)
		h.Start()
	}
	kit.AwaitReady(all, 15*time.Second)
	time.Sleep(warmUp)
	zone := s.callersZone(all, storeAt, store)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	chat := kit.StreamCaller{
		Record: s.record, Host: "drums.example", Path: "/summary/x", Key: "key-gent", Events: events, Deadline: deadline, OnTry: s.note, OnEnd: s.end,
	}
	for i := range callers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * events * eventInterval / callers)
			chat.Run(fmt.Sprintf("caller-%d", i+1), i, zone, stop)
		})
	}
	time.Sleep(warmUp)
	s.record.Say("%d endpoints of another service start", kit.WarmingEndpoints)
	kit.ScaleOut(store, "returns-app", 1)
	time.Sleep(2 * kit.Heartbeat)
	s.replace(engines[endpoints-1], start)
	replaced := time.Now()
	time.Sleep(killAfter - 2*kit.Heartbeat)
	s.record.Say("%d more endpoints of the other service start", kit.WarmingEndpoints)
	kit.ScaleOut(store, "returns-app", 2)
	time.Sleep(2 * kit.Heartbeat)
	if kit.Trouble() {
		s.record.Say("SIGKILL to %s", zone[0].Name)
		zone[0].Kill()
	}
	time.Sleep(3 * time.Second)
	if kit.Trouble() {
		zone[0].Start()
	}
	time.Sleep(time.Until(replaced.Add(lastAfter)))
	close(stop)
	wg.Wait()
	s.record.Say("tries that took a stream up again: %d; streams of two versions: %d; other faults: %d", s.takenUp, len(s.mixed), len(s.faults))
	for _, line := range append(s.mixed, s.faults...) {
		s.record.Say("ORDER: %s", line)
	}
	if len(s.mixed) > allowed || len(s.faults) > 0 {
		kit.Finish(kit.ExitBroken)
	}
	kit.Finish(kit.ExitHeld)
}

// zoneOf returns the zone of a host. The callers' zone has three hosts, as zone-antwerp does: two of them read the store themselves, which
// follows from the names of the hosts.
func zoneOf(number int) string {
	switch number {
	case 1, 7, 8:
		return "zone-antwerp"
	}
	return "zone-gent"
}

// callersZone returns the hosts of the callers' zone, first the one that doesn't read the store itself.
func (s *site) callersZone(all []*kit.Host, storeAt []string, store *kit.Store) []*kit.Host {
	before := make([]int, len(all))
	for i, address := range storeAt {
		before[i] = store.Watches(address)
	}
	time.Sleep(4 * time.Second)
	var readers, others []*kit.Host
	for i, h := range all {
		reads := store.Watches(storeAt[i])-before[i] >= 2
		switch {
		case h.Zone != zoneOf(1):
		case reads:
			readers = append(readers, h)
		default:
			others = append(others, h)
		}
	}
	if len(readers) != 2 || len(others) != 1 {
		kit.Unable("%d hosts of the callers' zone read the store", len(readers))
	}
	s.record.Say("%s and %s read the store themselves, %s doesn't", readers[0].Name, readers[1].Name, others[0].Name)
	return append(others, readers...)
}

// replace replaces an endpoint in place: it leaves and starts again under its id, with a new software version.
func (s *site) replace(e *kit.Endpoint, start func(id, version string, n int) *kit.Endpoint) {
	s.record.Say("endpoint %s leaves", e.ID)
	e.Register("draining")
	time.Sleep(drain)
	e.Deregister()
	e.Stop()
	time.Sleep(restart)
	start(e.ID, "v2", endpoints)
	s.record.Say("endpoint %s is back with version v2", e.ID)
}

func (s *site) note(try kit.StreamTry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if try.TakesUp {
		s.takenUp++
	}
}

// end notes the end of a stream.
func (s *site) end(name string, st *kit.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(st.Versions) > 1 {
		s.mixed = append(s.mixed, fmt.Sprintf("%s has events of versions %s", name, strings.Join(st.Versions, ", ")))
	}
	if st.Fault != "" {
		s.faults = append(s.faults, name+": "+strconv.Quote(st.Fault))
	}
}
