package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"balsamknot.org/balsamknot/node"
	"balsamknot.org/balsamknot/operator"
	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/revision"
	"balsamknot.org/standin/network"
	"balsamknot.org/standin/site"
)

// asNode makes the test binary run as a node, so that a scenario's nodes are processes of their own.
const asNode = "BALSAMKNOT_TEST_NODE"

func TestMain(m *testing.M) {
	if file := os.Getenv(asNode); file != "" {
		os.Exit(runNode(file))
	}
	os.Exit(m.Run())
}

func runNode(file string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	return operator.Run(ctx, []string{"node", "--settings", file, "--log-level", "debug"}, operator.Streams{Out: os.Stdout, Err: os.Stderr})
}

// settleWithin bounds every wait for a condition; nothing is asserted about how long it took.
const settleWithin = 30 * time.Second

// Sites of one run use ports of their own, below those that the system gives to outgoing connections.
const (
	firstPort    = 18000
	portsPerSite = 100
)

var nextPort atomic.Int64

func init() { nextPort.Store(firstPort) }

// scene is one scenario's site: stand-ins in this process, nodes as processes, links between them.
type scene struct {
	ts      *testscript.TestScript
	dir     string
	layout  *site.Site
	running *site.Running
	nodes   map[string]*exec.Cmd
	// gone holds hosts that were killed or stopped, with their published record kept for a later start.
	hosts     []host.Record
	endpoints []engine.Record
	engines   map[string]*network.Link
	peers     map[string]*network.Link

	mu      sync.Mutex
	answers map[string]*answer
	keys    map[string]string
	// sent holds what each call sent, for the transcript.
	sent    map[string]string
	pending map[string]chan struct{}
}

func sceneOf(ts *testscript.TestScript) *scene { return ts.Value(sceneKey{}).(*scene) }

type sceneKey struct{}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: os.Getenv("UPDATE_GOLDEN") != "",
		Setup: func(env *testscript.Env) error {
			s := &scene{
				dir: env.WorkDir, nodes: map[string]*exec.Cmd{}, answers: map[string]*answer{}, keys: map[string]string{}, sent: map[string]string{},
				pending: map[string]chan struct{}{}, engines: map[string]*network.Link{}, peers: map[string]*network.Link{},
			}
			env.Values[sceneKey{}] = s
			env.Defer(s.close)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"site": cmdSite, "start": cmdStart, "signal": cmdSignal, "ended": cmdEnded,
			"chat": cmdChat, "act": cmdAct, "join": cmdJoin, "expect": cmdExpect, "platform": cmdPlatform, "publish": cmdPublish,
			"list": cmdList, "link": cmdLink, "until": cmdUntil, "sleep": cmdSleep, "engine": cmdEngine, "storm": cmdStorm, "traffic": cmdTraffic, "transcript": cmdTranscript, "verb": cmdVerb,
		},
	})
}

// options splits name=value arguments from the others.
func options(args []string) (rest []string, named map[string]string) {
	named = map[string]string{}
	for _, arg := range args {
		if name, value, ok := strings.Cut(arg, "="); ok {
			named[name] = value
			continue
		}
		rest = append(rest, arg)
	}
	return rest, named
}

