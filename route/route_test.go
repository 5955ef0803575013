package route_test

import (
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
