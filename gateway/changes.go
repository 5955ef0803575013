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
	// removed are instances. One that has started again is not among them: its later start, among
	// servers, takes the place of the earlier one.
	removed []string
}

// change is one step of the list of servers, from one version of the store to another.
type change struct {
	from, to int64
	// set are servers that are new or have changed; removed are instances.
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
	old := byInstance(before)
	for _, s := range after {
		if old[s.Instance()] != s {
			step.set = append(step.set, s)
		}
		delete(old, s.Instance())
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
			set[s.Instance()] = s
			delete(removed, s.Instance())
		}
		for _, instance := range step.removed {
			delete(set, instance)
			removed[instance] = true
		}
	}
	for _, instance := range slices.Sorted(maps.Keys(set)) {
		out.servers = append(out.servers, set[instance])
	}
	out.removed = slices.Sorted(maps.Keys(removed))
	return out, true
}

// over is the whole list that told makes of a list of the version base.
func (t serversTold) over(list []registry.Server) []registry.Server {
	whole := byInstance(list)
	for _, s := range t.servers {
		whole[s.Instance()] = s
	}
	for _, instance := range t.removed {
		delete(whole, instance)
	}
	return slices.Collect(maps.Values(whole))
}

// byInstance keys a list, which has one start of each instance at most.
func byInstance(list []registry.Server) map[string]registry.Server {
	out := make(map[string]registry.Server, len(list))
	for _, s := range list {
		out[s.Instance()] = s
	}
	return out
}
