package peer

import (
	"encoding/hex"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

var lookup = PartLookup{Nonce: 7, Service: "s", Part: 0xe4402b7d, MinTokens: 1300, MaxTokens: 1380}

func TestExtensionsTravelInADatagramOfTheirOwn(t *testing.T) {
	t.Parallel()
	release := SlotRelease{Number: 1, Service: "s-1"}
	datagrams, err := EncodeAll(Datagram{From: "a", SlotReleases: []SlotRelease{release}, Extensions: Extensions{PartLookups: []PartLookup{lookup}}})
	require.NoError(t, err)
	require.Len(t, datagrams, 2)
	d, err := Decode(datagrams[0])
	require.NoError(t, err)
	require.Equal(t, Datagram{From: "a", SlotReleases: []SlotRelease{release}}, d)
	d, err = Decode(datagrams[1])
	require.NoError(t, err)
	require.Equal(t, Datagram{From: "a", Extensions: Extensions{PartLookups: []PartLookup{lookup}}}, d)
	require.Error(t, cbor.Unmarshal(datagrams[1], &Datagram{}), "a host of a release without extensions drops it")

	datagrams, err = EncodeAll(Datagram{From: "a", Extensions: Extensions{PartLookups: []PartLookup{lookup}}})
	require.NoError(t, err)
	require.Len(t, datagrams, 1)
	datagrams, err = EncodeAll(Datagram{From: "a"})
	require.NoError(t, err)
	require.Len(t, datagrams, 1)
}

// Recorded from the release that introduced extensions. Later ones must be able to read it.
func TestRecordedExtensionsAreReadable(t *testing.T) {
	t.Parallel()
	_, d := decodeRecorded(t, "a20161610281a50107026173031ae4402b7d0419051405190564")
	require.Equal(t, []PartLookup{lookup}, d.Extensions.PartLookups)
}

// A later release adds a list, and a field to a message.
func TestUnknownListsAndFieldsAreIgnored(t *testing.T) {
	t.Parallel()
	raw, err := cbor.Marshal(map[int]any{
		1: "a", 2: []any{map[int]any{1: 7, 2: "s", 3: 0xe4402b7d, 4: 1300, 5: 1380, 6: []string{"new"}}}, 99: map[int]any{1: "new"},
	})
	require.NoError(t, err)
	d, err := Decode(raw)
	require.NoError(t, err)
	require.Equal(t, Datagram{From: "a", Extensions: Extensions{PartLookups: []PartLookup{lookup}}}, d)
	raw, err = cbor.Marshal(map[int]any{1: "a", 2: []any{map[int]any{1: 7}}})
	require.NoError(t, err)
	d, err = Decode(raw)
	require.NoError(t, err)
	require.Equal(t, []PartLookup{{Nonce: 7}}, d.Extensions.PartLookups)
}

func TestMalformedExtensionsAreAnError(t *testing.T) {
	t.Parallel()
	for _, raw := range []string{"a1", "a20161610281", "a10102", "a201616102a10101", "bf"} {
		malformed, err := hex.DecodeString(raw)
		require.NoError(t, err)
		_, err = Decode(malformed)
		require.ErrorContains(t, err, "extensions", raw)
	}
}

// Recorded from the release that introduced them. Later ones must be able to read them, and those before ignore them.
func TestRecordedSetStatesAreReadable(t *testing.T) {
	t.Parallel()
	for recorded, state := range map[string]SetState{
		"a201616107a0": {}, "a201616107a101191267": {Version: 4711}, "a201616107a20119126702f5": {Version: 4711, InForce: true},
	} {
		raw, d := decodeRecorded(t, recorded)
		require.Equal(t, Datagram{From: "a", Extensions: Extensions{SetState: &state}}, d)
		datagrams, err := EncodeAll(d)
		require.NoError(t, err)
		require.Equal(t, [][]byte{raw}, datagrams)
		require.Equal(t, &state, FromSetState(state.ToCatalogue()))
	}
}
