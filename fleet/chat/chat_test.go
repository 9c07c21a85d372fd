package chat_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/chat"
)

func Example() {
	first, _ := chat.Parse([]byte(`{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"q"}]}`))
	later, _ := chat.Parse([]byte(`{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"q"},{"role":"assistant","content":"a"}]}`))
	fmt.Println(first.ID("gent") == later.ID("gent"), first.ID("gent") == first.ID("liege"))
	// Output: true false
}

func TestParseErrorNamesTheInvalidField(t *testing.T) {
	t.Parallel()
	for body, want := range map[string]string{
		`{`:                         "body is not a chat completion request",
		`{"messages":[{}]}`:         "field model",
		`{"model":"m"}`:             "field messages",
		`{"model":3,"messages":[]}`: "model",
	} {
		_, err := chat.Parse([]byte(body))
		require.ErrorContains(t, err, want)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{}],"prompt_cache_key":"k"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if r, err := chat.Parse(body); err == nil {
			again, err := chat.Parse(body)
			require.NoError(t, err)
			require.Equal(t, r.ID("w"), again.ID("w"))
		}
	})
}
