package node

import (
	"bufio"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/site"
	"balsamknot.org/platform/standin"
)

// versionSite is a site whose engines have two software versions. A stream breaks off after its first event, at the engine or because its
// caller leaves; taken up again, it ends.
type versionSite struct {
	*testSite
	// breaks is true if engines break streams off, false if they go on until the caller leaves.
	breaks bool
	// prompt returns the prompt of a request by its ID.
	prompt  func(requestID string) string
	engines []*standin.Endpoint

	mu sync.Mutex
	// began holds the version that began the stream of a request, and wentOn those that took it up again.
	began  map[string]string
	wentOn map[string][]string
}

const secondVersion = "v2"

func newVersionSite(t *testing.T, breaks bool, versions ...string) *versionSite {
	s := &versionSite{testSite: newSite(t), breaks: breaks, prompt: promptOf, began: map[string]string{}, wentOn: map[string][]string{}}
	s.store.Publish(1, "k1")
	for i, version := range versions {
		e := s.addEndpoint(fmt.Sprintf("i-%d", i), "engines", func(w http.ResponseWriter, r *http.Request) { s.answer(w, r, version) })
		e.CachePrompts()
		e.RegisterVersion(version)
		s.engines = append(s.engines, e)
	}
	return s
}

// streamName returns the name of the stream that a request belongs to.
func streamName(requestID string) string {
	name, _, _ := strings.Cut(requestID, "/")
	return name
}

func (s *versionSite) answer(w http.ResponseWriter, r *http.Request, version string) {
	name := streamName(r.Header.Get(standin.RequestIDHeader))
	s.mu.Lock()
	if r.Header.Get(standin.LastEventIDHeader) != "" {
		s.wentOn[name] = append(s.wentOn[name], version)
		s.mu.Unlock()
		_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
		return
	}
	s.began[name] = version
	s.mu.Unlock()
	_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
	_ = http.NewResponseController(w).Flush()
	if s.breaks {
		panic(http.ErrAbortHandler)
	}
	<-r.Context().Done()
}

// begin reads the first event of a stream at a node and leaves; it returns false if there is none.
func (s *versionSite) begin(n *testNode, name string) bool {
	began, leave := s.open(n, name)
	leave()
	return began
}

// open reads the first event of a stream at a node; began is false if there is none. The caller leaves when leave is called.
func (s *versionSite) open(n *testNode, name string) (began bool, leave func()) {
	ctx, cancel := context.WithCancel(context.Background())
	r := standin.NewCall(n.cfg.CallerAddress, http.MethodPost, "/stream/x", name+"/1", "k1", nil).WithContext(ctx)
	r.Header.Set(standin.PromptPartsHeader, s.prompt(name+"/1"))
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return false, cancel
	}
	line, err := bufio.NewReader(response.Body).ReadString('\n')
	return err == nil && response.StatusCode == http.StatusOK && line == "id: 1\n", func() {
		_ = response.Body.Close()
		cancel()
	}
}

// takeUp takes a stream up at a node and returns the status; 0 if the connection broke.
func (s *versionSite) takeUp(n *testNode, name string) int {
	return s.takeUpWith(n, name, 2*time.Second)
}

// takeUpWith is takeUp by a caller with timeLeft.
func (s *versionSite) takeUpWith(n *testNode, name string, timeLeft time.Duration) int {
	r := standin.NewCall(n.cfg.CallerAddress, http.MethodPost, "/stream/x", name+"/2", "k1", nil)
	standin.SetTimeLeft(r, timeLeft)
	r.Header.Set(standin.PromptPartsHeader, s.prompt(name+"/2"))
	r.Header.Set(standin.LastEventIDHeader, "1")
	r.Header.Set(standin.ResumesHeader, name+"/1")
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// promptOf returns a prompt of its own for a request, so that any engine may get it, also when a stream is taken up.
func promptOf(requestID string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(requestID))
	return standin.PromptOf([]string{fmt.Sprintf("%x", h.Sum32())}, "1")
}

