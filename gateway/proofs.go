package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/clock"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/policy/freshness"
)

const (
	// proveInterval is the pause between two proofs that one of the gateways that read for all gets from the
	// store: two of them together make one each half second.
	proveInterval = time.Second
	// proveAge is the age of the latest proof from which any other gateway asks the store itself. Those that read
	// for all are lost, or cut off, when it is reached.
	proveAge = 1800 * time.Millisecond
	// askAge is the age from which other gateways are asked besides, askInterval the pause between two such
	// rounds: the store may be out for this gateway alone.
	askAge      = 1200 * time.Millisecond
	askInterval = 250 * time.Millisecond
	// proofWait is how long a request waits for a proof: a gateway that was frozen, or has just started, has one
	// after a call of the store or an exchange.
	proofWait = 300 * time.Millisecond
)

// proofs is how old the configuration in force is proved to be. It is safe for concurrent use.
type proofs struct {
	// now is a clock that goes on while the VM is suspended.
	now    func() time.Duration
	bounds freshness.Bounds
	// due is sent to when a request waits for a proof.
	due chan struct{}

	mu     sync.Mutex
	ledger freshness.Ledger
	// row is where the store holds version, which was read here; zero if that is not known.
	version, row int64
	// changed is closed at the next proof.
	changed chan struct{}
}

func newProofs(b freshness.Bounds, now func() time.Duration) *proofs {
	if now == nil {
		now = clock.Uptime
	}
	return &proofs{now: now, bounds: b, due: make(chan struct{}, 1), changed: make(chan struct{})}
}

// inForce notes the version in force.
func (p *proofs) inForce(version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.Applied(version)
	p.wakeAll()
}

// read notes that the store held a version in a row when it was asked.
func (p *proofs) read(version, row int64, asked time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version >= p.version {
		p.version, p.row = version, row
	}
	p.ledger.AddProof(freshness.Proof{Version: version, At: asked})
	p.wakeAll()
}

// prove takes a proof.
func (p *proofs) prove(proof freshness.Proof) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.AddProof(proof)
	p.wakeAll()
}

// wakeAll has those who wait look again. The caller holds mu.
func (p *proofs) wakeAll() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *proofs) age() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.Age(p.now())
}

// newest is the latest proof and its age; false if there is none.
func (p *proofs) newest() (version int64, age time.Duration, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	proof, known := p.ledger.Newest()
	return proof.Version, p.now() - proof.At, known
}

// inRow is the version that was read last and its row.
func (p *proofs) inRow() (version, row int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version, p.row
}

// trusted reports whether requests with keys may be served; it waits a moment for a proof if they may not.
func (p *proofs) trusted(ctx context.Context) bool { return p.await(ctx, p.bounds.Trusted) }

// lately reports whether a key that is not known here is unknown; it waits a moment for a proof to tell.
func (p *proofs) lately(ctx context.Context) bool {
	return p.await(ctx, func(age time.Duration, known bool) bool { return known && age < freshness.UnknownKeyMaxAge })
}

// await reports whether enough is proved, now or within proofWait.
func (p *proofs) await(ctx context.Context, enough func(age time.Duration, known bool) bool) bool {
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
			wake(p.due)
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

// wake sends to a channel with room for one unless it is full.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// keyed reports whether requests are asked for keys.
func (s *Service) keyed() bool {
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
		err := s.askStore(ctx)
		if ctx.Err() != nil {
			return
		}
		dep.note(err)
		failures++
		if err == nil {
			failures = 0
			continue
		}
		pause(ctx, s.storePause(failures))
	}
}

// proofDue waits until a proof is due, or for a short while, and reports whether one is.
func (s *Service) proofDue(ctx context.Context) bool {
	if !s.keyed() {
		pause(ctx, proveInterval)
		return false
	}
	wanted := proveAge
	if s.readsForAll() {
		wanted = proveInterval
	}
	age, known := s.proofs.age()
	if !known || age >= wanted {
		return true
	}
	t := time.NewTimer(jitter(wanted - age))
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

// askStore asks the store whether the version that was read last is still the newest, or reads what is.
func (s *Service) askStore(ctx context.Context) error {
	asked := s.proofs.now()
	version, row := s.proofs.inRow()
	if row != 0 {
		current, err := s.store.ConfirmManifest(ctx, row)
		if err != nil {
			return err
		}
		if current {
			s.proofs.prove(freshness.Proof{Version: version, At: asked})
			return nil
		}
		asked = s.proofs.now()
	}
	r, err := s.store.Manifest(ctx)
	if err == nil {
		s.takeReading(r, asked)
	}
	return err
}

// askProofs asks other gateways for their proofs while the own is old, until ctx ends.
func (s *Service) askProofs(ctx context.Context) {
	refused := false
	for ctx.Err() == nil {
		pause(ctx, askInterval)
		age, known := s.proofs.age()
		if s.keyed() && (!known || age >= askAge) {
			s.peers.QueryPeers()
		}
		if now := s.keyed() && !s.proofs.bounds.Trusted(age, known); now != refused {
			refused = now
			e := event.KeysServed
			if refused {
				e = event.KeysRefused
			}
			e.Log(s.log).Int64("version", s.view.version()).Int64("age", s.proofAge()).Msg("")
		}
	}
}

// proofAge is the age of the proof of the configuration in force, in milliseconds; -1 if there is none.
func (s *Service) proofAge() int64 {
	age, known := s.proofs.age()
	if !known || !s.keyed() {
		return -1
	}
	return age.Milliseconds()
}

// Uptime implements peer.LocalState.
func (s *Service) Uptime() time.Duration { return s.proofs.now() }

// ReceiveProof implements peer.LocalState.
func (s *Service) ReceiveProof(version int64, at time.Duration) {
	s.proofs.prove(freshness.Proof{Version: version, At: at})
}
