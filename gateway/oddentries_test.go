package gateway_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// oddEntries are entries that another writer may leave among those of servers: %s stands for the address of a server.
func oddEntries() map[string]string {
	sound := map[string]string{
		"service": `"one"`, "addr": `"%s"`, "zone": `"z1"`, "version": `"v1"`, "slots": "4", "state": `"ready"`, "seq": "1", "cold_left_ms": "0",
		"stage": "null", "models": "[]", "born": "1700000000000",
	}
	with := func(field, value string) string {
		var fields []string
		for name, v := range sound {
			if name == field {
				v = value
			}
			fields = append(fields, fmt.Sprintf("%q:%s", name, v))
		}
		return "{" + strings.Join(fields, ",") + "}"
	}
	nested := func(n int) string { return strings.Repeat("[", n) + strings.Repeat("]", n) }
	objects := func(n int) string { return strings.Repeat(`{"a":`, n) + "1" + strings.Repeat("}", n) }
	out := map[string]string{
		"nothing": "", "no JSON": "\x00\xff{", "null": "null", "a list": "[]", "a text": `"x"`, "a number": "1e400",
		"nested": nested(9_990), "nested too deeply": nested(10_001), "nested very deeply": nested(100_000), "open": strings.Repeat("[", 100_000),
		"objects": objects(9_990), "nested objects": objects(30_000), "long": `{"x":"` + strings.Repeat("y", 100_000) + `"}`,
	}
	for _, field := range []string{"service", "addr", "zone", "version", "slots", "state", "seq", "cold_left_ms", "stage", "models", "born"} {
		for what, value := range map[string]string{
			"too large": "1e400", "larger than 64 bits": "99999999999999999999", "least": "-9223372036854775808", "greatest": "9223372036854775807",
			"many digits": strings.Repeat("9", 1000), "nested": nested(2_000), "nested too deeply": nested(10_001), "nested objects": objects(1_000),
			"long": `"` + strings.Repeat("y", 1000) + `"`, "control bytes": `"\u0000\u001f\u2028"`, "half of a pair": `"\ud800"`, "true": "true",
		} {
			out[field+", "+what] = with(field, value)
		}
	}
	for _, addr := range []string{
		"127.0.0.1:65536", "127.0.0.1:99999999999999999999", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1:1e3", "127.0.0.1:", "127.0.0.1", ":80", "[::1]:70000",
		"[::1%lo]:80", "999.0.0.1:80", "host:80", "0.0.0.0:80", "255.255.255.255:65535", "127.0.0.1:80:90", "http://127.0.0.1:80",
	} {
		out["addr "+addr] = with("addr", fmt.Sprintf("%q", addr))
	}
	return out
}

// TestOddEntries guards against an entry of another writer that ends gateways, or keeps them from following the list: beside
// each, a server that joins is used once the one before leaves, by a gateway that runs and one that starts.
func TestOddEntries(t *testing.T) {
	store, calls := site.NewStore(t), site.NewLog()
	store.Put("op", "config", manifest(3, "one"))
	joined := 0
	current := site.NewServer(t, "s0", calls)
	put := func(s *site.Server, state string) {
		e := s.Entry("one", state)
		e.Born = 1_700_000_000_000
		store.Put("servers", s.ID, e.Encode())
	}
	put(current, "ready")
	p := start(t, store, "g1")
	p.waitReady(t, http.StatusOK)
	follows := func(p *process) {
		joined++
		next := site.NewServer(t, fmt.Sprint("s", joined), calls)
		put(next, "ready")
		put(current, "draining")
		waitUntil(t, "the server that joins", func() bool { _, body := p.get(t, "/a/1"); return strings.Contains(body, "of "+next.ID) })
		current = next
		assert.Equal(t, len(p.done), 0, "the gateway has terminated")
	}
	odd := oddEntries()
	for n, name := range slices.Sorted(maps.Keys(odd)) {
		store.Put("servers", fmt.Sprint("odd-", n), []byte(strings.ReplaceAll(odd[name], "%s", "127.0.0.1:9")))
		if n%20 == 0 {
			t.Logf("%d entries, the last: %s", n+1, name)
			follows(p)
		}
	}
	follows(p)
	second := start(t, store, "g2", p.settings.ControlAddr)
	second.waitReady(t, http.StatusOK)
	follows(second)
	follows(p)
}
