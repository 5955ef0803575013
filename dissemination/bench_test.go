package dissemination

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/hibiscusspur/hibiscusspur/contract"
)

// Size of the configuration in the benchmarks: the planned size in two years.
const (
	benchContracts   = 340
	benchBackends    = 4500
	benchReplaced    = 340  // backend servers replaced a day
	benchChanges     = 3400 // changes a day
	benchRemoveAfter = 1    // days until a retired record is removed
)

// configChurn generates changes of a configuration, one revision each.
type configChurn struct {
	head    uint64
	next    int // number of the next backend server
	retired []string
	apply   func(Delta)
}

func (w *configChurn) commit(records ...Record) {
	w.head++
	for i := range records {
		records[i].Revision = w.head
	}
	w.apply(Delta{From: w.head - 1, Head: w.head, Records: records})
}

func benchBackend(id string, retired bool) Record {
	body := fmt.Sprintf("id: %s\naddress: 10.20.30.40:7400\nzone: zone-1\nrole: decode\nmodels:\n- model-of-some-size-70b\n- model-of-some-size-8b\nretired: %v\n", id, retired)
	return Record{Key: BackendPrefix + id, Value: []byte(body)}
}

func benchContract(i int, changed uint64) Record {
	name := fmt.Sprintf("customer-%03d", i%benchContracts)
	return contractRecord(name, fmt.Sprintf("key-%s-%d", name, changed), 0)
}

func (w *configChurn) addBackend() {
	w.commit(benchBackend(fmt.Sprintf("vm-%08d", w.next), false))
	w.next++
}

func (w *configChurn) fill() {
	for i := range benchContracts {
		w.commit(benchContract(i, 0))
	}
	for range benchBackends {
		w.addBackend()
	}
}

// runDay simulates one day of churn: each replaced server adds a record and retires
// one, which is removed a day later; all other changes are of contracts.
func (w *configChurn) runDay() {
	remove := w.retired
	w.retired = nil
	for _, id := range remove {
		w.commit(Record{Key: BackendPrefix + id, Deleted: true})
	}
	for range benchReplaced {
		id := fmt.Sprintf("vm-%08d", w.next-benchBackends)
		w.addBackend()
		w.commit(benchBackend(id, true))
		w.retired = append(w.retired, id)
	}
	for i := range benchChanges - 2*benchReplaced - len(remove) {
		w.commit(benchContract(i, w.head))
	}
}

func benchState(b *testing.B, days int, index bool) (*State, *configChurn) {
	b.Helper()
	s := NewState()
	if index {
		NewIndex(s, func(key string, _ uint64, err error) { b.Fatal(key, err) })
	}
	w := &configChurn{apply: func(d Delta) {
		if _, err := s.Apply(d); err != nil {
			b.Fatal(err)
		}
	}}
	w.fill()
	for range days {
		w.runDay()
	}
	return s, w
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkStateMemory(b *testing.B) {
	for _, days := range []int{3, 30} {
		b.Run(fmt.Sprintf("days=%d", days), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				s, _ := benchState(b, days, false)
				used := heapBytes() - before
				b.ReportMetric(float64(len(s.records)), "records")
				b.ReportMetric(float64(used)/float64(len(s.records)), "B/record")
				b.ReportMetric(float64(used), "B/state")
				runtime.KeepAlive(s)
			}
		})
	}
}

func BenchmarkApplyContract(b *testing.B) {
	for _, index := range []bool{false, true} {
		b.Run(fmt.Sprintf("index=%v", index), func(b *testing.B) {
			_, w := benchState(b, 3, index)
			r := benchContract(7, 1)
			b.ReportAllocs()
			for b.Loop() {
				w.commit(r)
			}
		})
	}
}

func BenchmarkParseContract(b *testing.B) {
	r := benchContract(7, 1)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := contract.Parse(r.Key, r.Value); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSinceOneBehind(b *testing.B) {
	s, w := benchState(b, 3, false)
	b.ReportAllocs()
	for b.Loop() {
		if d := s.Since(w.head - 1); len(d.Records) != 1 {
			b.Fatal(len(d.Records))
		}
	}
}

func BenchmarkSinceZero(b *testing.B) {
	s, _ := benchState(b, 3, false)
	b.ReportAllocs()
	for b.Loop() {
		s.Since(0)
	}
}

func BenchmarkIndexMemory(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		s := NewState()
		x := NewIndex(s, func(key string, _ uint64, err error) { b.Fatal(key, err) })
		w := &configChurn{apply: func(d Delta) { _, _ = s.Apply(d) }}
		w.fill()
		x.Backends()
		b.ReportMetric(float64(heapBytes()-before), "B/state+index")
		runtime.KeepAlive(x)
	}
}

// BenchmarkBackendsAfterChange measures rebuilding the list after a change of one
// server.
func BenchmarkBackendsAfterChange(b *testing.B) {
	s := NewState()
	x := NewIndex(s, func(key string, _ uint64, err error) { b.Fatal(key, err) })
	w := &configChurn{apply: func(d Delta) { _, _ = s.Apply(d) }}
	w.fill()
	b.ReportAllocs()
	for b.Loop() {
		w.commit(benchBackend("vm-00000007", false))
		x.Backends()
	}
}
