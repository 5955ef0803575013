package capacity

import (
	"context"
	"fmt"
	"runtime"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/dissemination"
)

// state measures the memory of the configuration that every process holds: the
// records alone, as in a sidecar, and with the lookup tables of an entry.
func (r *runner) state(context.Context) (Section, error) {
	s := Section{Title: "state of the configuration"}
	for _, n := range []int{85, 170, 255, planCustomers} {
		s.add("contracts, records", "B", "contracts", float64(n), heapOf(exampleRecords(n, 0), false))
		s.add("contracts, records and index", "B", "contracts", float64(n), heapOf(exampleRecords(n, 0), true))
	}
	for _, n := range []int{1125, 2250, 3375, planReplicas + planReplacedPerDay} {
		s.add("backends, records", "B", "backends", float64(n), heapOf(exampleRecords(0, n), false))
		s.add("backends, records and index", "B", "backends", float64(n), heapOf(exampleRecords(0, n), true))
	}
	all := exampleRecords(planCustomers, planReplicas+planReplacedPerDay)
	s.figure("whole size, records", "MiB", heapOf(all, false)/mebibyte)
	s.figure("whole size, records and index", "MiB", heapOf(all, true)/mebibyte)
	return s, nil
}

// exampleRecords returns the records of contracts and backend servers.
func exampleRecords(contracts, backends int) func() []dissemination.Record {
	return func() []dissemination.Record {
		var out []dissemination.Record
		add := func(key string, body []byte, err error) {
			if err != nil {
				panic(fmt.Sprintf("encode record: %v", err))
			}
			out = append(out, dissemination.Record{Key: key, Revision: uint64(len(out) + 1), Value: body})
		}
		for _, c := range exampleContracts(contracts) {
			body, err := c.Marshal()
			add(dissemination.ContractPrefix+c.Customer, body, err)
		}
		for i := range backends {
			b := contract.Backend{
				ID: serverID(i), Address: fmt.Sprintf("10.20.%d.%d:7400", i/256, i%256), Zone: "zone-a", Role: "decode",
				Models: []string{modelName(i % planModels)},
			}
			body, err := b.Marshal()
			add(dissemination.BackendPrefix+b.ID, body, err)
		}
		return out
	}
}

// heapOf returns the heap that a state holds for the records, in bytes.
func heapOf(records func() []dissemination.Record, index bool) float64 {
	before := heap()
	st := dissemination.NewState()
	var idx *dissemination.Index
	if index {
		idx = dissemination.NewIndex(st, func(key string, _ uint64, err error) { panic(key + ": " + err.Error()) })
	}
	all := records()
	if _, err := st.Apply(dissemination.Delta{Head: uint64(len(all)), Records: all}); err != nil {
		panic(err.Error())
	}
	all = nil
	held := heap() - before
	runtime.KeepAlive(all)
	runtime.KeepAlive(st)
	runtime.KeepAlive(idx)
	return held
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
