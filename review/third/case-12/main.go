// Command case-12 checks that streams do not go on at another software version after all hosts were killed amid a release.
package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"balsamknot.org/review/third/lab"
)

const (
	hosts = 3
	// sessions is how many sessions there are. A stream of each begins before the release, and another one after it.
	sessions = 6
	// The release: the new engines start, the old ones drain, and the second half of the streams begins, at these times after the first stream.
	newAfter    = 600 * time.Millisecond
	drainAfter  = 1200 * time.Millisecond
	secondAfter = 1700 * time.Millisecond
	// drainTime is the least time from the report of an engine that it drains to its end: drain_ms and a little longer. It ends when it runs
	// nothing any more then.
	drainTime = 2100 * time.Millisecond
	// killAfter is the time from the first stream to the end of the hosts' processes, and downTime how long these are down.
	killAfter = 2700 * time.Millisecond
	downTime  = 950 * time.Millisecond
	timeLeft  = 15 * time.Second
	pause     = 500 * time.Millisecond
	stable    = 3 * time.Second
	// allowed is how many streams may hold events of two versions.
	allowed = 2
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
	for n, version := range []string{"v1", "v1", "v2", "v2"} {
		e := lab.NewEngine(site, fmt.Sprintf("i-%d", n+1), version, shape)
		defer e.Close()
		engines = append(engines, e)
	}
	old, fresh := engines[:2], engines[2:]
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
	time.AfterFunc(drainAfter, func() {
		for _, e := range old {
			e.Drain()
			go e.Leave(drainTime)
		}
	})
	if lab.Trouble() {
		time.AfterFunc(killAfter, func() { site.KillAll(downTime) })
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	mixed := 0
	for i := range 2 * sessions {
		wg.Go(func() {
			time.Sleep(time.Duration(i%sessions) * 40 * time.Millisecond)
			if i >= sessions {
				time.Sleep(secondAfter)
			}
			name := fmt.Sprintf("stream-%d", i+1)
			r := balancer.ReceiveStream(name, []string{"a1"}, fmt.Sprintf("5e551%d", i%sessions), shape, timeLeft, pause, stable)
			record.Say("%s: events by version %v, whole %v", name, r.Events, r.Whole)
			mu.Lock()
			defer mu.Unlock()
			if r.Mixed() {
				mixed++
			}
		})
	}
	wg.Wait()
	record.Say("%d streams hold events of two versions; %d allowed", mixed, allowed)
	if mixed > allowed {
		record.Say("ORDER broken")
		return lab.ExitBroken
	}
	record.Say("ORDER held")
	return lab.ExitHeld
}
