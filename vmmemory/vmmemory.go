// Package vmmemory accounts for the memory of this VM that the requests of clients, unread responses and the answers of servers take, over
// all listeners of a process. What is received, and what gives way if there is too little room, is decided by
// policy/membudget.
package vmmemory

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hibiscusspur/hibiscusspur/policy/membudget"
)

const (
	// requestsShare is the part of the VM's memory that requests may take. A request is copied once when it is handed on, and the
	// process takes some 25 MB without any.
	requestsShare = 0.25
	// messagesShare is the part that messages of our own processes may take, beside that of requests.
	messagesShare = 0.0625
	// answersShare is the part that answers of servers may take which are held until they are whole, beside that of requests. The large
	// ones among them may take all of it but membudget.SmallShare: on the smallest VM that is one answer of the largest size.
	answersShare = 0.25
	// runtimeShare is the part of the VM's memory that the Go runtime may take before it collects garbage more often; the rest is
	// for the program itself and for buffers of the kernel.
	runtimeShare = 0.75
)

// MaxBytes bounds the memory that a setting states.
const MaxBytes = 1 << 40

// Memory is the memory of a VM. It is safe for concurrent use. All methods of a nil Memory grant everything.
type Memory struct {
	mu     sync.Mutex
	budget *membudget.Budget
	owners map[*membudget.Claim]*Claim
	counts *counts
	// messages and answers are the parts for these; nil if this is one.
	messages, answers *Memory
}

// counts are those of a VM.
type counts struct {
	// rejected counts the requests that there was no room for, evicted those that gave way to others.
	rejected, evicted atomic.Int64
}

// total is the number of both.
func (c *counts) total() int64 { return c.rejected.Load() + c.evicted.Load() }

// New returns the memory of a VM of some bytes, zero for what the machine has. Clients have receiveTime for a request to
// arrive.
func New(vmBytes int64, receiveTime time.Duration) *Memory {
	part := func(share float64) *Memory {
		l := membudget.Limits{Total: int64(share * float64(orMachine(vmBytes))), ReceiveTime: receiveTime}
		return &Memory{budget: membudget.New(l), owners: map[*membudget.Claim]*Claim{}}
	}
	m := part(requestsShare)
	m.counts, m.messages = &counts{}, part(messagesShare)
	m.messages.counts = m.counts
	m.answers = part(answersShare)
	m.answers.counts = &counts{}
	return m
}

// Answers returns the part of the memory for answers of servers, which requests can't take.
func (m *Memory) Answers() *Memory { return m.answers }

// Messages returns the part of the memory for messages of our own processes, which requests can't take.
func (m *Memory) Messages() *Memory { return m.messages }

// RuntimeLimit returns the memory limit of the Go runtime on a VM of some bytes, zero for what the machine has.
func RuntimeLimit(vmBytes int64) int64 { return int64(runtimeShare * float64(orMachine(vmBytes))) }

// unknownMachine is the memory that a machine is taken to have if the system doesn't tell.
const unknownMachine = 256 << 20

// orMachine returns bytes, or the memory of this machine if that is not positive.
func orMachine(bytes int64) int64 {
	if bytes > 0 {
		return bytes
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return unknownMachine
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// Connections returns the number of connections of which each has room for a small request, whatever others hold.
func (m *Memory) Connections() int {
	return int(membudget.SmallShare * float64(m.budget.Total()) / membudget.SmallBytes)
}

// Held returns the number of bytes that requests hold.
func (m *Memory) Held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Held()
}

// Take takes room for a request that was received whole at once; behind is set if others on its connection are answered first. Return
// must be called with the room. If there is none, it returns when there may be.
func (m *Memory) Take(bytes int64, behind bool) (r membudget.Room, retryAfter time.Duration, ok bool) {
	if m == nil {
		return r, 0, true
	}
	m.mu.Lock()
	r, v := m.budget.Take(bytes, behind, time.Now())
	evicted := m.takeOwners(v.Evicted)
	m.mu.Unlock()
	m.settle(v, evicted)
	return r, v.RetryAfter, v.Granted
}

// settle ends the requests that gave way.
func (m *Memory) settle(v membudget.Verdict, evicted []*Claim) {
	for _, victim := range evicted {
		m.counts.evicted.Add(1)
		victim.evict()
	}
	if !v.Granted {
		m.counts.rejected.Add(1)
	}
}

// Return frees the room of a request that was received whole.
func (m *Memory) Return(r membudget.Room) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Return(r)
}

// Add counts bytes that are held whether there is room or not, such as those of a response that its client does not read; less than
// none are freed.
func (m *Memory) Add(bytes int64) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Add(bytes)
}

// Claim is the room of one request after the other while they are received over a connection. It is safe for concurrent use.
type Claim struct {
	memory *Memory
	// evict ends the request that is received.
	evict func()
	claim membudget.Claim
}

// NewClaim returns a claim that takes no room. If its request must give way, evict is called; it must neither block nor use the
// claim.
func (m *Memory) NewClaim(evict func()) *Claim { return &Claim{memory: m, evict: evict} }

// Reserve asks for room for some bytes in all. If there is none, it returns when there may be. Length is the number of bytes that
// the request has in all, zero if that is not known. Behind is set if others on its connection are answered first; the request doesn't give
// way until First is called.
func (c *Claim) Reserve(bytes, length int64, behind bool) (retryAfter time.Duration, ok bool) {
	m := c.memory
	if m == nil {
		return 0, true
	}
	m.mu.Lock()
	c.claim.Behind, c.claim.Length = behind, length
	v := m.budget.Reserve(&c.claim, bytes, time.Now())
	m.owners[&c.claim] = c
	evicted := m.takeOwners(v.Evicted)
	m.mu.Unlock()
	m.settle(v, evicted)
	return v.RetryAfter, v.Granted
}

// takeOwners returns the owners of claims that gave way. The caller holds mu.
func (m *Memory) takeOwners(claims []*membudget.Claim) []*Claim {
	var owners []*Claim
	for _, c := range claims {
		owners = append(owners, m.owners[c])
		delete(m.owners, c)
	}
	return owners
}

// Received records that bytes of the request were received.
func (c *Claim) Received(bytes int) {
	if c.memory == nil {
		return
	}
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	c.memory.budget.Received(&c.claim, int64(bytes), time.Now())
}

// First tells that the request is answered next: it gives way again, as if it had been received in part just now.
func (c *Claim) First() {
	if c.memory == nil {
		return
	}
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	if c.claim.Behind {
		c.claim.Behind = false
		c.memory.budget.Received(&c.claim, 0, time.Now())
	}
}

// Complete ends the claim of a request that was received whole. Memory.Return must be called with the room. It reports false if the
// request has given way.
func (c *Claim) Complete() (r membudget.Room, ok bool) {
	if c.memory == nil {
		return r, true
	}
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	delete(c.memory.owners, &c.claim)
	return c.memory.budget.Complete(&c.claim)
}

// Release ends the claim of a request that is not received any more, and does nothing if there is none.
func (c *Claim) Release() {
	if c.memory == nil {
		return
	}
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	delete(c.memory.owners, &c.claim)
	c.memory.budget.Release(&c.claim)
}
