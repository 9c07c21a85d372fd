package peer

import (
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/require"
)

// decodeRecorded returns a recorded datagram, in hexadecimal digits, and what it decodes to.
func decodeRecorded(t *testing.T, recorded string) (raw []byte, d Datagram) {
	t.Helper()
	raw, err := hex.DecodeString(recorded)
	require.NoError(t, err)
	d, err = Decode(raw)
	require.NoError(t, err)
	return raw, d
}
