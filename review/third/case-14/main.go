// Command case-14 checks that the retries of a service stay within the budget that all hosts share while hosts are replaced in turn.
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

// The deployment's budget, and the load.
const (
	retryRatio  = 0.2
	retrySlack  = 56.0
	retryWindow = 10 * time.Second
	hosts       = 8
	runners     = 6
	perSecond   = 70
	failShare   = 0.45
	failTime    = 6500 * time.Millisecond
	failPause   = 500 * time.Millisecond
	workTime    = 30 * time.Millisecond
	rollAt      = 26 * time.Second
	rollGap     = 1300 * time.Millisecond
	failAt      = 15 * time.Second
	length      = 50 * time.Second
)

func main() { os.Exit(run()) }

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
	arrived := make(map[string]int)
	var sent, repeats lab.Events
	start := time.Now()
	site.Store.Publish(1, "key")
	for n := range runners {
		name := fmt.Sprintf("i-%d", n)
		e := standin.NewEndpoint(site.Store, name, "plain", func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(standin.RequestIDHeader)
			mu.Lock()
			arrived[id]++
			again := arrived[id] > 1
			mu.Unlock()
			if again {
				repeats.Add()
			}
			record.Printf("run %s at %s again %v", id, name, again)
			time.Sleep(workTime)
			if failing(time.Since(start)) && rand.Float64() < failShare {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			_, _ = w.Write([]byte("done " + id))
		})
		defer e.Close()
	}
	if err := site.Start(); err != nil {
		record.Say("could not run: %v", err)
		return lab.ExitNotRun
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	balancer := lab.NewBalancer(ctx, site)
	start = time.Now()
	var wg sync.WaitGroup
	if lab.Trouble() {
		wg.Go(func() { roll(record, site, start) })
	}
	statuses := make(map[int]int)
	for time.Since(start) < length {
		wg.Go(func() {
			id, host := balancer.NewID(), balancer.Pick()
			sent.Add()
			record.Printf("sent %s to %s", id, host.Name)
			a := balancer.Call(host, http.MethodGet, "/again/x", id, "key", "", 1500*time.Millisecond, nil)
			record.Printf("answered %s %d %v", id, a.Status, a.Err)
			mu.Lock()
			statuses[a.Status]++
			mu.Unlock()
		})
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / perSecond))
	}
	wg.Wait()
	record.Say("answers by status: %v", statuses)
	return judge(record, start, sent.Times(), repeats.Times())
}

// failing reports whether the runners fail a share of their requests: for failTime, again and again.
func failing(since time.Duration) bool {
	return since > failAt && (since-failAt)%(failTime+failPause) < failTime
}

// roll stops and starts all hosts in turn.
func roll(record *lab.Record, site *lab.Site, start time.Time) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n, h := range site.Hosts {
		time.Sleep(time.Until(start.Add(rollAt + time.Duration(n)*rollGap)))
		record.Say("SIGTERM %s", h.Name)
		wg.Go(func() {
			h.Terminate(8 * time.Second)
			if err := h.Start(); err != nil {
				record.Say("start %s: %v", h.Name, err)
			}
		})
	}
}

// judge applies the rule to each window that ends with a repeat.
func judge(record *lab.Record, start time.Time, sent, repeats []time.Time) int {
	worst, worstAt, worstRepeats, worstAllowed := -1e9, start, 0, 0.0
	for _, t := range repeats {
		n := lab.Between(repeats, t.Add(-retryWindow), t)
		requests := max(lab.Between(sent, t.Add(-retryWindow), t), lab.Between(sent, t.Add(-2*retryWindow), t.Add(-retryWindow)),
			lab.Between(sent, t.Add(-3*retryWindow/2), t.Add(-retryWindow/2)))
		allowed := retryRatio*float64(requests) + retrySlack
		if over := float64(n) - allowed; over > worst {
			worst, worstAt, worstRepeats, worstAllowed = over, t, n, allowed
		}
	}
	record.Say("%d requests, %d repeats; worst 10 s end at %.1f s: %d repeats, %.0f allowed", len(sent), len(repeats), worstAt.Sub(start).Seconds(), worstRepeats, worstAllowed)
	if worst > 0 {
		record.Say("BUDGET broken")
		return lab.ExitBroken
	}
	record.Say("BUDGET held")
	return lab.ExitHeld
}
