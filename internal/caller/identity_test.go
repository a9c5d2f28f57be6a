package caller

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a header from which a backend server or another instance would read a different API key.
func FuzzReadKey(f *testing.F) {
	for _, text := range []string{"Bearer k", "bearer k", "Bearer  k", "Bearer k,l", "Bearer k l", "Basic k", "Bearer", "Bearer ", "", "k", "Bearer \t"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		key, err := readKey(http.Header{keyHeader: {text}})
		if err != nil {
			require.Empty(t, key)
			return
		}
		require.NotEmpty(t, key)
		require.LessOrEqual(t, len(key), maxKeyLength)
		require.False(t, strings.ContainsAny(key, " ,\t"))
		require.True(t, strings.HasSuffix(strings.TrimRight(text, " "), key))
		_, err = readKey(http.Header{keyHeader: {text, text}})
		require.ErrorIs(t, err, errMultipleKeys)
	})
}
