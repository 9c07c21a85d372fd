// Command case-6 shows that a truncated answer looks complete to its client, if its server's process ends while connections that were open before have
// gone silent.
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
	"time"

	"balsamknot.org/platform/standin"
	"balsamknot.org/review/second/deployment"
)

const (
	servers = 4
	hosts   = 3
	// silentFor is how long before the request the open connections go silent, and answerPause the time between the halves of an answer.
	silentFor   = 1050 * time.Millisecond
	answerPause = 200 * time.Millisecond
	// logDelay is the time after which hosts have written their logs.
	logDelay = 400 * time.Millisecond
	service  = "plain"
	key      = "k1"
)

func main() {
	if len(os.Args) > 2 && os.Args[1] == deployment.ServerArgument {
		serve(os.Args[2])
		return
	}
	program := flag.String("entry", "", "path of the deployed program")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	silence := flag.Bool("silence", true, "let the open connections go silent")
	crash := flag.Bool("crash", true, "end the server's process while it answers")
	flag.Parse()
	os.Exit(run(*program, *record, *silence, *crash))
}

// body is the whole body of the answer to a request.
func body(id string) string {
	var text strings.Builder
	for n := range 20 {
		_, _ = fmt.Fprintf(&text, "line %d of the answer to %s\n", n, id)
	}
	return text.String()
}

// serve is the server's process. Its answers have neither a length nor chunks: the end of their connections ends them.
func serve(name string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return
	}
	var mu sync.Mutex
	say := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf(format+"\n", args...)
	}
	say("%s", listener.Addr())
	_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(standin.RequestIDHeader)
		if id == "" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		say("runs %s", id)
		w.Header().Set(standin.RequestIDHeader, id)
		w.Header().Set(standin.SealHeader, "seal-"+name)
		conn, err := standin.BeginRaw(w, "")
		if err != nil {
			return
		}
		defer conn.Close()
		text := body(id)
		_, _ = io.WriteString(conn, text[:len(text)/2])
		say("half %s", id)
		time.Sleep(answerPause)
		_, _ = io.WriteString(conn, text[len(text)/2:])
		say("whole %s", id)
	}))
}

// server is a server with the proxy in front of it.
type server struct {
	*deployment.Server
	proxy *deployment.Proxy
}

func run(program, recordPath string, silence, crash bool) int {
	record, err := deployment.NewRecord(recordPath)
	if err != nil {
		fmt.Println(err)
		return deployment.ExitNotRun
	}
	dir, err := os.MkdirTemp("", "case-6-")
	if err != nil {
		record.Printf("%v", err)
		return deployment.ExitNotRun
	}
	defer os.RemoveAll(dir)
	store := standin.NewStore()
	defer store.Close()
	store.Publish(1, key)

	var all []*server
	// ran receives the server and the line for each answer that is half sent.
	type half struct {
		s  *server
		id string
	}
	halves := make(chan half, 1024)
	for i := range servers {
		process, err := deployment.StartServer(fmt.Sprintf("server-%d", i+1))
		if err != nil {
			record.Printf("%v", err)
			return deployment.ExitNotRun
		}
		defer process.Kill()
		proxy, err := deployment.NewProxy(process.Address)
		if err != nil {
			record.Printf("%v", err)
			return deployment.ExitNotRun
		}
		defer proxy.Close()
		s := &server{process, proxy}
		all = append(all, s)
		registered := standin.NewEndpoint(store, s.Name, service, nil)
		defer registered.Close()
		registered.RegisterAt(proxy.Address())
		go func() {
			for line := range s.Lines {
				record.Printf("%s %s", s.Name, line)
				if id, ok := strings.CutPrefix(line, "half "); ok {
					halves <- half{s, id}
				}
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
		record.Printf("%v", err)
		return deployment.ExitNotRun
	}
	host := d.Hosts[0]
	send := func(id string) deployment.Answer {
		record.Printf("client sends %s", id)
		a := deployment.Send(host, http.MethodPost, "/once/x", id, key, 3*time.Second, nil)
		record.Printf("client gets for %s: status %d, seal %q, %d of %d bytes, %v", id, a.Status, a.Seal, len(a.Body), len(body(id)), a.Err)
		return a
	}

	// Each server answers a few requests.
	seen := make(map[*server]bool)
	for n := 0; len(seen) < servers && n < 80; n += servers {
		var wg sync.WaitGroup
		for i := range servers {
			wg.Go(func() { send(fmt.Sprintf("before-%d", n+i)) })
		}
		wg.Wait()
		for len(halves) > 0 {
			seen[(<-halves).s] = true
		}
	}
	if len(seen) < servers {
		record.Printf("only %d of %d servers got requests", len(seen), servers)
		return deployment.ExitNotRun
	}

	if silence {
		n := 0
		for _, s := range all {
			n += s.proxy.Silence()
		}
		record.Printf("%d open connections between hosts and servers go silent; new ones work", n)
	}
	time.Sleep(silentFor)
	answers := make(chan deployment.Answer, 1)
	go func() { answers <- send("the-request") }()
	select {
	case h := <-halves:
		if crash {
			h.s.proxy.CloseListener()
			h.s.Kill()
			record.Printf("the process of %s is killed", h.s.Name)
		}
	case <-time.After(5 * time.Second):
		record.Printf("the request reached no server")
		return deployment.ExitNotRun
	}
	a := <-answers
	time.Sleep(logDelay)
	for _, line := range host.Logs("the-request") {
		record.Printf("%s logs %s", host.Name, line)
	}
	if a.Err == nil && a.Status == http.StatusOK && a.Body != body("the-request") {
		record.Printf("BROKEN: the client got status 200 with the seal %q and %d bytes, whole by their length; the whole body has %d", a.Seal, len(a.Body), len(body("the-request")))
		return deployment.ExitBroken
	}
	record.Printf("held")
	return deployment.ExitHeld
}
