package settings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const validSettings = `[Node]
Host = host-1
DataCentre = antwerp
Region = be-central
CallerAddress = 127.0.0.1:8000
PeerAddress = 127.0.0.1:8001
OperatorAddress = 127.0.0.1:8002
MetricsAddress = 127.0.0.1:8003
PlatformAddress = 127.0.0.1:7000
FleetKey = 000102030405060708090a0b0c0d0e0f
`

func TestParseFillsInDefaults(t *testing.T) {
	t.Parallel()
	n, err := Parse("host-1.ini", []byte(validSettings+"Seeds = 127.0.0.1:9001, [::1]:9002\n"))
	require.NoError(t, err)
	require.Equal(t, defaultKeyLifetime, n.KeyLifetime)
	require.Equal(t, []string{"127.0.0.1:9001", "[::1]:9002"}, n.Seeds)
}

func TestParseListsAllFaultsWithLineNumbers(t *testing.T) {
	t.Parallel()
	_, err := Parse("host-1.ini", []byte(validSettings+"KeyLifetime = soon\nColour = red\nHost = host-2\n"))
	require.EqualError(t, err, `host-1.ini:11: KeyLifetime: "soon" is not a duration of at least 1s, such as 10s
host-1.ini:12: Colour: unknown setting
host-1.ini:13: Host: duplicate setting`)
}

func TestParseListsMissingAndMalformedSettings(t *testing.T) {
	t.Parallel()
	_, err := Parse("x", []byte("[Node]\nPeerAddress = localhost:1\n"))
	require.ErrorContains(t, err, `PeerAddress: "localhost:1" is not ip:port`)
	require.ErrorContains(t, err, "FleetKey: setting is missing")
	require.Equal(t, 10*time.Second, Default().ElectorGrace)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(_ *testing.T, content []byte) {
		_, _ = Parse("x", content)
	})
}
