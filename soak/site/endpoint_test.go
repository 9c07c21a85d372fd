package site

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamknot.org/platform/standin"
	"balsamknot.org/soak/checker"
)

// While an endpoint is down, other programs on the machine may get its port at 127.0.0.1 for their connections.
func TestEndpointIsBackAlthoughItsPortIsTakenAtLocalhost(t *testing.T) {
	t.Parallel()
	s := &Site{cfg: Config{Network: 79}, checker: checker.New(), store: standin.NewStore()}
	defer s.store.Close()
	e, err := s.newEndpoint("endpoint-0", "plain", standin.DefaultVersion)
	require.NoError(t, err)
	defer e.close()
	address := e.link.Address()
	_, port, err := net.SplitHostPort(address)
	require.NoError(t, err)
	e.crash()
	taken, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:"+port)
	require.NoError(t, err)
	defer taken.Close()
	e.restart()
	conn, err := new(net.Dialer).DialContext(context.Background(), "tcp", address)
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.Empty(t, s.checker.Violations(true))
}
