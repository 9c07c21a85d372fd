// Command case-13 checks that streams of two software versions go on after all hosts were killed.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"balsamknot.org/platform/standin"
	"balsamknot.org/review/third/lab"
)

const (
	hosts = 3
	// sessions is how many sessions there are. A stream of each begins before the release, and another one after it.
	sessions = 9
	// Engines of the second version start, and the second half of the streams begins, at these times after the first stream.
	newAfter    = 600 * time.Millisecond
	secondAfter = 1500 * time.Millisecond
	// killAfter is the time from the first stream to the end of the hosts' processes, and downTime how long these are down.
	killAfter = 2700 * time.Millisecond
	downTime  = 950 * time.Millisecond
	timeLeft  = 15 * time.Second
	pause     = 500 * time.Millisecond
	stable    = 3 * time.Second
	// newEvery is the time between two new streams of other sessions.
	newEvery = 400 * time.Millisecond
	length   = 14 * time.Second
	// least is how many streams must be taken up for the rule to be judged.
	least = 12
)

var shape = lab.Shape{Events: 40, Interval: 100 * time.Millisecond}

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
	site.Store.PublishWithTimeout(1, timeLeft, "key")
	var engines []*lab.Engine
	for n, version := range []string{"v1", "v1", "v1", "v2", "v2", "v2"} {
		e := lab.NewEngine(site, fmt.Sprintf("i-%d", n+1), version, shape)
		defer e.Close()
		engines = append(engines, e)
	}
	old, fresh := engines[:3], engines[3:]
	for _, e := range old {
		e.Register()
	}
	if err := site.Start(); err != nil {
		record.Say("could not run: %v", err)
		return lab.ExitNotRun
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	balancer := lab.NewBalancer(ctx, site)
	time.Sleep(time.Second)
	time.AfterFunc(newAfter, func() {
		for _, e := range fresh {
			e.Register()
		}
	})
	if lab.Trouble() {
		time.AfterFunc(killAfter, func() { site.KillAll(downTime) })
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	takenUp, wentOn, begun, began := 0, 0, 0, 0
	start := time.Now()
	for i := range 2 * sessions {
		wg.Go(func() {
			time.Sleep(time.Duration(i%sessions) * 40 * time.Millisecond)
			if i >= sessions {
				time.Sleep(secondAfter)
			}
			name := fmt.Sprintf("stream-%d", i+1)
			// A stream that goes on before hosts are in touch again is not taken up at one in touch.
			r := balancer.ReceiveStream(name, []string{"a1"}, fmt.Sprintf("5e551%d", i%sessions), shape, timeLeft, pause, stable)
			record.Say("%s: events by version %v, taken up %v, went on %v, whole %v", name, r.Events, r.TakenUp, r.WentOn, r.Whole)
			mu.Lock()
			defer mu.Unlock()
			if r.TakenUp {
				takenUp++
			}
			if r.WentOn {
				wentOn++
			}
		})
	}
	wg.Go(func() {
		for n := 0; time.Since(start) < length; n++ {
			time.Sleep(newEvery)
			wg.Go(func() {
				id, h := balancer.NewID(), balancer.Pick()
				inTouch := h.UpFor() > stable
				header := http.Header{standin.PromptPartsHeader: {standin.PromptOf([]string{"a1"}, fmt.Sprintf("c0ffee%d", n))}}
				a := balancer.Call(h, http.MethodPost, "/stream/x", id, "key", "body", 2500*time.Millisecond, header)
				record.Printf("new stream %s through %s: status %d, in touch %v", id, h.Name, a.Status, inTouch)
				mu.Lock()
				defer mu.Unlock()
				if !inTouch {
					return
				}
				if begun++; a.Status == http.StatusOK {
					began++
				}
			})
		}
	})
	wg.Wait()
	record.Say("%d streams were taken up again at hosts in touch, %d went on; of %d new ones at such hosts %d began", takenUp, wentOn, begun, began)
	if takenUp >= least && 2*wentOn*begun < began*takenUp {
		record.Say("LOST broken")
		return lab.ExitBroken
	}
	record.Say("LOST held")
	return lab.ExitHeld
}
