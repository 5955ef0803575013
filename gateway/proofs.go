package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/clock"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/policy/freshness"
	"github.com/hibiscusspur/hibiscusspur/store"
)

const (
	// proofInterval is the interval between two proofs that one store reader gets from the store: the two of them
	// together get one each half second.
	proofInterval = time.Second
	// fallbackProofAge is the age of the latest proof from which any other gateway asks the store itself. When it is
	// reached, the store readers have failed or are cut off.
	fallbackProofAge = 1800 * time.Millisecond
	// peerProofAge is the age of the latest proof from which other gateways are asked as well, peerProofInterval the
	// interval between two such rounds: the store may be unreachable for this gateway alone.
	peerProofAge      = 1200 * time.Millisecond
	peerProofInterval = 250 * time.Millisecond
	// proofWait is how long a request waits for a proof: a gateway that was suspended, or has just started, gets one
	// within a call to the store or an exchange.
	proofWait = 300 * time.Millisecond
)

// proofs tracks how recently the configuration in force was proved to be the newest. It is safe for concurrent use.
type proofs struct {
	// now is a clock that continues while the VM is suspended.
	now    func() time.Duration
	bounds freshness.Bounds
	// due is sent to when a request waits for a proof.
	due chan struct{}

	mu     sync.Mutex
	ledger freshness.Ledger
	// version is the latest version that was read here and row the position of the write of its row in the store; zero
	// if that is not known.
	version int64
	row     store.Position
	// changed is closed at the next proof.
	changed chan struct{}
}

func newProofs(b freshness.Bounds, now func() time.Duration) *proofs {
	if now == nil {
		now = clock.Uptime
	}
	return &proofs{now: now, bounds: b, due: make(chan struct{}, 1), changed: make(chan struct{})}
}

// recordVersion records the version in force.
func (p *proofs) recordVersion(version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.Applied(version)
	p.notifyAll()
}

// recordRead records the version that the store held when it was asked, and the position of its row.
func (p *proofs) recordRead(version int64, row store.Position, requested time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if row >= p.row {
		p.version, p.row = version, row
	}
	p.ledger.AddProof(freshness.Proof{Version: version, Era: row.Era(), At: requested})
	p.notifyAll()
}

// recordProof records a proof.
func (p *proofs) recordProof(proof freshness.Proof) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.AddProof(proof)
	p.notifyAll()
}

// notifyAll wakes all waiting requests to check again. The caller holds mu.
func (p *proofs) notifyAll() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *proofs) age() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.Age(p.now())
}

// latest returns the latest proof and its age; false if there is none.
func (p *proofs) latest() (proof freshness.Proof, age time.Duration, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	proof, known = p.ledger.Newest()
	return proof, p.now() - proof.At, known
}

// lastRead returns the version that was read last and the position of its row.
func (p *proofs) lastRead() (version int64, row store.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version, p.row
}

// trusted reports whether requests with keys may be served. If not, it waits up to proofWait for a proof.
func (p *proofs) trusted(ctx context.Context) bool { return p.waitFor(ctx, p.bounds.Trusted) }

// provedForUnknownKey reports whether the configuration is recent enough to reject a key as unknown. If not, it waits
// up to proofWait for a proof.
func (p *proofs) provedForUnknownKey(ctx context.Context) bool {
	return p.waitFor(ctx, func(age time.Duration, known bool) bool { return known && age < freshness.UnknownKeyMaxAge })
}

// waitFor reports whether enough is proved, now or within proofWait.
func (p *proofs) waitFor(ctx context.Context, enough func(age time.Duration, known bool) bool) bool {
	var timeout <-chan time.Time
	for {
		p.mu.Lock()
		ok, changed := enough(p.ledger.Age(p.now())), p.changed
		p.mu.Unlock()
		if ok {
			return true
		}
		if timeout == nil {
			t := time.NewTimer(proofWait)
			defer t.Stop()
			timeout = t.C
			notify.Send(p.due)
		}
		select {
		case <-changed:
		case <-timeout:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// requiresKeys reports whether requests need keys.
func (s *Service) requiresKeys() bool {
	t := s.view.Table()
	return t != nil && t.Tenants != nil
}

// proveManifest gets proofs from the store until ctx ends.
func (s *Service) proveManifest(ctx context.Context) {
	dep := &dependency{s: s, what: "proof"}
	failures := 0
	for ctx.Err() == nil {
		if !s.proofDue(ctx) {
			continue
		}
		err := s.proveFromStore(ctx)
		if ctx.Err() != nil {
			return
		}
		dep.record(err)
		failures++
		if err == nil {
			failures = 0
			continue
		}
		sleep.For(ctx, s.nextStoreRetry(failures))
	}
}

// proofDue waits until a proof is due, or for a short while, and reports whether one is.
func (s *Service) proofDue(ctx context.Context) bool {
	if !s.requiresKeys() {
		sleep.For(ctx, proofInterval)
		return false
	}
	maxAge := fallbackProofAge
	if s.isStoreReader() {
		maxAge = proofInterval
	}
	age, known := s.proofs.age()
	if !known || age >= maxAge {
		return true
	}
	t := time.NewTimer(jitter(maxAge - age))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-s.proofs.due:
		return true
	case <-t.C:
		return false
	}
}

// proveFromStore asks the store whether the version that was read last is still the newest, and otherwise reads the
// newest.
func (s *Service) proveFromStore(ctx context.Context) error {
	requested := s.proofs.now()
	version, row := s.proofs.lastRead()
	if row != 0 {
		current, err := s.store.ConfirmManifest(ctx, row)
		if err != nil {
			return err
		}
		if current {
			s.proofs.recordProof(freshness.Proof{Version: version, Era: row.Era(), At: requested})
			return nil
		}
		requested = s.proofs.now()
	}
	r, err := s.store.Manifest(ctx)
	if err == nil {
		s.installStored(r, requested)
	}
	return err
}

// requestPeerProofs asks other gateways for their proofs while the local one is old, until ctx ends.
func (s *Service) requestPeerProofs(ctx context.Context) {
	refused := false
	for ctx.Err() == nil {
		sleep.For(ctx, peerProofInterval)
		age, known := s.proofs.age()
		if s.requiresKeys() && (!known || age >= peerProofAge) {
			s.peers.QueryPeers()
		}
		if now := s.requiresKeys() && !s.proofs.bounds.Trusted(age, known); now != refused {
			refused = now
			e := event.KeysServed
			if refused {
				e = event.KeysRefused
			}
			e.Log(s.log).Int64("version", s.view.version()).Int64("age", s.proofAge()).Msg("")
		}
	}
}

// proofAge returns the age of the proof of the configuration in force, in milliseconds; -1 if there is none.
func (s *Service) proofAge() int64 {
	age, known := s.proofs.age()
	if !known || !s.requiresKeys() {
		return -1
	}
	return age.Milliseconds()
}

// Uptime implements peer.LocalState.
func (s *Service) Uptime() time.Duration { return s.proofs.now() }

// ReceiveProof implements peer.LocalState.
func (s *Service) ReceiveProof(version, era int64, at time.Duration) {
	s.proofs.recordProof(freshness.Proof{Version: version, Era: era, At: at})
}
