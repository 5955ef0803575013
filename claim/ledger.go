package claim

import "time"

// Ledger holds the claimed tickets of one sidecar in memory. It is not safe for
// concurrent use.
type Ledger struct {
	limit    int
	holders  map[ledgerKey]holder
	expiries []expiry
}

type ledgerKey struct{ customer, nonce string }

type holder struct {
	requestID string
	released  bool
}

type expiry struct {
	key ledgerKey
	at  time.Time
}

// NewLedger returns a ledger for at most limit tickets.
func NewLedger(limit int) *Ledger {
	return &Ledger{limit: limit, holders: make(map[ledgerKey]holder)}
}

// Take claims a ticket for a request. The same request may repeat the call after a
// lost answer. Unavailable means that the ledger is full.
func (l *Ledger) Take(c Claim, now time.Time) (v Verdict, holderID string) {
	l.expire(now)
	key := ledgerKey{c.Customer, c.Key}
	current, known := l.holders[key]
	switch {
	case known && current.requestID == c.RequestID:
		if current.released {
			return InUse, current.requestID
		}
		return Granted, current.requestID
	case known && !current.released:
		return InUse, current.requestID
	case !known && len(l.holders) >= l.limit:
		return Unavailable, ""
	}
	l.holders[key] = holder{requestID: c.RequestID}
	if !known {
		l.expiries = append(l.expiries, expiry{key: key, at: now.Add(Retention)})
	}
	return Granted, c.RequestID
}

// Release frees a ticket whose request was not run.
func (l *Ledger) Release(c Claim) {
	key := ledgerKey{c.Customer, c.Key}
	if h, ok := l.holders[key]; ok && h.requestID == c.RequestID {
		h.released = true
		l.holders[key] = h
	}
}

// Len returns the number of tickets in the ledger.
func (l *Ledger) Len() int { return len(l.holders) }

func (l *Ledger) expire(now time.Time) {
	n := 0
	for n < len(l.expiries) && !now.Before(l.expiries[n].at) {
		delete(l.holders, l.expiries[n].key)
		n++
	}
	l.expiries = l.expiries[n:]
}
