package proofs

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Shape of a run of random faults.
const (
	// faultGap is the mean pause between two faults; faults last up to longestFault,
	// so that several hold at once.
	faultGap     = 400 * time.Millisecond
	longestFault = 2500 * time.Millisecond
)

// faultKind is one kind of fault. Begin applies it to the target of that number, and returns
// what it holds and what ends it; end is nil when there is nothing to end.
type faultKind struct {
	name  string
	begin func(target int) (id string, end func())
}

// faults draws faults from a seed and applies them, several at once.
type faults struct {
	rng   *rand.Rand
	wg    sync.WaitGroup
	drawn map[string]int

	mu   sync.Mutex
	busy map[string]bool
}

func newFaults(seed uint64) *faults {
	return &faults{rng: rand.New(rand.NewPCG(seed, 0)), busy: make(map[string]bool), drawn: make(map[string]int)}
}

// run applies n faults, some two at once, and ends them all.
func (x *faults) run(n int, kinds []faultKind) {
	for i := range n {
		k := kinds[x.rng.IntN(len(kinds))]
		target, length := x.rng.IntN(1<<16), time.Duration(x.rng.Int64N(int64(longestFault)))
		x.drawn[k.name]++
		x.apply(k, target, length)
		if i%4 != 0 {
			time.Sleep(time.Duration(x.rng.Int64N(int64(2 * faultGap))))
		}
	}
	x.wg.Wait()
}

func (x *faults) apply(k faultKind, target int, length time.Duration) {
	id, end := k.begin(target)
	if end == nil {
		return
	}
	x.wg.Go(func() {
		time.Sleep(length)
		end()
		x.free(id)
	})
}

// take reserves a process for one fault at a time.
func (x *faults) take(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.busy[id] {
		return false
	}
	x.busy[id] = true
	return true
}

func (x *faults) free(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.busy, id)
}

func (x *faults) kill(p *process) (string, func()) {
	if !x.take(p.name) {
		return "", nil
	}
	p.kill()
	return p.name, p.restart
}

func (x *faults) freeze(p *process) (string, func()) {
	if !x.take(p.name) {
		return "", nil
	}
	p.freeze()
	return p.name, p.thaw
}

func (x *faults) shutDown(p *process) (string, func()) {
	if !x.take(p.name) {
		return "", nil
	}
	p.terminate()
	return p.name, func() {
		p.kill()
		p.restart()
	}
}
