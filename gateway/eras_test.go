package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/store"
)

func listOf(ids ...string) []registry.Server {
	var list []registry.Server
	for _, id := range ids {
		list = append(list, registry.Server{ID: id, Service: "s", Addr: "10.0.0.1:80"})
	}
	return list
}

func listed(s *Service) string {
	list, _ := s.view.list()
	out := ""
	for _, server := range list {
		out += server.Instance()
	}
	return out
}

// Guards against lists of an earlier era of the store that replace later ones, when gateways that have met the era of a
// restored store exchange reports with those that have not, and with gateways that know no eras.
func TestReportsAcrossEras(t *testing.T) {
	now := time.Now()
	restored, behind, old := serviceWithoutLog(), serviceWithoutLog(), serviceWithoutLog()
	restored.view.applyServers(store.At(1, 100), listOf("a", "b"), now)
	behind.view.applyServers(store.At(1, 110), listOf("a", "b", "c"), now)
	old.view.applyServers(store.At(0, 120), listOf("a", "b", "d"), now)
	restored.view.applyServers(store.At(2, 90), listOf("a", "e"), now)
	restored.view.applyServers(store.At(2, 91), listOf("a", "e"), now.Add(registry.Grace))
	assert.Equal(t, listed(restored), "ae")

	restored.Receive(behind.Report(restored.view.listVersion()))
	restored.Receive(old.Report(0))
	assert.Equal(t, listed(restored), "ae", "lists of earlier eras change nothing, whatever their version")

	r := restored.Report(behind.view.listVersion())
	assert.Equal(t, r.ServersPosition(), store.At(2, 90), "the list that first lacked them, though they were kept until later")
	assert.Equal(t, r.GetServersBase(), int64(0), "the whole list for a gateway with one of an earlier era")
	behind.Receive(r)
	assert.Equal(t, behind.view.listVersion(), store.At(2, 90))
	assert.Assert(t, old.Report(restored.view.listVersion()).GetServers() == nil)

	restored.view.applyServers(store.At(2, 95), listOf("a", "e", "f"), now)
	r = restored.Report(behind.view.listVersion())
	assert.Equal(t, r.GetServersBase(), int64(90), "and changes from then on")
	behind.Receive(r)
	assert.Equal(t, behind.view.listVersion(), store.At(2, 95))
}

// Guards against a gateway that leaves readings to one that knows no eras and drops them.
func TestReadingsOfEarlierErasDoNotCount(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		reported, known store.Position
		counts          bool
	}{
		{store.At(0, 50), store.At(0, 40), true},
		{store.At(1, 50), store.At(1, 60), true},
		{store.At(2, 50), store.At(1, 60), true},
		{store.At(0, 50), store.At(1, 40), false},
		{store.At(1, 50), store.At(2, 40), false},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			loads := newPeerLoads(func(instance string, _ uint32) string { return instance })
			loads.receiveReport(&peer.Report{
				Addr: "g2", ServersEra: c.reported.Era(), ServersVersion: c.reported.Version(), ReadAgeMs: 100,
			}, now)
			assert.Equal(t, loads.listReadAge(c.known, now) < never, c.counts)
		})
	}
}

// Guards against a dropped reading that makes the list in force look confirmed.
func TestDroppedReadingConfirmsNothing(t *testing.T) {
	s := serviceWithoutLog()
	s.view.applyServers(store.At(1, 100), listOf("a"), time.Now())
	var readings listReadings
	assert.Assert(t, readings.accept(s, store.At(1, 100)))
	assert.Assert(t, !readings.accept(s, store.At(1, 99)))
	assert.Assert(t, readings.accept(s, store.At(2, 1)))
}
