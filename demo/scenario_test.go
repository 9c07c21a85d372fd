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

// nodeEnv is the environment variable with the settings file of a node. If it is set, the test binary runs as that node, so that
// each node of a scenario is a separate process.
const nodeEnv = "BALSAMKNOT_TEST_NODE"

func TestMain(m *testing.M) {
	if file := os.Getenv(nodeEnv); file != "" {
		os.Exit(runNode(file))
	}
	os.Exit(m.Run())
}

func runNode(file string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	return operator.Run(ctx, []string{"node", "--settings", file, "--log-level", "debug"}, operator.Streams{Out: os.Stdout, Err: os.Stderr})
}

// conditionTimeout bounds every wait for a condition. It is generous, because scenarios don't assert how long a wait takes.
const conditionTimeout = 30 * time.Second

// Each site of a test run has its own range of ports, below those that the kernel assigns to outgoing connections.
const (
	firstPort    = 18000
	portsPerSite = 100
)

var nextPort atomic.Int64

func init() { nextPort.Store(firstPort) }

// scenario is the state of one script: its site, whose nodes run as processes and whose simulated endpoints and platform run in
// this process, the links that inject network faults, and the calls that were sent.
type scenario struct {
	ts            *testscript.TestScript
	dir           string
	layout        *site.Site
	running       *site.Running
	nodeProcesses map[string]*exec.Cmd
	// hosts and endpoints are the lists that the platform publishes. Their addresses are those of the links, and a host that was
	// killed or stopped stays listed until the script drops it.
	hosts         []host.Record
	endpoints     []engine.Record
	endpointLinks map[string]*network.Link
	peerLinks     map[string]*network.Link

	// The maps are indexed by the names that the script gives to calls and, in the map keys, to idempotency keys. A channel in
	// finished is closed when the result of its call is stored.
	mu      sync.Mutex
	results map[string]*callResult
	keys    map[string]string
	// sentRequests holds host, path, workspace and body or idempotency key of each call, for the transcript.
	sentRequests map[string]string
	finished     map[string]chan struct{}
}

// scenarioOf returns the state of the script that runs.
func scenarioOf(ts *testscript.TestScript) *scenario { return ts.Value(scenarioKey{}).(*scenario) }

