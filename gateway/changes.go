package gateway

import (
	"maps"
	"slices"

	"github.com/hibiscusspur/hibiscusspur/registry"
)

// serversTold is a list of servers as one gateway tells another: the whole list when base
// is zero, otherwise what has changed since the version base.
type serversTold struct {
	base, version int64
	servers       []registry.Server
	removed       []string
}

// change is one step of the list of servers, from one version of the store to another.
type change struct {
	from, to int64
	// set are servers that are new or have changed.
	set     []registry.Server
	removed []string
}

// changes are the last steps of the list of servers. A gateway that knows one of their
// versions is told what came after it: at a thousand servers the list has some 65 kB, and
// every change goes from all gateways to all.
type changes struct {
	steps []change
}

// changesKept is the number of steps that are kept; while servers of a service are replaced
// one after the other, a step comes every half second, and peers are told within seconds.
const changesKept = 32

// add notes the step from one list to the next.
func (c *changes) add(from, to int64, before, after []registry.Server) {
	step := change{from: from, to: to}
	old := byID(before)
	for _, s := range after {
		if old[s.ID] != s {
			step.set = append(step.set, s)
		}
		delete(old, s.ID)
	}
	step.removed = slices.Sorted(maps.Keys(old))
	c.steps = append(c.steps, step)
	if len(c.steps) > changesKept {
		c.steps = slices.Delete(c.steps, 0, len(c.steps)-changesKept)
	}
}

// since sums up what has changed since a version; false if that is not known any more.
func (c *changes) since(version int64) (serversTold, bool) {
	i := slices.IndexFunc(c.steps, func(s change) bool { return s.from == version })
	if i < 0 {
		return serversTold{}, false
	}
	set, removed := map[string]registry.Server{}, map[string]bool{}
	out := serversTold{base: version}
	for _, step := range c.steps[i:] {
		out.version = step.to
		for _, s := range step.set {
			set[s.ID] = s
			delete(removed, s.ID)
		}
		for _, id := range step.removed {
			delete(set, id)
			removed[id] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(set)) {
		out.servers = append(out.servers, set[id])
	}
	out.removed = slices.Sorted(maps.Keys(removed))
	return out, true
}

// over is the whole list that told makes of a list of the version base.
func (t serversTold) over(list []registry.Server) []registry.Server {
	whole := byID(list)
	for _, s := range t.servers {
		whole[s.ID] = s
	}
	for _, id := range t.removed {
		delete(whole, id)
	}
	return slices.Collect(maps.Values(whole))
}

func byID(list []registry.Server) map[string]registry.Server {
	out := make(map[string]registry.Server, len(list))
	for _, s := range list {
		out[s.ID] = s
	}
	return out
}
