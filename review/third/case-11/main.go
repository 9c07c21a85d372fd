// Command case-11 checks that an answer without its signature does not reach the caller as a success.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"balsamknot.org/platform/standin"
	"balsamknot.org/review/third/lab"
)

const (
	hosts     = 8
	runners   = 4
	perSecond = 30
	// sickShare is the share of the runners that spoil spoilShare of their answers, from spoilAt on for spoilTime.
	sickShare  = 0.5
	spoilShare = 0.02
	spoilAt    = 5 * time.Second
	spoilTime  = 6 * time.Second
	spoilPause = time.Second
	workTime   = 30 * time.Millisecond
	length     = 60 * time.Second
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
	spoiled := make(map[string]bool)
	start := time.Now().Add(time.Hour)
	site.Store.Publish(1, "key")
	for n := range runners {
		name := fmt.Sprintf("i-%d", n)
		sick := lab.Trouble() && float64(n) < sickShare*runners
		e := standin.NewEndpoint(site.Store, name, "plain", func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(standin.RequestIDHeader)
			time.Sleep(workTime)
			mu.Lock()
			since := time.Since(start)
			spoil := sick && since > spoilAt && (since-spoilAt)%(spoilTime+spoilPause) < spoilTime && rand.Float64() < spoilShare
			spoiled[id] = spoil
			mu.Unlock()
			record.Printf("run %s at %s spoiled %v", id, name, spoil)
			if spoil {
				spoilHead(w.Header())
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
	mu.Lock()
	start = time.Now()
	mu.Unlock()
	var wg sync.WaitGroup
	statuses, unsigned := make(map[int]int), 0
	for time.Since(start) < length {
		wg.Go(func() {
			id, host, method, path := balancer.NewID(), balancer.Pick(), http.MethodPost, "/once/x"
			if rand.N(3) == 0 {
				method, path = http.MethodGet, "/again/x"
			}
			record.Printf("sent %s to %s", id, host.Name)
			a := balancer.Call(host, method, path, id, "key", "", 1500*time.Millisecond, nil)
			record.Printf("answered %s %d signature %q %v", id, a.Status, a.Seal, a.Err)
			mu.Lock()
			defer mu.Unlock()
			statuses[a.Status]++
			if a.Err == nil && a.Status/100 == 2 && a.Seal == "" {
				unsigned++
				record.Say("request %s (%s) through %s: status %d without a signature, spoiled by the runner %v", id, path, host.Name, a.Status, spoiled[id])
			}
		})
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / perSecond))
	}
	wg.Wait()
	record.Say("answers by status: %v; %d successes without a signature", statuses, unsigned)
	if unsigned > 0 {
		record.Say("MIXED broken")
		return lab.ExitBroken
	}
	record.Say("MIXED held")
	return lab.ExitHeld
}

// spoilHead makes one byte wrong in the name of the signature's header.
func spoilHead(h http.Header) {
	seal := h.Get(standin.SealHeader)
	h.Del(standin.SealHeader)
	h.Set(strings.Replace(standin.SealHeader, "ea", "eq", 1), seal)
}