type scenarioKey struct{}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: os.Getenv("UPDATE_GOLDEN") != "",
		Setup: func(env *testscript.Env) error {
			s := &scenario{
				dir: env.WorkDir, nodeProcesses: map[string]*exec.Cmd{}, results: map[string]*callResult{}, keys: map[string]string{}, sentRequests: map[string]string{},
				finished: map[string]chan struct{}{}, endpointLinks: map[string]*network.Link{}, peerLinks: map[string]*network.Link{},
			}
			env.Values[scenarioKey{}] = s
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

// splitOptions separates arguments of the form name=value from the others.
func splitOptions(args []string) (positional []string, options map[string]string) {
	options = map[string]string{}
	for _, arg := range args {
		if name, value, ok := strings.Cut(arg, "="); ok {
			options[name] = value
			continue
		}
		positional = append(positional, arg)
	}
	return positional, options
}

func intOption(ts *testscript.TestScript, options map[string]string, name string, fallback int) int {
	text, ok := options[name]
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

func durationOption(ts *testscript.TestScript, options map[string]string, name string, fallback time.Duration) time.Duration {
	text, ok := options[name]
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(text)
	ts.Check(err)
	return d
}

// cmdSite starts a site: site hosts=N engines=N runners=N start=N set=FILE seats=N token-time=D action-time=D drain=D grace=D.
// start is the number of hosts that run and are listed at first, seats the number of slots of an engine, drain the setting
// DrainGrace and grace the setting ElectorGrace.
func cmdSite(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	s.ts = ts
	_, options := splitOptions(args)
	var err error
	s.layout, err = site.New(site.Config{
		Hosts: intOption(ts, options, "hosts", 3), Engines: intOption(ts, options, "engines", 2), Runners: intOption(ts, options, "runners", 1),
		EnginePool: "assistant", RunnerPool: "returns", Region: "be-central", DataCentres: []string{"antwerp", "gent", "liege", "charleroi"},
		BasePort: int(nextPort.Add(portsPerSite)),
		ExtraSettings: fmt.Sprintf("ClockSkew = 200ms\nDrainGrace = %s\nElectorGrace = %s\nKeyLifetime = 2m",
			durationOption(ts, options, "drain", 500*time.Millisecond), durationOption(ts, options, "grace", 3*time.Second)),
	})
	ts.Check(err)
	set, err := os.ReadFile(ts.MkAbs(setFile(ts, options)))
	ts.Check(err)
	engineConfig := site.DefaultEngineConfig()
	engineConfig.TokenTime = durationOption(ts, options, "token-time", 5*time.Millisecond)
	engineConfig.Slots = intOption(ts, options, "seats", 16)
	s.running, err = s.layout.Start(engineConfig, durationOption(ts, options, "action-time", 10*time.Millisecond), set)
	ts.Check(err)
	s.insertLinks()
	started := intOption(ts, options, "start", len(s.layout.Hosts))
	s.hosts = s.hosts[:started]
	s.publishLists()
	for i := range started {
		s.startNode(i)
	}
	for i := range started {
		s.awaitReady(s.layout.Hosts[i].ID)
	}
	// Clocks may differ by ClockSkew, so electors abstain on keys created less than ClockSkew after their start: they may have
	// voted on them before a restart.
	time.Sleep(200 * time.Millisecond)
}

func setFile(_ *testscript.TestScript, options map[string]string) string {
	if file, ok := options["set"]; ok {
		return file
	}
	return "set.ini"
}

// insertLinks starts a network.Link for each endpoint and for the peer address of each host, and puts the addresses of the links
// in the lists.
func (s *scenario) insertLinks() {
	s.hosts, s.endpoints = s.layout.HostRecords(), s.layout.EndpointRecords()
	for i := range s.endpoints {
		l, err := network.NewLink(s.endpoints[i].Address)
		s.ts.Check(err)
		s.endpointLinks[string(s.endpoints[i].ID)] = l
		s.endpoints[i].Address = l.Address()
	}
	for i := range s.hosts {
		l, err := network.NewLink(s.hosts[i].PeerAddress)
		s.ts.Check(err)
		s.peerLinks[string(s.hosts[i].ID)] = l
		s.hosts[i].PeerAddress = l.Address()
	}
}

func (s *scenario) publishLists() {
	s.running.Platform.Publish(string(revision.DocumentHosts), site.HostsDocument(s.hosts))
	s.running.Platform.Publish(string(revision.DocumentEndpoints), site.EndpointsDocument(s.endpoints))
}

func (s *scenario) startNode(i int) {
	h := s.layout.Hosts[i]
	file := filepath.Join(s.dir, h.ID+".ini")
	s.ts.Check(os.WriteFile(file, []byte(s.layout.NodeSettings(i)), 0o600))
	log, err := os.OpenFile(filepath.Join(s.dir, h.ID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	s.ts.Check(err)
	cmd := exec.CommandContext(context.Background(), os.Args[0])
	cmd.Env = append(os.Environ(), nodeEnv+"="+file)
	cmd.Stderr, cmd.Stdout = log, log
	s.ts.Check(cmd.Start())
	s.nodeProcesses[h.ID] = cmd
}

func (s *scenario) hostIndex(id string) int {
	for i, h := range s.layout.Hosts {
		if h.ID == id {
			return i
		}
	}
	s.ts.Fatalf("no host %s in this site", id)
	return 0
}

// eventually waits until condition is true, and fails the script after conditionTimeout.
func (s *scenario) eventually(description string, condition func() bool) {
	deadline := time.Now().Add(conditionTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			s.ts.Fatalf("timed out waiting for: %s", description)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *scenario) awaitReady(id string) {
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

// cmdStart starts the nodes of hosts and waits until they are ready: start HOST... A host that is not listed is added to the
// list.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	for _, id := range args {
		i := s.hostIndex(id)
		s.startNode(i)
		listed := false
		for _, h := range s.hosts {
			listed = listed || string(h.ID) == id
		}
		if !listed {
			record := s.layout.HostRecords()[i]
			record.PeerAddress = s.peerLinks[id].Address()
			s.hosts = append(s.hosts, record)
			s.publishLists()
		}
		s.awaitReady(id)
	}
}

// resolve returns the ID of a host or endpoint. keeper-of:NAME and home-of:NAME are the keeper and the home in the response to
// the call NAME, engine-of:NAME is its endpoint, and beside-home-of:NAME is the first running host that is not its home. An
// argument without a colon is an ID itself.
func (s *scenario) resolve(arg string) string {
	kind, name, ok := strings.Cut(arg, ":")
	if !ok {
		return arg
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.results[name]
	if result == nil {
		s.ts.Fatalf("no result of a call named %s", name)
	}
	switch kind {
	case "keeper-of":
		return result.header.Get("Balsamknot-Keeper")
	case "home-of":
		return result.header.Get("Balsamknot-Home")
	case "beside-home-of":
		for _, h := range s.layout.Hosts {
			if h.ID != result.header.Get("Balsamknot-Home") && s.nodeProcesses[h.ID] != nil {
				return h.ID
			}
		}
	case "engine-of":
		return result.header.Get("Balsamknot-Endpoint")
	}
	s.ts.Fatalf("unknown reference %s", arg)
	return ""
}

var signalsByName = map[string]syscall.Signal{
	"kill": syscall.SIGKILL, "freeze": syscall.SIGSTOP, "thaw": syscall.SIGCONT, "term": syscall.SIGTERM,
}

// cmdSignal sends a signal to nodes: signal kill|freeze|thaw|term HOST... A killed host stays listed until list drop HOST.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	signal, ok := signalsByName[args[0]]
	if !ok {
		ts.Fatalf("unknown signal %s", args[0])
	}
	for _, arg := range args[1:] {
		id := s.resolve(arg)
		cmd := s.nodeProcesses[id]
		if cmd == nil {
			ts.Fatalf("no running node on host %s", id)
		}
		ts.Check(cmd.Process.Signal(signal))
		if signal == syscall.SIGKILL {
			_ = cmd.Wait()
			delete(s.nodeProcesses, id)
		}
	}
}

// cmdEnded waits until nodes have exited, and fails unless their exit code is 0: ended HOST...
func cmdEnded(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	for _, id := range args {
		ts.Check(s.nodeProcesses[id].Wait())
		delete(s.nodeProcesses, id)
	}
}

// cmdList changes the lists that the platform publishes: list drop HOST..., list leave-endpoint|stay-endpoint|drop-endpoint ID...
func cmdList(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	for _, arg := range args[1:] {
		id := s.resolve(arg)
		switch args[0] {
		case "drop":
			s.hosts = removeRecords(s.hosts, func(h host.Record) bool { return string(h.ID) == id })
		case "drop-endpoint":
			s.endpoints = removeRecords(s.endpoints, func(e engine.Record) bool { return string(e.ID) == id })
		case "leave-endpoint", "stay-endpoint":
			for i := range s.endpoints {
				if string(s.endpoints[i].ID) == id {
					s.endpoints[i].Leaving = args[0] == "leave-endpoint"
				}
			}
		default:
			ts.Fatalf("unknown list operation %s", args[0])
		}
	}
	s.publishLists()
}

func removeRecords[T any](records []T, remove func(T) bool) []T {
	var remaining []T
	for _, r := range records {
		if !remove(r) {
			remaining = append(remaining, r)
		}
	}
	return remaining
}

// cmdLink injects network faults: link silence|cut|break|mend|close HOST-OR-ENDPOINT... silence discards what the open
// connections carry, cut resets them and all new ones until mend, break resets only those that are open, and close resets them
// and refuses new ones for good.
func cmdLink(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	for _, arg := range args[1:] {
		id := s.resolve(arg)
		l := s.endpointLinks[id]
		if l == nil {
			l = s.peerLinks[id]
		}
		if l == nil {
			ts.Fatalf("no link to %s", id)
		}
		map[string]func(){"silence": l.Silence, "cut": l.Cut, "break": l.Break, "mend": l.Restore, "close": l.Close}[args[0]]()
	}
}

// cmdPlatform injects faults of the platform: platform down|up|freeze|rewind|thaw. Between freeze and thaw, hosts read the
// documents as they were at the freeze. rewind is a freeze with the set of objects as it was before its last change.
func cmdPlatform(ts *testscript.TestScript, _ bool, args []string) {
	p := scenarioOf(ts).running.Platform
	map[string]func(){
		"down": func() { p.SetDown(true) }, "up": func() { p.SetDown(false) }, "freeze": p.Freeze, "thaw": p.Thaw,
		"rewind": func() { p.Rewind(string(revision.DocumentSet)) },
	}[args[0]]()
}

// cmdPublish publishes a file as the platform's set of objects, without validating it first: publish FILE.
func cmdPublish(ts *testscript.TestScript, _ bool, args []string) {
	scenarioOf(ts).running.Platform.Publish(string(revision.DocumentSet), []byte(ts.ReadFile(args[0])))
}

// cmdSleep pauses the script: sleep DURATION.
func cmdSleep(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// cmdEngine crashes an engine, or makes it report that it is leaving and should get no new requests: engine crash|leave ID.
func cmdEngine(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	for i, e := range s.layout.Engines {
		if e.ID == s.resolve(args[1]) {
			map[string]func(){"crash": s.running.Engines[i].Crash, "leave": func() { s.running.Engines[i].SetLeaving(true) }}[args[0]]()
			return
		}
	}
	ts.Fatalf("no engine %s in this site", args[1])
}

// cmdUntil waits for a condition. until revision N: the revision is in force on all running nodes; until state HOST STATE: all
// other running nodes have the host in that state; until electors: the set of electors follows the list of hosts.
func cmdUntil(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	switch args[0] {
	case "revision":
		start := time.Now()
		defer func() {
			ts.Logf("revision %s in force on %d nodes after %s", args[1], len(s.nodeProcesses), time.Since(start))
		}()
		s.eventually(strings.Join(args, " "), func() bool {
			for id := range s.nodeProcesses {
				status, err := s.nodeStatus(id)
				if err != nil || strconv.Itoa(int(status.Revision)) != args[1] {
					return false
				}
			}
			return true
		})
	case "state":
		id := s.resolve(args[1])
		s.eventually(strings.Join(args, " "), func() bool {
			for other := range s.nodeProcesses {
				if other != id && s.stateSeenBy(other, id) != args[2] {
					return false
				}
			}
			return true
		})
	case "electors":
		// The set of electors follows the list of hosts after ElectorGrace, which is at most 3 s in the scenarios.
		time.Sleep(4 * time.Second)
	default:
		ts.Fatalf("unknown condition %s", args[0])
	}
}

// cmdVerb runs a subcommand of the operators against a node, writes its output to verb.out and checks its exit code: verb HOST
// EXIT-CODE SUBCOMMAND ARGS...
func cmdVerb(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	var out bytes.Buffer
	subcommand := append([]string{args[2], "--node", s.layout.Hosts[s.hostIndex(args[0])].OperatorAddress}, args[3:]...)
	for i := 3; i < len(subcommand); i++ {
		if strings.HasSuffix(subcommand[i], ".ini") {
			subcommand[i] = ts.MkAbs(subcommand[i])
		}
	}
	code := operator.Run(context.Background(), subcommand, operator.Streams{In: strings.NewReader(""), Out: &out, Err: &out})
	ts.Check(os.WriteFile(filepath.Join(s.dir, "verb.out"), out.Bytes(), 0o600))
	if strconv.Itoa(code) != args[1] {
		ts.Fatalf("exit code %d, want %s: %s", code, args[1], out.String())
	}
}

// stateSeenBy returns the state of host id in the view of the host observer: Gone if the view does not contain the host, and ""
// if observer does not answer.
func (s *scenario) stateSeenBy(observer, id string) string {
	status, err := s.nodeStatus(observer)
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

func (s *scenario) nodeStatus(id string) (node.Status, error) {
	var status node.Status
	err := getJSON("http://"+s.layout.Hosts[s.hostIndex(id)].OperatorAddress+"/status", &status)
	return status, err
}

// close ends all processes, also those that are stopped by SIGSTOP, and the rest of the site.
func (s *scenario) close() {
	for _, cmd := range s.nodeProcesses {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	for _, l := range s.endpointLinks {
		l.Close()
	}
	for _, l := range s.peerLinks {
		l.Close()
	}
	if s.running != nil {
		s.running.Close()
	}
}
