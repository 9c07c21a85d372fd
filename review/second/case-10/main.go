// Command case-10 shows that a host sends requests to a server that has announced that it leaves, while connections between hosts that went silent
// keep its copy of the store from being updated.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/placement"
	"balsamknot.org/platform/standin"
	"balsamknot.org/review/second/deployment"
)

const (
	hosts   = 5
	servers = 4
	service = "plain"
	key     = "k1"
	region  = "r1"
	// drainLimit is how long hosts may send requests to a server that leaves, and inTouchAfter the time after which a host is in touch again.
	drainLimit   = 2 * time.Second
	inTouchAfter = 3 * time.Second
	// margin is added to both.
	margin = 200 * time.Millisecond
	// changeGap is the time between the configurations before the trouble.
	changeGap = 900 * time.Millisecond
	gap       = 20 * time.Millisecond
	watched   = 2 * time.Second
	logDelay  = 400 * time.Millisecond
)

func main() {
	program := flag.String("entry", "", "path of the deployed program")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	silence := flag.Bool("silence", true, "let the open connections between hosts go silent")
	flag.Parse()
	os.Exit(run(*program, *record, *silence))
}

// ranked returns the numbers of the hosts in the order of a key.
func ranked(key string) []int {
	var ids []host.ID
	numbers := make(map[host.ID]int)
	for i := range hosts {
		id := host.ID(fmt.Sprintf("host-%d", i+1))
		ids = append(ids, id)
		numbers[id] = i
	}
	var order []int
	for _, id := range placement.Rank(key, ids, hosts) {
		order = append(order, numbers[id])
	}
	return order
}

func run(program, recordPath string, silence bool) int {
	record, err := deployment.NewRecord(recordPath)
	if err != nil {
		fmt.Println(err)
		return deployment.ExitNotRun
	}
	fail := func(err error) int {
		record.Printf("could not run: %v", err)
		return deployment.ExitNotRun
	}
	dir, err := os.MkdirTemp("", "case-10-")
	if err != nil {
		return fail(err)
	}
	defer os.RemoveAll(dir)
	store := standin.NewStore()
	defer store.Close()
	store.Publish(1, key)

	var mu sync.Mutex
	// sentAt holds when requests were sent, leavesAt is when the server announced that it leaves, and late counts those that came too late after it.
	sentAt := make(map[string]time.Time)
	var leavesAt time.Time
	late := 0
	var all []*standin.Endpoint
	for i := range servers {
		id := fmt.Sprintf("server-%d", i+1)
		e := standin.NewEndpoint(store, id, service, func(w http.ResponseWriter, r *http.Request) {
			request := r.Header.Get(standin.RequestIDHeader)
			mu.Lock()
			if i == 0 && !leavesAt.IsZero() && time.Since(leavesAt) > drainLimit && sentAt[request].Sub(leavesAt) > drainLimit {
				late++
				record.Printf("%s runs %s, %.0f ms after it announced that it leaves", id, request, float64(time.Since(leavesAt).Milliseconds()))
			}
			mu.Unlock()
			time.Sleep(15 * time.Millisecond)
			_, _ = w.Write([]byte("answer to " + request))
		})
		defer e.Close()
		all = append(all, e)
	}
	d, err := deployment.Start(deployment.Config{
		Program: program, Dir: dir, Hosts: hosts, Links: true, DataCentres: []string{"z1", "z2", "z3", "z4"}, StoreAddress: func(int) string { return store.Address() },
	})
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return fail(err)
	}
	keeper := d.Hosts[ranked(service)[0]]
	readers := ranked("store/" + region)
	first := d.Hosts[readers[0]]
	record.Printf("%s is the keeper of the service; the readers are %s and %s", keeper.Name, first.Name, d.Hosts[readers[1]].Name)
	if readers[0] == ranked(service)[0] || readers[1] == ranked(service)[0] {
		return fail(fmt.Errorf("the keeper reads the store itself"))
	}

	time.Sleep(time.Second)
	record.Printf("%s gets SIGTERM and starts again", first.Name)
	_ = first.Process.Process.Signal(syscall.SIGTERM)
	time.Sleep(2 * time.Second)
	store.Publish(2, key)
	_ = first.Process.Wait()
	if err := first.Start(); err != nil {
		return fail(err)
	}
	if !first.AwaitReady(5 * time.Second) {
		return fail(fmt.Errorf("%s is not ready again", first.Name))
	}
	for version := 3; version <= 5; version++ {
		time.Sleep(changeGap)
		store.Publish(version, key)
	}
	time.Sleep(300 * time.Millisecond)

	silent := time.Now()
	if silence {
		n := 0
		for _, h := range d.Hosts {
			open := h.Link.Silence()
			record.Printf("%d connections of other hosts to %s are open", open, h.Name)
			n += open
		}
		record.Printf("%d open connections between hosts go silent; new ones work", n)
	}
	time.Sleep(inTouchAfter + margin)
	all[0].RegisterDraining()
	mu.Lock()
	leavesAt = time.Now()
	mu.Unlock()
	record.Printf("server-1 announces that it leaves, %.1f s after that", time.Since(silent).Seconds())
	var wg sync.WaitGroup
	for n := 0; time.Since(leavesAt) < drainLimit+watched; n++ {
		id := fmt.Sprintf("request-%d", n)
		mu.Lock()
		sentAt[id] = time.Now()
		mu.Unlock()
		wg.Go(func() {
			a := deployment.Send(keeper, http.MethodGet, "/again/x", id, key, time.Second, nil)
			if a.Err != nil || a.Status != http.StatusOK {
				record.Printf("client gets for %s: status %d, %v", id, a.Status, a.Err)
			}
		})
		time.Sleep(gap)
	}
	wg.Wait()
	time.Sleep(logDelay)
	for _, line := range keeper.Logs("platform") {
		record.Printf("%s logs %s", keeper.Name, line)
	}
	mu.Lock()
	defer mu.Unlock()
	if late > 0 {
		record.Printf("BROKEN: %d requests reached server-1 more than %s after it announced that it leaves", late, drainLimit)
		return deployment.ExitBroken
	}
	record.Printf("held")
	return deployment.ExitHeld
}
