package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// BenchmarkExchange measures one request of 1 KB and its answer of 8 KB, over a direct connection and over a tunnel through a relay, all in
// one process.
func BenchmarkExchange(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	const requestBytes, answerBytes = 1 << 10, 8 << 10
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				buf, answer := make([]byte, requestBytes), []byte(strings.Repeat("x", answerBytes))
				for {
					if _, err := io.ReadFull(conn, buf); err != nil {
						return
					}
					_, _ = conn.Write(answer)
				}
			}()
		}
	}()
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		upstream, err := net.Dial("tcp", ReadTunnelTarget(r).Address)
		if err != nil {
			WriteTunnelRefusal(w, errors.Join(ErrRelayUnavailable, err))
			return
		}
		client, buffered, _ := w.(http.Hijacker).Hijack()
		_, _ = io.WriteString(client, TunnelEstablished)
		Relay(client, buffered.Reader, upstream)
	}))
	defer relay.Close()
	exchange := func(b *testing.B, conn net.Conn) {
		request, answer := make([]byte, requestBytes), make([]byte, answerBytes)
		b.ReportAllocs()
		for b.Loop() {
			_, _ = conn.Write(request)
			if _, err := io.ReadFull(conn, answer); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.Run("direct", func(b *testing.B) {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		defer conn.Close()
		exchange(b, conn)
	})
	b.Run("tunnel", func(b *testing.B) {
		conn, err := net.Dial("tcp", relay.Listener.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		tunnel, err := OpenTunnel(ctx, conn, TunnelTarget{Endpoint: "i-a", Address: listener.Addr().String()})
		if err != nil {
			b.Fatal(err)
		}
		defer tunnel.Close()
		exchange(b, tunnel)
	})
}