// mixed returns how many streams went on at another version than the one that began them.
func (s *versionSite) mixed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for name, versions := range s.wentOn {
		for _, version := range versions {
			if version != s.began[name] {
				n++
			}
		}
	}
	return n
}

// allowedMixed is the number of streams that may hold events of two versions.
const allowedMixed = 2

func TestStreamThatIsTakenUpAtAnotherHostGoesOnAtTheVersionThatBeganIt(t *testing.T) {
	t.Parallel()
	const streams, hosts = 40, 4
	subnet := 170
	for name, between := range map[string]func(s *versionSite){
		"at another host":             func(*versionSite) {},
		"after its first host stops":  func(s *versionSite) { s.nodes[0].kill() },
		"after the keeper stops":      func(s *versionSite) { s.keeperOf("engines").kill() },
		"with a version that came up": nil,
	} {
		subnet++
		ownSubnet := subnet
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			versions := []string{standin.DefaultVersion, secondVersion, standin.DefaultVersion, secondVersion}
			if between == nil {
				versions = []string{standin.DefaultVersion, standin.DefaultVersion}
			}
			s := newVersionSite(t, false, versions...)
			s.startNodes(hosts, ownSubnet)
			var names []string
			for i := range streams {
				name := fmt.Sprintf("s-%d", i)
				if s.begin(s.nodes[0], name) {
					names = append(names, name)
				}
			}
			require.Greater(t, len(names), streams*3/4)
			if between == nil {
				for i := range 2 {
					s.addEndpoint(fmt.Sprintf("j-%d", i), "engines", func(w http.ResponseWriter, r *http.Request) { s.answer(w, r, secondVersion) }).RegisterVersion(secondVersion)
				}
				for _, n := range s.nodes {
					require.Eventually(t, func() bool { return n.knowsEndpoint("j-1") }, time.Minute, time.Millisecond)
				}
			} else {
				between(s)
			}
			taken, wentOn := 0, 0
			for i, name := range names {
				n := s.nodes[1+i%(hosts-1)]
				if n.stopped() {
					continue
				}
				taken++
				if s.takeUp(n, name) == http.StatusOK {
					wentOn++
				}
			}
			t.Logf("%d of %d streams went on, %d at another version", wentOn, taken, s.mixed())
			require.LessOrEqual(t, s.mixed(), allowedMixed)
			require.Greater(t, wentOn, taken/2, "half as many go on as begin")
		})
	}
}

func TestStreamThatBreaksOffGoesOnAtTheVersionThatBeganItWithinOneAnswer(t *testing.T) {
	t.Parallel()
	const streams = 20
	s := newVersionSite(t, true, standin.DefaultVersion, secondVersion, standin.DefaultVersion, secondVersion)
	s.startNodes(2, 175)
	for i := range streams {
		s.nodes[i%2].readAnswer("/stream/x", fmt.Sprintf("s-%d/1", i))
	}
	s.mu.Lock()
	wentOn := len(s.wentOn)
	s.mu.Unlock()
	require.Greater(t, wentOn, streams/2)
	require.LessOrEqual(t, s.mixed(), allowedMixed)
}

// knowsEndpoint reports whether the node knows the registration of an endpoint.
func (n *testNode) knowsEndpoint(id string) bool {
	return n.slots.endpointAddress(endpoint.ID(id)) != ""
}

// kill ends the node's sockets at once, as the end of its process does.
func (n *testNode) kill() {
	for _, server := range n.servers {
		_ = server.Close()
	}
	_ = n.membership.socket.Close()
	n.killed.Store(true)
}

// stopped reports whether kill was called.
func (n *testNode) stopped() bool { return n.killed.Load() }

// keeperOf returns the node that is the keeper of a service.
func (s *testSite) keeperOf(service string) *testNode {
	for _, n := range s.nodes {
		if n.membership.keeperAndStandbys(site.ServiceName(service))[0] == n.cfg.Host {
			return n
		}
	}
	return s.nodes[0]
}
