// Command case-15 checks that a request that crashes runners is blocked while the store has entries of another writer.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"balsamknot.org/platform/standin"
	"balsamknot.org/review/third/lab"
)

const (
	hosts    = 8
	runners  = 18
	downTime = 2500 * time.Millisecond
	stable   = 3 * time.Second
	badBody  = "crash"
	// allowed is how many retries of the request may reach runners later than stable after the third crash.
	allowed  = 3
	crashes  = 3
	soundGap = 14 * time.Millisecond
	workTime = 250 * time.Millisecond
	badGap   = 3200 * time.Millisecond
	badAt    = 66 * time.Second
	length   = 107 * time.Second
	// foreignService is a service that no configuration names.
	foreignService = "elsewhere"
)

func main() { os.Exit(run()) }

type arrival struct {
	at   time.Time
	host *lab.Host
}

func run() int {
	record := lab.NewRecord()
	defer record.Close()
	site, err := lab.NewSite(record, lab.Config{Hosts: hosts})
	if err != nil {
		record.Say("could not run: %v", err)
		return lab.ExitNotRun
	}
	defer site.Close()
	var mu sync.Mutex
	sentTo := make(map[string]*lab.Host)
	bad := make(map[string]bool)
	var arrivals []arrival
	site.Store.Publish(1, "key")
	for n := range runners {
		name := fmt.Sprintf("i-%d", n)
		c := lab.NewCrasher(site, name, "plain", downTime, func(w http.ResponseWriter, r *http.Request) bool {
			id := r.Header.Get(standin.RequestIDHeader)
			mu.Lock()
			crash := bad[id]
			if crash {
				arrivals = append(arrivals, arrival{at: time.Now(), host: sentTo[id]})
			}
			mu.Unlock()
			record.Printf("run %s at %s crash %v", id, name, crash)
			time.Sleep(workTime)
			if !crash {
				_, _ = w.Write([]byte("done " + id))
			}
			return crash
		})
		defer c.End()
		if lab.Trouble() {
			foreign := standin.NewEndpoint(site.Store, "z-"+name, foreignService, nil)
			defer foreign.Close()
			foreign.RegisterAt(c.Listener.Addr().String())
			record.Printf("another writer registers z-%s of service %s at the address of %s", name, foreignService, name)
		}
	}
	if err := site.Start(); err != nil {
		record.Say("could not run: %v", err)
		return lab.ExitNotRun
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	balancer := lab.NewBalancer(ctx, site)
	start := time.Now()
	statuses := map[bool]map[int]int{true: {}, false: {}}
	var wg sync.WaitGroup
	send := func(crash bool, host *lab.Host) {
		id, body := balancer.NewID(), badBody
		if !crash {
			body = "body of " + id
		}
		mu.Lock()
		sentTo[id], bad[id] = host, crash
		mu.Unlock()
		record.Printf("sent %s to %s crash %v", id, host.Name, crash)
		a := balancer.Call(host, http.MethodPost, "/once/x", id, "key", body, 1500*time.Millisecond, nil)
		record.Printf("answered %s %d %v", id, a.Status, a.Err)
		mu.Lock()
		statuses[crash][a.Status]++
		mu.Unlock()
	}
	wg.Go(func() {
		for time.Since(start) < length {
			wg.Go(func() { send(false, balancer.Pick()) })
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(soundGap)))
		}
	})
	wg.Go(func() {
		time.Sleep(badAt)
		for time.Since(start) < length {
			wg.Go(func() { send(true, balancer.Pick()) })
			time.Sleep(badGap)
		}
	})
	wg.Wait()
	record.Say("answers by status: sound %v, the request that crashes %v", statuses[false], statuses[true])
	return judge(record, start, arrivals)
}

func judge(record *lab.Record, start time.Time, arrivals []arrival) int {
	if len(arrivals) < crashes {
		record.Say("the request reached runners only %d times", len(arrivals))
		return lab.ExitNotRun
	}
	third, late := arrivals[crashes-1].at, 0
	for n, a := range arrivals {
		counts := a.at.Sub(third) > stable
		if counts {
			late++
		}
		record.Say("the request reached a runner for the %d. time at %.1f s from %s, counts %v", n+1, a.at.Sub(start).Seconds(), a.host.Name, counts)
	}
	record.Say("it reached runners %d times later than %s after the third crash, sent by hosts in touch; %d allowed", late, stable, allowed)
	if late > allowed {
		record.Say("BUDGET broken")
		return lab.ExitBroken
	}
	record.Say("BUDGET held")
	return lab.ExitHeld
}
