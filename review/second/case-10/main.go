// Command case-10 shows that streams hold events of two software versions, if an idle engine's process ends, starts again with another version under
// its own ID, and ends once more.
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
	engines = 4
	hosts   = 3
	streams = 14
	// streamGap is the time between the requests of two streams.
	streamGap = 40 * time.Millisecond
	// events is the number of events of a stream, fewEvents that of those before the trouble, and interval the time between two.
	events    = 30
	fewEvents = 3
	interval  = 100 * time.Millisecond
	// early is the prefix of the IDs of the requests before the trouble.
	early      = "early-"
	earlyCount = 16
	// idleTime is how long nothing is sent before the engine's process ends, and downTime for how long nothing listens at its address then.
	idleTime = 1500 * time.Millisecond
	downTime = 2 * time.Second
	// registrationLag is the time from the start of a process to its registration, and secondEnd that to its end.
	registrationLag = 800 * time.Millisecond
	secondEnd       = 1500 * time.Millisecond
	timeLeft        = 9 * time.Second
	// allowedMixed is how many streams may hold events of two versions.
	allowedMixed = 2
	logDelay     = 400 * time.Millisecond
	service      = "engines"
	key          = "k1"
	oldVersion   = standin.DefaultVersion
	newVersion   = "v2"
)

func main() {
	if len(os.Args) > 5 && os.Args[1] == deployment.ServerArgument {
		serve(os.Args[2], os.Args[3], os.Args[4], os.Args[5])
		return
	}
	program := flag.String("entry", "", "path of the deployed program")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	restart := flag.Bool("restart", true, "end the engine's process and start it again with another version")
	again := flag.Bool("again", true, "end the second process too")
	flag.Parse()
	os.Exit(run(*program, *record, *restart, *again))
}

// serve is the process of an engine, the start-th under its ID.
func serve(id, address, version, start string) {
	store := standin.NewStore()
	defer store.Close()
	var mu sync.Mutex
	say := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf(format+"\n", args...)
	}
	e := standin.NewEndpoint(store, id, service, func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.Header.Get(standin.LastEventIDHeader))
		say("runs %s after event %d", r.Header.Get(standin.RequestIDHeader), after)
		last := events
		if strings.HasPrefix(r.Header.Get(standin.RequestIDHeader), early) {
			last = fewEvents
		}
		for n := after + 1; n <= last; n++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d by version %s\n\n", n, n, version)
			if http.NewResponseController(w).Flush() != nil || r.Context().Err() != nil {
				return
			}
			time.Sleep(interval)
		}
	})
	e.CachePrompts()
	for started := 1; strconv.Itoa(started) != start; started++ {
		e.Restart()
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return
	}
	say("%s", listener.Addr())
	_ = http.Serve(listener, e.Config.Handler)
}

// stream is what a client got of a stream.
type stream struct {
	seal         string
	status       int
	byOld, byNew int
	ended        bool
}

func (s stream) mixed() bool { return s.byOld > 0 && s.byNew > 0 }

func receive(h *deployment.Host, id, prefix string) (s stream) {
	a := deployment.Send(h, http.MethodPost, "/stream/x", id, key, timeLeft, func(r *http.Request) {
		r.Header.Set(standin.PromptPartsHeader, standin.PromptOf([]string{prefix}, "own"+id))
	})
	s.seal, s.status, s.ended = a.Seal, a.Status, a.Err == nil && a.Status == http.StatusOK
	s.byOld, s.byNew = strings.Count(a.Body, "by version "+oldVersion), strings.Count(a.Body, "by version "+newVersion)
	return s
}

// engine is an engine and its registration.
type engine struct {
	*deployment.Server
	registration *standin.Endpoint
}

func run(program, recordPath string, restart, again bool) int {
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
	store.PublishWithTimeout(1, timeLeft, key)
	all := make(map[string]*engine)
	start := func(id, address, version string, startedAt int) (*deployment.Server, error) {
		process, err := deployment.StartServer(id, address, version, strconv.Itoa(startedAt))
		if err != nil {
			return nil, err
		}
		record.Printf("%s starts at %s with version %s", id, process.Address, version)
		go func() {
			for line := range process.Lines {
				record.Printf("%s (%s) %s", id, version, line)
			}
		}()
		return process, nil
	}
	for i := range engines {
		id := fmt.Sprintf("engine-%d", i+1)
		process, err := start(id, "127.0.0.1:0", oldVersion, 1)
		if err != nil {
			return fail(err)
		}
		e := &engine{process, standin.NewEndpoint(store, id, service, nil)}
		defer func() { e.Kill() }()
		defer e.registration.Close()
		e.registration.RegisterAt(process.Address)
		all["seal-"+id] = e
	}
	d, err := deployment.Start(deployment.Config{
		Program: program, Dir: dir, Hosts: hosts, DataCentres: []string{"z1", "z2", "z3"}, StoreAddress: func(int) string { return store.Address() },
	})
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return fail(err)
	}
	host := d.Hosts[0]

	const prefix = "a1"
	var e *engine
	for i := range earlyCount {
		id := early + strconv.Itoa(i)
		s := receive(host, id, prefix)
		record.Printf("client gets %s: %+v", id, s)
		if s.ended {
			e = all[s.seal]
		}
	}
	if e == nil {
		return fail(fmt.Errorf("no early stream was served"))
	}
	time.Sleep(idleTime)
	address := e.Address
	if restart {
		e.Kill()
		record.Printf("the process of %s is killed; it runs nothing", e.Name)
		time.Sleep(downTime)
		process, err := start(e.Name, address, newVersion, 2)
		if err != nil {
			return fail(err)
		}
		e.Server = process
		time.AfterFunc(registrationLag, func() {
			e.registration.SetVersion(newVersion)
			e.registration.RestartAndRegister()
			record.Printf("%s is registered with version %s", e.Name, newVersion)
		})
		if again {
			time.AfterFunc(secondEnd, func() {
				process.Kill()
				record.Printf("the process of %s is killed again", e.Name)
			})
		}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	mixed := 0
	for i := range streams {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * streamGap)
			id := fmt.Sprintf("stream-%d", i+1)
			record.Printf("client sends %s", id)
			s := receive(host, id, prefix)
			record.Printf("client gets %s: %+v", id, s)
			mu.Lock()
			defer mu.Unlock()
			if s.mixed() {
				mixed++
			}
		})
	}
	wg.Wait()
	time.Sleep(logDelay)
	for _, line := range host.Logs("stream-1\"") {
		record.Printf("%s logs %s", host.Name, line)
	}
	if mixed > allowedMixed {
		record.Printf("BROKEN: %d streams hold events of two versions", mixed)
		return deployment.ExitBroken
	}
	record.Printf("held: %d streams hold events of two versions", mixed)
	return deployment.ExitHeld
}
