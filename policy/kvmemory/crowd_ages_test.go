package kvmemory_test

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
)

// toldLoad is what a router told of its runs on an engine, and when.
type toldLoad struct {
	load kvmemory.Load
	at   time.Time
}

// ages plays what is told as gateways do: a router tells of an engine when its runs there change, and of all in
// a report each pace; in between what it told is aged.
type ages struct {
	pace time.Duration
	age  func(l *kvmemory.Load, age time.Duration) kvmemory.Load
	told []map[string]toldLoad
}

// tell notes what a router says of an engine.
func (a *ages) tell(c *crowd, i int, id string, now time.Time) {
	for len(a.told) <= i {
		a.told = append(a.told, map[string]toldLoad{})
	}
	a.told[i][id] = toldLoad{c.pools[i].OwnLoad(id, now), now}
}

// share is what a router is thought to hold on an engine.
func (a *ages) share(i int, id string, now time.Time) kvmemory.Load {
	if i >= len(a.told) {
		return kvmemory.Load{}
	}
	t := a.told[i][id]
	return a.age(&t.load, now.Sub(t.at))
}

// report has each router tell everything once in a pace.
func (a *ages) report(c *crowd, now time.Time) {
	for i := range c.pools {
		if (now.Sub(start)+time.Duration(i)*a.pace/time.Duration(c.routers)).Round(crowdTick)%a.pace.Round(crowdTick) == 0 {
			for _, id := range c.ids {
				a.tell(c, i, id, now)
			}
		}
	}
}
