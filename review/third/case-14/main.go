// Command case-14 checks that a part of a prompt that crashes engines stays blocked when the processes of all hosts are killed at once.
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
	hosts     = 8
	engines   = 8
	downTime  = 3 * time.Second
	stable    = 3 * time.Second
	badPart   = "bad0"
	soundPart = "5a"
	// allowed is how many requests with the part may reach engines later than stable after the fifth crash.
	allowed  = 3
	crashes  = 5
	soundGap = 100 * time.Millisecond
	badGap   = time.Second
	badAt    = 5 * time.Second
	killAt   = 35 * time.Second
	killTime = time.Second
	length   = 75 * time.Second
)

func main() { os.Exit(run()) }

type arrival struct {
	at   time.Time
	host *lab.Host
	up   time.Duration
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
	var arrivals []arrival
	site.Store.Publish(1, "key")
	for n := range engines {
		name := fmt.Sprintf("i-%d", n)
		c := lab.NewCrasher(site, name, "engines", downTime, func(w http.ResponseWriter, r *http.Request) bool {
			id := r.Header.Get(standin.RequestIDHeader)
			bad := standin.SharesPart(r, badPart)
			record.Printf("run %s at %s bad %v", id, name, bad)
			if bad {
				mu.Lock()
				h := sentTo[id]
				arrivals = append(arrivals, arrival{at: time.Now(), host: h, up: h.UpFor()})
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
				return true
			}
			lab.Stream(w, id, 4, 20*time.Millisecond)
			return false
		})
		defer c.End()
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
	send := func(bad bool) {
		id, host := balancer.NewID(), balancer.Pick()
		parts := []string{soundPart}
		if bad {
			parts = append(parts, badPart)
		}
		mu.Lock()
		sentTo[id] = host
		mu.Unlock()
		record.Printf("sent %s to %s bad %v", id, host.Name, bad)
		header := http.Header{standin.PromptPartsHeader: {standin.PromptOf(parts, id)}}
		a := balancer.Call(host, http.MethodPost, "/stream/x", id, "key", "body of "+id, 2500*time.Millisecond, header)
		record.Printf("answered %s %d %v", id, a.Status, a.Err)
		mu.Lock()
		statuses[bad][a.Status]++
		mu.Unlock()
	}
	wg.Go(func() {
		for time.Since(start) < length {
			wg.Go(func() { send(false) })
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(soundGap)))
		}
	})
	wg.Go(func() {
		time.Sleep(badAt)
		for time.Since(start) < length {
			wg.Go(func() { send(true) })
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(badGap)))
		}
	})
	if lab.Trouble() {
		wg.Go(func() { killAll(record, site, start) })
	}
	wg.Wait()
	record.Say("answers by status: sound %v, with the part %v", statuses[false], statuses[true])
	return judge(record, start, arrivals)
}

// killAll kills the processes of all hosts at the same moment and starts them again.
func killAll(record *lab.Record, site *lab.Site, start time.Time) {
	time.Sleep(time.Until(start.Add(killAt)))
	record.Say("kill all hosts")
	var wg sync.WaitGroup
	for _, h := range site.Hosts {
		wg.Go(h.Kill)
	}
	wg.Wait()
	time.Sleep(killTime)
	for _, h := range site.Hosts {
		if err := h.Start(); err != nil {
			record.Say("start %s: %v", h.Name, err)
		}
	}
	record.Say("all hosts are started")
}

func judge(record *lab.Record, start time.Time, arrivals []arrival) int {
	if len(arrivals) < crashes {
		record.Say("only %d requests with the part reached engines", len(arrivals))
		return lab.ExitNotRun
	}
	fifth, late := arrivals[crashes-1].at, 0
	for n, a := range arrivals {
		counts := a.at.Sub(fifth) > stable && a.up > stable
		if counts {
			late++
		}
		record.Say("request %d with the part reached an engine at %.1f s from %s, up for %.1f s, counts %v", n+1, a.at.Sub(start).Seconds(), a.host.Name, a.up.Seconds(), counts)
	}
	record.Say("%d requests reached engines later than %s after the fifth crash, sent by hosts in touch; %d allowed", late, stable, allowed)
	if late > allowed {
		record.Say("BUDGET broken")
		return lab.ExitBroken
	}
	record.Say("BUDGET held")
	return lab.ExitHeld
}
