// Command case-7 shows that streams go on at another software version than the one that began them, if all hosts are restarted while the last engines
// of the old version drain.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"balsamknot.org/platform/standin"
	"balsamknot.org/review/second/deployment"
)

const (
	hosts = 3
	// things is how many things the streams are about: as many begin before the release, and as many after it.
	things = 6
	// streamGap is the time between the requests of two streams.
	streamGap = 40 * time.Millisecond
	// events is the number of events of a stream, and interval the time between two.
	events   = 40
	interval = 100 * time.Millisecond
	// The release: the new engines start, the old ones drain, and the second half of the streams begins, at these times after the first stream.
	newAfter    = 600 * time.Millisecond
	drainAfter  = 1200 * time.Millisecond
	secondAfter = 1700 * time.Millisecond
	// killAfter is the time from the first stream to the end of the hosts' processes, and downTime how long these are down.
	killAfter = 2500 * time.Millisecond
	downTime  = 500 * time.Millisecond
	// drainTime is the shortest time from the begin of an engine's drain to its end. It ends when it runs nothing any more then.
	drainTime = 2500 * time.Millisecond
	// tries is how often a client sends, and pause the shortest time between two.
	tries    = 12
	pause    = 500 * time.Millisecond
	timeLeft = 15 * time.Second
	// allowedMixed is how many streams may hold events of two versions.
	allowedMixed = 2
	service      = "engines"
	key          = "k1"
	oldVersion   = standin.DefaultVersion
	newVersion   = "v2"
	// prefix is the part that all prompts share, and thing the start of the last part.
	prefix = "a1"
	thing  = "5e551"
	// length is the length of a prompt and the largest of an answer, in tokens.
	length = "200,60"
)

func main() {
	if len(os.Args) > 3 && os.Args[1] == deployment.ServerArgument {
		serve(os.Args[2], os.Args[3])
		return
	}
	program := flag.String("entry", "", "path of the deployed program")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	lengthHeader := flag.String("length-header", "", "file with the name of the header for the length of a prompt")
	kill := flag.Bool("kill", true, "end the processes of all hosts")
	flag.Parse()
	os.Exit(run(*program, *recordPath, *lengthHeader, *kill))
}

// serve is the process of an engine.
func serve(id, version string) {
	store := standin.NewStore()
	defer store.Close()
	var mu sync.Mutex
	running := 0
	say := func(change int, format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		running += change
		fmt.Printf(format+"; %d running\n", append(args, running)...)
	}
	e := standin.NewEndpoint(store, id, service, func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get(standin.RequestIDHeader)
		after, _ := strconv.Atoi(r.Header.Get(standin.LastEventIDHeader))
		say(1, "runs %s after event %d", request, after)
		for n := after + 1; n <= events; n++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d by version %s\n\n", n, n, version)
			if http.NewResponseController(w).Flush() != nil || r.Context().Err() != nil {
				say(-1, "stops %s at event %d", request, n)
				return
			}
			time.Sleep(interval)
		}
		say(-1, "ends %s", request)
	})
	e.CachePrompts()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return
	}
	fmt.Println(listener.Addr())
	_ = http.Serve(listener, e.Config.Handler)
}

// engine is an engine and its registration.
type engine struct {
	*deployment.Server
	registration *standin.Endpoint
	version      string
	// empty receives a value when the engine runs nothing any more.
	empty chan struct{}
}

