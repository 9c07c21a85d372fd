package peer

import (
	"bytes"
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/catalogue"
)

// fillMessage sets all exported fields of v, and two elements of each list, to values that differ from each other.
func fillMessage(v reflect.Value, next *int) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Field(i).CanSet() {
				fillMessage(v.Field(i), next)
			}
		}
		return
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fillMessage(v.Index(i), next)
		}
		return
	default:
	}
	*next++
	switch v.Kind() {
	case reflect.String:
		v.SetString(strings.Repeat("x", *next%7+1))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*next))
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(uint64(*next % 256))
	case reflect.Float64:
		v.SetFloat(float64(*next) / 8)
	default:
	}
}

// recordedDatagrams returns, by name, datagrams that together have all lists which hosts of 99d6fec know.
func recordedDatagrams() map[string]Datagram {
	var array, additions, extras Datagram
	for _, v := range []any{&array, &additions.Additions, &extras.Extras} {
		next := 0
		fillMessage(reflect.ValueOf(v).Elem(), &next)
	}
	array = Datagram{
		From: array.From, Heartbeats: array.Heartbeats, SlotRequests: array.SlotRequests, SlotReplies: array.SlotReplies, SlotReleases: array.SlotReleases,
		HeldSlots: array.HeldSlots, Crashes: array.Crashes, CacheUpdates: array.CacheUpdates, Probes: array.Probes, ProbeReplies: array.ProbeReplies,
		Notices: array.Notices,
	}
	additions.From, extras.From = "a", "a"
	return map[string]Datagram{"array": array, "additions": additions, "extras": extras}
}

// Hosts of 99d6fec serve beside present ones while all are replaced. Each must be able to read what the other sends, and reads nothing of a datagram in
// which an array has another length: what they sent is read, and encoded again as they would.
func TestMessagesOfTheReleaseBeforeAreReadAndWrittenAsThere(t *testing.T) {
	t.Parallel()
	for name, d := range recordedDatagrams() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			recorded, err := os.ReadFile(filepath.Join("testdata", "99d6fec", name+".hex"))
			require.NoError(t, err)
			raw, err := hex.DecodeString(string(bytes.TrimSpace(recorded)))
			require.NoError(t, err)
			read, err := Decode(raw)
			require.NoError(t, err)
			require.Equal(t, d, read)
			written, err := EncodeAll(d)
			require.NoError(t, err)
			require.Equal(t, [][]byte{raw}, written)
		})
	}
}

// The contents of the store pass between hosts over HTTP, in the same encoding.
func TestStoreUpdateOfTheReleaseBeforeIsReadAndWrittenAsThere(t *testing.T) {
	t.Parallel()
	update := StoreUpdate{Revision: 7, Full: true, AgeMs: 12, Entries: []catalogue.Entry{{Key: "k/a", Value: []byte("v")}, {Key: "k/b", Removed: true}}}
	recorded, err := os.ReadFile(filepath.Join("testdata", "99d6fec", "update.hex"))
	require.NoError(t, err)
	raw, err := hex.DecodeString(string(bytes.TrimSpace(recorded)))
	require.NoError(t, err)
	var read StoreUpdate
	require.NoError(t, cbor.Unmarshal(raw, &read))
	require.Equal(t, update, read)
	written, err := cbor.Marshal(update)
	require.NoError(t, err)
	require.Equal(t, raw, written)
}
