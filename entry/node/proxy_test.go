package node

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// listenThrough returns a listener that connects each caller to target and passes both connections to serve, until the test ends.
func listenThrough(t *testing.T, target string, serve func(caller, target net.Conn)) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = caller.Close()
				continue
			}
			serve(caller, server)
		}
	}()
	return listener
}
