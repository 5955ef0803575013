package route_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/route"
)

func TestMatch(t *testing.T) {
	table := &route.Table{Routes: []route.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "root", Host: "b.example", Prefix: "/"},
	}}
	table.Build()
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/yy", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"b.example", "/anything", "root"},
		{"c.example", "/x/1", ""},
	} {
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, c.want, "%s%s", c.host, c.path)
	}
}

// matchByScan is the reference for Match: the first of the routes with the longest prefix, by a scan of all.
func matchByScan(table *route.Table, host, path string) *route.Route {
	var best *route.Route
	for i := range table.Routes {
		r := &table.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

func TestMatchOfRandomTables(t *testing.T) {
	r := rand.New(rand.NewPCG(4711, 2))
	randomPath := func(maxParts int) string {
		var b strings.Builder
		for range r.IntN(maxParts) + 1 {
			b.WriteString([]string{"/", "a", "b", "//", "a/", ""}[r.IntN(6)])
		}
		return b.String()
	}
	for range 2000 {
		table := &route.Table{}
		for i := range r.IntN(12) {
			table.Routes = append(table.Routes, route.Route{Name: fmt.Sprint(i), Host: []string{"h", "g"}[r.IntN(2)], Prefix: randomPath(4)})
		}
		table.Build()
		for range 20 {
			path := "/" + randomPath(8)
			assert.Equal(t, table.Match("h", path), matchByScan(table, "h", path), "%s of %+v", path, table.Routes)
		}
	}
}

// BenchmarkMatch measures a request that none of 4,250 routes matches.
func BenchmarkMatch(b *testing.B) {
	table := &route.Table{}
	for i := range 4250 {
		table.Routes = append(table.Routes, route.Route{Host: "h", Prefix: fmt.Sprintf("/r%07x/", i)})
	}
	table.Build()
	for b.Loop() {
		if table.Match("h", "/nothing/1") != nil {
			b.Fatal("a route matched")
		}
	}
}

func TestServiceIsDrawnByWeight(t *testing.T) {
	r := route.Route{Targets: []route.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for _, c := range []struct {
		u    float64
		want string
	}{{0, "a"}, {0.89, "a"}, {0.91, "b"}, {0.999, "b"}} {
		assert.Equal(t, r.Service(c.u), c.want, "%v", c.u)
	}
}

func TestRepeatable(t *testing.T) {
	for _, c := range []struct {
		kind      route.Kind
		resumable bool
		want      bool
	}{
		{route.Safe, false, true},
		{route.Unsafe, false, false},
		{route.Unsafe, true, false},
		{route.Stream, false, false},
		{route.Stream, true, true},
	} {
		r := route.Route{Kind: c.kind, Resumable: c.resumable}
		assert.Equal(t, r.Repeatable(), c.want, "%v %v", c.kind, c.resumable)
	}
}