func number(ts *testscript.TestScript, named map[string]string, name string, otherwise int) int {
	text, ok := named[name]
	if !ok {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

func span(ts *testscript.TestScript, named map[string]string, name string, otherwise time.Duration) time.Duration {
	text, ok := named[name]
	if !ok {
		return otherwise
	}
	d, err := time.ParseDuration(text)
	ts.Check(err)
	return d
}

// cmdSite starts a site: site hosts=N engines=N runners=N token-time=D action-time=D grace=D.
func cmdSite(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	s.ts = ts
	_, named := options(args)
	var err error
	s.layout, err = site.New(site.Config{
		Hosts: number(ts, named, "hosts", 3), Engines: number(ts, named, "engines", 2), Runners: number(ts, named, "runners", 1),
		EnginePool: "assistant", RunnerPool: "returns", Region: "be-central", DataCentres: []string{"antwerp", "gent", "liege", "charleroi"},
		BasePort: int(nextPort.Add(portsPerSite)),
		ExtraSettings: fmt.Sprintf("ClockSkew = 200ms\nDrainGrace = %s\nElectorGrace = %s\nKeyLifetime = 2m",
			span(ts, named, "drain", 500*time.Millisecond), span(ts, named, "grace", 3*time.Second)),
	})
	ts.Check(err)
	set, err := os.ReadFile(ts.MkAbs(setFile(ts, named)))
	ts.Check(err)
	defaults := site.DefaultEngineConfig()
	defaults.TokenTime = span(ts, named, "token-time", 5*time.Millisecond)
	defaults.Slots = number(ts, named, "seats", 16)
	s.running, err = s.layout.Start(defaults, span(ts, named, "action-time", 10*time.Millisecond), set)
	ts.Check(err)
	s.link()
	live := number(ts, named, "start", len(s.layout.Hosts))
	s.hosts = s.hosts[:live]
	s.publishLists()
	for i := range live {
		s.startNode(i)
	}
	for i := range live {
		s.awaitReady(s.layout.Hosts[i].ID)
	}
	// Clocks may differ by ClockSkew: a key minted this early could be older than the electors' memory.
	time.Sleep(200 * time.Millisecond)
}

func setFile(_ *testscript.TestScript, named map[string]string) string {
	if file, ok := named["set"]; ok {
		return file
	}
	return "set.ini"
}

// link puts a link before every endpoint and every peer address.
func (s *scene) link() {
	s.hosts, s.endpoints = s.layout.HostRecords(), s.layout.EndpointRecords()
	for i := range s.endpoints {
		l, err := network.NewLink(s.endpoints[i].Address)
		s.ts.Check(err)
		s.engines[string(s.endpoints[i].ID)] = l
		s.endpoints[i].Address = l.Address()
	}
	for i := range s.hosts {
		l, err := network.NewLink(s.hosts[i].PeerAddress)
		s.ts.Check(err)
		s.peers[string(s.hosts[i].ID)] = l
		s.hosts[i].PeerAddress = l.Address()
	}
}

func (s *scene) publishLists() {
	s.running.Platform.Publish(string(revision.DocumentHosts), site.HostsDocument(s.hosts))
	s.running.Platform.Publish(string(revision.DocumentEndpoints), site.EndpointsDocument(s.endpoints))
}

func (s *scene) startNode(i int) {
	h := s.layout.Hosts[i]
	file := filepath.Join(s.dir, h.ID+".ini")
	s.ts.Check(os.WriteFile(file, []byte(s.layout.NodeSettings(i)), 0o600))
	log, err := os.OpenFile(filepath.Join(s.dir, h.ID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	s.ts.Check(err)
	cmd := exec.CommandContext(context.Background(), os.Args[0])
	cmd.Env = append(os.Environ(), asNode+"="+file)
	cmd.Stderr, cmd.Stdout = log, log
	s.ts.Check(cmd.Start())
	s.nodes[h.ID] = cmd
}

func (s *scene) hostIndex(id string) int {
	for i, h := range s.layout.Hosts {
		if h.ID == id {
			return i
		}
	}
	s.ts.Fatalf("no host %s", id)
	return 0
}

// eventually waits for a condition.
func (s *scene) eventually(what string, condition func() bool) {
	deadline := time.Now().Add(settleWithin)
	for !condition() {
		if time.Now().After(deadline) {
			s.ts.Fatalf("never saw: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *scene) awaitReady(id string) {
	address := s.layout.Hosts[s.hostIndex(id)].CallerAddress
	s.eventually(id+" ready", func() bool {
		response, err := http.Get("http://" + address + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// cmdStart starts a host's node: start HOST. A host that is not listed is added to the list.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	for _, id := range args {
		i := s.hostIndex(id)
		s.startNode(i)
		listed := false
		for _, h := range s.hosts {
			listed = listed || string(h.ID) == id
		}
		if !listed {
			record := s.layout.HostRecords()[i]
			record.PeerAddress = s.peers[id].Address()
			s.hosts = append(s.hosts, record)
			s.publishLists()
		}
		s.awaitReady(id)
	}
}

// resolve turns keeper-of=NAME and home-of=NAME into the host that answered NAME.
func (s *scene) resolve(arg string) string {
	kind, name, ok := strings.Cut(arg, ":")
	if !ok {
		return arg
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.answers[name]
	if a == nil {
		s.ts.Fatalf("no answer %s", name)
	}
	switch kind {
	case "keeper-of":
		return a.header.Get("Balsamknot-Keeper")
	case "home-of":
		return a.header.Get("Balsamknot-Home")
	case "beside-home-of":
		for _, h := range s.layout.Hosts {
			if h.ID != a.header.Get("Balsamknot-Home") && s.nodes[h.ID] != nil {
				return h.ID
			}
		}
	case "engine-of":
		return a.header.Get("Balsamknot-Endpoint")
	}
	s.ts.Fatalf("unknown reference %s", arg)
	return ""
}

var signals = map[string]syscall.Signal{
	"kill": syscall.SIGKILL, "freeze": syscall.SIGSTOP, "thaw": syscall.SIGCONT, "term": syscall.SIGTERM,
}

// cmdSignal sends a signal to nodes: signal kill|freeze|thaw|term HOST... A killed host stays listed until list drop.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	signal, ok := signals[args[0]]
	if !ok {
		ts.Fatalf("unknown signal %s", args[0])
	}
	for _, arg := range args[1:] {
		id := s.resolve(arg)
		cmd := s.nodes[id]
		if cmd == nil {
			ts.Fatalf("no node %s", id)
		}
		ts.Check(cmd.Process.Signal(signal))
		if signal == syscall.SIGKILL {
			_ = cmd.Wait()
			delete(s.nodes, id)
		}
	}
}

// cmdEnded waits for a terminated node to exit with code 0: ended HOST.
func cmdEnded(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	for _, id := range args {
		ts.Check(s.nodes[id].Wait())
		delete(s.nodes, id)
	}
}

// cmdList changes the platform's lists: list drop|leave|add HOST..., list leave-endpoint|stay-endpoint|drop-endpoint ID.
func cmdList(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	for _, arg := range args[1:] {
		id := s.resolve(arg)
		switch args[0] {
		case "drop":
			s.hosts = dropRecord(s.hosts, func(h host.Record) bool { return string(h.ID) == id })
		case "drop-endpoint":
			s.endpoints = dropRecord(s.endpoints, func(e engine.Record) bool { return string(e.ID) == id })
		case "leave-endpoint", "stay-endpoint":
			for i := range s.endpoints {
				if string(s.endpoints[i].ID) == id {
					s.endpoints[i].Leaving = args[0] == "leave-endpoint"
				}
			}
		default:
			ts.Fatalf("unknown list %s", args[0])
		}
	}
	s.publishLists()
}

func dropRecord[T any](records []T, drop func(T) bool) []T {
	var kept []T
	for _, r := range records {
		if !drop(r) {
			kept = append(kept, r)
		}
	}
	return kept
}

// cmdLink disturbs links: link silence|cut|break|mend|close HOST-OR-ENDPOINT...
func cmdLink(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	for _, arg := range args[1:] {
		id := s.resolve(arg)
		l := s.engines[id]
		if l == nil {
			l = s.peers[id]
		}
		if l == nil {
			ts.Fatalf("no link to %s", id)
		}
		map[string]func(){"silence": l.Silence, "cut": l.Cut, "break": l.Break, "mend": l.Restore, "close": l.Close}[args[0]]()
	}
}

// cmdPlatform disturbs the platform: platform down|up|freeze|rewind|thaw; rewind shows the set as it was before its last change.
func cmdPlatform(ts *testscript.TestScript, _ bool, args []string) {
	p := sceneOf(ts).running.Platform
	map[string]func(){
		"down": func() { p.SetDown(true) }, "up": func() { p.SetDown(false) }, "freeze": p.Freeze, "thaw": p.Thaw,
		"rewind": func() { p.Rewind(string(revision.DocumentSet)) },
	}[args[0]]()
}

// cmdPublish publishes a set: publish FILE.
func cmdPublish(ts *testscript.TestScript, _ bool, args []string) {
	sceneOf(ts).running.Platform.Publish(string(revision.DocumentSet), []byte(ts.ReadFile(args[0])))
}

func cmdSleep(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// cmdEngine changes an engine: engine crash|leave ID.
func cmdEngine(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	for i, e := range s.layout.Engines {
		if e.ID == s.resolve(args[1]) {
			map[string]func(){"crash": s.running.Engines[i].Crash, "leave": func() { s.running.Engines[i].SetLeaving(true) }}[args[0]]()
			return
		}
	}
	ts.Fatalf("no engine %s", args[1])
}

// cmdUntil waits for a condition: until revision N on all, until state HOST Suspect.
func cmdUntil(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	switch args[0] {
	case "revision":
		began := time.Now()
		defer func() { ts.Logf("revision %s in force on %d nodes after %s", args[1], len(s.nodes), time.Since(began)) }()
		s.eventually(strings.Join(args, " "), func() bool {
			for id := range s.nodes {
				status, err := s.status(id)
				if err != nil || strconv.Itoa(int(status.Revision)) != args[1] {
					return false
				}
			}
			return true
		})
	case "state":
		id := s.resolve(args[1])
		s.eventually(strings.Join(args, " "), func() bool {
			for other := range s.nodes {
				if other != id && s.stateAt(other, id) != args[2] {
					return false
				}
			}
			return true
		})
	case "electors":
		// The elector view follows the list after the grace period of the site.
		time.Sleep(4 * time.Second)
	default:
		ts.Fatalf("unknown condition %s", args[0])
	}
}

// cmdVerb runs an operators' verb against a node and keeps its output in verb.out: verb HOST EXIT-CODE NAME ARGS...
func cmdVerb(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	var out bytes.Buffer
	verb := append([]string{args[2], "--node", s.layout.Hosts[s.hostIndex(args[0])].OperatorAddress}, args[3:]...)
	for i := 3; i < len(verb); i++ {
		if strings.HasSuffix(verb[i], ".ini") {
			verb[i] = ts.MkAbs(verb[i])
		}
	}
	code := operator.Run(context.Background(), verb, operator.Streams{In: strings.NewReader(""), Out: &out, Err: &out})
	ts.Check(os.WriteFile(filepath.Join(s.dir, "verb.out"), out.Bytes(), 0o600))
	if strconv.Itoa(code) != args[1] {
		ts.Fatalf("exit code %d, want %s: %s", code, args[1], out.String())
	}
}

func (s *scene) stateAt(at, id string) string {
	status, err := s.status(at)
	if err != nil {
		return ""
	}
	for _, h := range status.Hosts {
		if string(h.Host) == id {
			return h.State
		}
	}
	return host.StateGone
}

func (s *scene) status(id string) (node.Status, error) {
	var status node.Status
	err := getJSON("http://"+s.layout.Hosts[s.hostIndex(id)].OperatorAddress+"/status", &status)
	return status, err
}

func (s *scene) close() {
	for _, cmd := range s.nodes {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	for _, l := range s.engines {
		l.Close()
	}
	for _, l := range s.peers {
		l.Close()
	}
	if s.running != nil {
		s.running.Close()
	}
}
