package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requireRevoked requires that a host that starts refuses the key that was taken away from its first request on.
func (s *returnSite) requireRevoked(node *testNode) {
	s.t.Helper()
	require.Eventually(s.t, node.Ready, convergenceLimit, time.Millisecond)
	require.False(s.t, node.log.contains(`"Version":1,`), "it put the older set in force")
	require.Equal(s.t, http.StatusUnauthorized, node.call(s.t, http.MethodGet, "/again/", "revoked-"+string(node.cfg.Host), "k1").StatusCode)
	require.Equal(s.t, http.StatusOK, node.call(s.t, http.MethodGet, "/again/", "valid-"+string(node.cfg.Host), "k2").StatusCode)
}

// A reader is stopped and started again after the return, with seeds that are out of date.
func TestRevokedKeyStaysRevokedAtAReaderThatRestartsAfterAReturn(t *testing.T) {
	t.Parallel()
	for i, kind := range []string{"stopped", "killed"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			const hosts = 3
			subnet := 40 + i
			s := newReturnSite(t, hosts, subnet)
			reader := s.reader()
			s.revokeAndReturn()
			if kind == "killed" {
				reader.kill()
			}
			reader.stop()
			<-reader.exited
			cfg := reader.cfg
			cfg.Seeds = s.staleSeeds(subnet)
			s.requireRevoked(s.start(cfg))
		})
	}
}

// reader returns a host that reads the store itself.
func (s *returnSite) reader() *testNode {
	id := s.nodes[0].membership.rankedReaders()[0]
	for _, node := range s.nodes {
		if node.cfg.Host == id {
			return node
		}
	}
	return nil
}