func run(program, recordPath, lengthHeader string, kill bool) int {
	record, err := deployment.NewRecord(recordPath)
	if err != nil {
		fmt.Println(err)
		return deployment.ExitNotRun
	}
	fail := func(err error) int {
		record.Printf("could not run: %v", err)
		return deployment.ExitNotRun
	}
	name, err := os.ReadFile(lengthHeader)
	if err != nil {
		return fail(err)
	}
	dir, err := os.MkdirTemp("", "case-7-")
	if err != nil {
		return fail(err)
	}
	defer os.RemoveAll(dir)
	store := standin.NewStore()
	defer store.Close()
	store.PublishWithTimeout(1, timeLeft, key)
	var all []*engine
	for i, version := range []string{oldVersion, oldVersion, newVersion, newVersion} {
		e := &engine{version: version, empty: make(chan struct{}, 1024)}
		if e.Server, err = deployment.StartServer(fmt.Sprintf("engine-%d", i+1), version); err != nil {
			return fail(err)
		}
		defer e.Kill()
		e.registration = standin.NewEndpoint(store, e.Name, service, nil)
		defer e.registration.Close()
		e.registration.Deregister()
		e.registration.SetVersion(version)
		all = append(all, e)
		go func() {
			for line := range e.Lines {
				record.Printf("%s (%s) %s", e.Name, e.version, line)
				if strings.HasSuffix(line, "; 0 running") {
					e.empty <- struct{}{}
				}
			}
		}()
	}
	// register registers the engines of a version.
	register := func(version string) {
		for _, e := range all {
			if e.version != version {
				continue
			}
			e.registration.RegisterAt(e.Address)
			record.Printf("%s is registered with version %s", e.Name, version)
		}
	}
	register(oldVersion)
	d, err := deployment.Start(deployment.Config{
		Program: program, Dir: dir, Hosts: hosts, DataCentres: []string{"z1", "z2", "z3"}, StoreAddress: func(int) string { return store.Address() },
	})
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return fail(err)
	}
	time.AfterFunc(newAfter, func() { register(newVersion) })
	time.AfterFunc(drainAfter, func() {
		for _, e := range all {
			if e.version == oldVersion {
				e.registration.RegisterDraining()
				record.Printf("%s drains", e.Name)
				go e.leaveWhenEmpty(record)
			}
		}
	})
	if kill {
		time.AfterFunc(killAfter, func() { restart(record, d) })
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	mixed := 0
	for i := range 2 * things {
		wg.Go(func() {
			time.Sleep(time.Duration(i%things) * streamGap)
			if i >= things {
				time.Sleep(secondAfter)
			}
			if receive(record, d, i, strings.TrimSpace(string(name))) {
				mu.Lock()
				mixed++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if mixed > allowedMixed {
		record.Printf("BROKEN: %d streams hold events of two versions", mixed)
		return deployment.ExitBroken
	}
	record.Printf("held: %d streams hold events of two versions", mixed)
	return deployment.ExitHeld
}

// restart kills the processes of all hosts and starts them again.
func restart(record *deployment.Record, d *deployment.Deployment) {
	for _, h := range d.Hosts {
		h.Kill()
	}
	record.Printf("the processes of all hosts are killed")
	time.Sleep(downTime)
	for _, h := range d.Hosts {
		if err := h.Start(); err != nil {
			record.Printf("%s does not start: %v", h.Name, err)
		}
	}
	record.Printf("the processes of all hosts are started")
}

// leaveWhenEmpty ends a draining engine and removes its registration when it runs nothing any more.
func (e *engine) leaveWhenEmpty(record *deployment.Record) {
	shortest := time.After(drainTime)
	<-e.empty
	<-shortest
	e.registration.Deregister()
	e.Kill()
	record.Printf("%s has left", e.Name)
}

// receive is a client, which takes its stream up again when it is cut. It reports whether the stream holds events of two versions.
func receive(record *deployment.Record, d *deployment.Deployment, i int, lengthHeader string) bool {
	first := fmt.Sprintf("stream-%d", i+1)
	end := time.Now().Add(timeLeft)
	last, byOld, byNew := 0, 0, 0
	origin := ""
	for try := range tries {
		h := d.Hosts[(i+try)%hosts]
		id := fmt.Sprintf("%s-try-%d", first, try+1)
		a := deployment.Send(h, http.MethodPost, "/stream/x", id, key, time.Until(end), func(r *http.Request) {
			r.Header.Set(standin.PromptPartsHeader, standin.PromptOf([]string{prefix}, thing+strconv.Itoa(i%things)))
			r.Header.Set(lengthHeader, length)
			if origin != "" {
				r.Header.Set(standin.ResumesHeader, origin)
				r.Header.Set(standin.LastEventIDHeader, strconv.Itoa(last))
			}
		})
		whole := a.Body[:strings.LastIndex(a.Body, "\n\n")+1]
		o, n := strings.Count(whole, "by version "+oldVersion), strings.Count(whole, "by version "+newVersion)
		record.Printf("client gets for %s from %s: status %d, %d events of %s, %d of %s, %v", id, h.Name, a.Status, o, oldVersion, n, newVersion, a.Err)
		byOld, byNew, last = byOld+o, byNew+n, last+o+n
		if origin == "" && last > 0 {
			origin = id
		}
		if last >= events || time.Until(end) < time.Second {
			break
		}
		time.Sleep(pause)
	}
	return byOld > 0 && byNew > 0
}
