package node

import (
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/host"
)

// fill sets all fields of v at random: numbers to extreme ones, texts to known and unknown names, lists to up to three elements.
func fill(random *rand.Rand, v reflect.Value, names []string) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Field(i).CanSet() {
				fill(random, v.Field(i), names)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), random.IntN(4), 4))
		for i := range v.Len() {
			fill(random, v.Index(i), names)
		}
	case reflect.Pointer:
		if random.IntN(2) == 0 {
			v.Set(reflect.New(v.Type().Elem()))
			fill(random, v.Elem(), names)
		}
	case reflect.String:
		v.SetString(names[random.IntN(len(names))])
	case reflect.Bool:
		v.SetBool(random.IntN(2) == 0)
	case reflect.Int, reflect.Int64:
		v.SetInt([]int64{0, 1, -1, 7, 1000, math.MaxInt32, math.MinInt32, math.MaxInt64, math.MinInt64}[random.IntN(9)])
	case reflect.Uint64, reflect.Uint8:
		v.SetUint([]uint64{0, 1, 7, math.MaxUint8}[random.IntN(4)])
	case reflect.Float64:
		v.SetFloat([]float64{0, -1, 0.5, math.Inf(1), math.NaN(), math.MaxFloat64}[random.IntN(6)])
	default:
	}
}

// A host of another release, or a broken one, sends well-formed datagrams with any content, apart from claims about the endpoints that serve.
func TestHostSurvivesDatagramsOfAnyContent(t *testing.T) {
	t.Parallel()
	const datagrams = 20_000
	s := newSite(t)
	s.store.Publish(1, "k1")
	s.addEndpoint("i-a", "plain", nil)
	s.addEndpoint("i-e", "engines", nil)
	s.startNodes(2, 250)
	n := s.nodes[0]
	random := rand.New(rand.NewPCG(1, 2))
	names := []string{"", "host-1", "host-2", "host-9", "i-x", "i-y", "plain", "engines", "other", "127.0.250.9:1", "z1"}
	for range datagrams {
		var d peer.Datagram
		fill(random, reflect.ValueOf(&d).Elem(), names)
		// Heartbeats are signed by nobody: a host that claims to be another one would take its place in the roster.
		d.From, d.Heartbeats = host.ID("host-2"), nil
		if d.Extensions.Gossip != nil {
			d.Extensions.Gossip.Heartbeats = nil
		}
		raw, err := peer.EncodeAll(d)
		require.NoError(t, err)
		for _, r := range raw {
			decoded, err := peer.Decode(r)
			require.NoError(t, err)
			n.membership.handle(netip.AddrPort{}, decoded)
		}
	}
	require.Eventually(t, func() bool {
		return n.call(t, http.MethodGet, "/again/x", "id-1", "k1").StatusCode == http.StatusOK
	}, time.Minute, 10*time.Millisecond)
}
