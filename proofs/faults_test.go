package proofs

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Parameters of a run of random faults.
const (
	// faultInterval is the mean interval between two faults. Faults last up to longestFault, so that several
	// are active at once.
	faultInterval = 400 * time.Millisecond
	longestFault  = 2500 * time.Millisecond
)

// faultKind is one kind of fault. begin applies it to the target of that number, and returns the ID that it
// has reserved and a function that ends the fault; end is nil if there is nothing to end.
type faultKind struct {
	name  string
	begin func(target int) (id string, end func())
}

// faults draws faults from a seed and applies them, several at a time.
type faults struct {
	rng   *rand.Rand
	wg    sync.WaitGroup
	drawn map[string]int

	mu       sync.Mutex
	reserved map[string]bool
}

func newFaults(seed uint64) *faults {
	return &faults{rng: rand.New(rand.NewPCG(seed, 0)), reserved: make(map[string]bool), drawn: make(map[string]int)}
}

// run applies n faults, every fourth together with the next one, and ends them all.
func (x *faults) run(n int, kinds []faultKind) {
	for i := range n {
		k := kinds[x.rng.IntN(len(kinds))]
		target, length := x.rng.IntN(1<<16), time.Duration(x.rng.Int64N(int64(longestFault)))
		x.drawn[k.name]++
		x.apply(k, target, length)
		if i%4 != 0 {
			time.Sleep(time.Duration(x.rng.Int64N(int64(2 * faultInterval))))
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
		x.release(id)
	})
}

// reserve reserves a target, so that one fault at a time affects it.
func (x *faults) reserve(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.reserved[id] {
		return false
	}
	x.reserved[id] = true
	return true
}

func (x *faults) release(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.reserved, id)
}

func (x *faults) kill(p *process) (string, func()) {
	if !x.reserve(p.name) {
		return "", nil
	}
	p.kill()
	return p.name, p.restart
}

func (x *faults) freeze(p *process) (string, func()) {
	if !x.reserve(p.name) {
		return "", nil
	}
	p.freeze()
	return p.name, p.thaw
}

func (x *faults) shutDown(p *process) (string, func()) {
	if !x.reserve(p.name) {
		return "", nil
	}
	p.terminate()
	return p.name, func() {
		p.kill()
		p.restart()
	}
}
