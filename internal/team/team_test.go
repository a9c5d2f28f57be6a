package team

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDirectory(t *testing.T) {
	teams := []Team{
		{Name: "strings", Keys: []KeyDigest{DigestOf("k1"), DigestOf("k2")}},
		{Name: "brass", Keys: []KeyDigest{DigestOf("k3"), DigestOf("k1")}},
	}
	directory := NewDirectory(teams)
	cases := []struct {
		name, key string
		team      Name
	}{
		{"a key", "k2", "strings"},
		{"a key of two teams", "k1", "strings"},
		{"a key of the second team", "k3", "brass"},
		{"an unknown key", "k4", ""},
		{"no key", "", ""},
		{"a key in another case", "K2", ""},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			found, known := directory.Find(DigestOf(testCase.key))
			require.Equal(t, testCase.team != "", known)
			if known {
				require.Equal(t, testCase.team, found.Name)
			}
		})
	}
}

// benchmarkKeys are the numbers of keys for which BenchmarkFind measures a look-up.
var benchmarkKeys = []int{100, 100_000}

func BenchmarkFind(b *testing.B) {
	for _, count := range benchmarkKeys {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			teams := make([]Team, count)
			for index := range teams {
				teams[index] = Team{Name: Name(fmt.Sprint(index)), Keys: []KeyDigest{DigestOf(fmt.Sprint("key-", index))}}
			}
			directory := NewDirectory(teams)
			key := fmt.Sprint("key-", count/2)
			b.ReportAllocs()
			for b.Loop() {
				if _, known := directory.Find(DigestOf(key)); !known {
					b.Fatal("key not found")
				}
			}
		})
	}
}

func TestFindAllocatesNothing(t *testing.T) {
	directory := NewDirectory([]Team{{Name: "strings", Keys: []KeyDigest{DigestOf("k1")}}})
	key := "k1"
	require.Zero(t, testing.AllocsPerRun(100, func() { directory.Find(DigestOf(key)) }))
}
