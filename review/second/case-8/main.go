// Command case-8 shows that a host which is told to stop cuts whole streams of sound servers that close idle connections.
package main

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"balsamknot.org/platform/standin"
	"balsamknot.org/review/second/deployment"
)

const (
	engines = 4
	hosts   = 3
	// pairs is how many pairs of streams are sent, each with a prefix of its own.
	pairs = 4
	// events is the number of events of a stream, interval the time between two, and apart the time between the requests of a pair.
	events   = 15
	interval = 100 * time.Millisecond
	apart    = 500 * time.Millisecond
	// stopAfter is the time from the first request to the signal.
	stopAfter = 700 * time.Millisecond
	// shortIdle is after which time servers close connections on which nothing comes, and longIdle the same with TROUBLE=0.
	shortIdle = 300 * time.Millisecond
	longIdle  = time.Minute
	timeLeft  = 8 * time.Second
	logDelay  = 400 * time.Millisecond
	service   = "engines"
	key       = "k1"
)

func main() {
	if len(os.Args) > 3 && os.Args[1] == deployment.ServerArgument {
		serve(os.Args[2], os.Args[3])
		return
	}
	program := flag.String("entry", "", "path of the deployed program")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	closeIdle := flag.Bool("close-idle", true, "let servers close idle connections soon")
	flag.Parse()
	os.Exit(run(*program, *record, *closeIdle))
}

func text(id string, n int) string { return fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", n, n, id) }

// whole is the whole stream of a request.
func whole(id string) string {
	var all strings.Builder
	for n := 1; n <= events; n++ {
		all.WriteString(text(id, n))
	}
	return all.String()
}

// serve is the process of an engine. Its streams have neither a length nor chunks: the end of their connections ends them.
func serve(id, idle string) {
	store := standin.NewStore()
	defer store.Close()
	var mu sync.Mutex
	say := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf(format+"\n", args...)
	}
	e := standin.NewEndpoint(store, id, service, func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get(standin.RequestIDHeader)
		say("runs %s", request)
		conn, err := standin.BeginRaw(w, "")
		if err != nil {
			return
		}
		defer conn.Close()
		for n := 1; n <= events; n++ {
			if _, err := io.WriteString(conn, text(request, n)); err != nil {
				say("is cut off from %s", request)
				return
			}
			time.Sleep(interval)
		}
		say("has sent all of %s", request)
	})
	e.CachePrompts()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return
	}
	say("%s", listener.Addr())
	limit, _ := time.ParseDuration(idle)
	server := &http.Server{Handler: e.Config.Handler, IdleTimeout: limit, ReadHeaderTimeout: limit}
	_ = server.Serve(listener)
}

func run(program, recordPath string, closeIdle bool) int {
	record, err := deployment.NewRecord(recordPath)
	if err != nil {
		fmt.Println(err)
		return deployment.ExitNotRun
	}
	fail := func(err error) int {
		record.Printf("could not run: %v", err)
		return deployment.ExitNotRun
	}
	dir, err := os.MkdirTemp("", "case-8-")
	if err != nil {
		return fail(err)
	}
	defer os.RemoveAll(dir)
	store := standin.NewStore()
	defer store.Close()
	store.PublishWithTimeout(1, timeLeft, key)
	idle := longIdle
	if closeIdle {
		idle = shortIdle
	}
	record.Printf("servers close connections on which nothing comes after %s", idle)
	for i := range engines {
		id := fmt.Sprintf("engine-%d", i+1)
		process, err := deployment.StartServer(id, idle.String())
		if err != nil {
			return fail(err)
		}
		defer process.Kill()
		registration := standin.NewEndpoint(store, id, service, nil)
		defer registration.Close()
		registration.RegisterAt(process.Address)
		go func() {
			for line := range process.Lines {
				record.Printf("%s %s", id, line)
			}
		}()
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
	var mu sync.Mutex
	var wg sync.WaitGroup
	cut := 0
	send := func(id, prefix string) {
		record.Printf("client sends %s", id)
		a := deployment.Send(host, http.MethodPost, "/draft/x", id, key, timeLeft, func(r *http.Request) {
			r.Header.Set(standin.PromptPartsHeader, standin.PromptOf([]string{prefix}, "own"+id))
		})
		record.Printf("client gets for %s: status %d, %d of %d bytes, %v", id, a.Status, len(a.Body), len(whole(id)), a.Err)
		if a.Status == http.StatusOK && a.Err != nil {
			mu.Lock()
			defer mu.Unlock()
			cut++
		}
	}
	for i := range pairs {
		prefix := fmt.Sprintf("a%d", i+1)
		wg.Go(func() { send(fmt.Sprintf("first-%d", i+1), prefix) })
		wg.Go(func() {
			time.Sleep(apart)
			send(fmt.Sprintf("second-%d", i+1), prefix)
		})
	}
	time.Sleep(stopAfter)
	if err := host.Process.Process.Signal(syscall.SIGTERM); err != nil {
		return fail(err)
	}
	record.Printf("%s gets SIGTERM", host.Name)
	wg.Wait()
	time.Sleep(logDelay)
	for _, line := range host.Logs("second-") {
		record.Printf("%s logs %s", host.Name, line)
	}
	if cut > 0 {
		record.Printf("BROKEN: %d streams were cut, whose servers had sent all of them", cut)
		return deployment.ExitBroken
	}
	record.Printf("held")
	return deployment.ExitHeld
}
