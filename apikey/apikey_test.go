package apikey_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/apikey"
)

func TestOwner(t *testing.T) {
	o := apikey.Owners{}
	first, second := apikey.Of("first"), apikey.Of("second")
	assert.Equal(t, len(o.Add(first, "a")), 0)
	assert.Equal(t, len(o.Add(second, "b")), 0)
	owner, ok := o.Owner(first)
	assert.Assert(t, ok)
	assert.Equal(t, owner, "a")
	_, ok = o.Owner(apikey.Of("third"))
	assert.Assert(t, !ok)

	assert.DeepEqual(t, o.Add(first, "c"), []string{"a"})
	_, ok = o.Owner(first)
	assert.Assert(t, !ok, "the key has two claims")
	o.Remove(first, "a")
	owner, ok = o.Owner(first)
	assert.Assert(t, ok)
	assert.Equal(t, owner, "c")
	o.Remove(first, "c")
	o.Remove(second, "b")
	assert.Equal(t, len(o), 0, "claims remain after removal")
}

func TestParse(t *testing.T) {
	h := apikey.Of("key")
	back, err := apikey.Parse(h.String())
	assert.NilError(t, err)
	assert.Equal(t, back, h)
	for _, bad := range []string{"", "zz", h.String()[2:], h.String() + "00"} {
		_, err := apikey.Parse(bad)
		assert.ErrorContains(t, err, "64 lower-case hexadecimal digits", bad)
	}
}

// BenchmarkOwner measures the lookup that is made for each request: hashing the key and finding its owner.
func BenchmarkOwner(b *testing.B) {
	for _, keys := range []int{16, 1000, 10_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			o := apikey.Owners{}
			for i := range keys {
				o.Add(apikey.Of(fmt.Sprintf("%020d", i)), "tenant")
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := o.Owner(apikey.Of("00000000000000000007")); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}
