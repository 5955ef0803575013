package admission

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/fairshare"
	"github.com/hibiscusspur/hibiscusspur/policy/kvlink"
)

// Advance returns the decisions that are due: reservations and queued requests that have expired
// (Rejected), delayed runs that may start now (Started), and new grants (Granted). Call it after
// every other call and at the time given by NextWake.
func (d *Decode) Advance(now time.Time) []Decision {
	out := d.expire(now)
	for _, s := range d.byGrant {
		if s.state == delayed && d.running < d.cfg.Slots {
			out = append(out, d.start(now, s))
		}
	}
	for {
		key, ok := d.next(now)
		if !ok {
			return out
		}
		out = append(out, d.grant(now, key))
	}
}

// NextWake returns when to call Advance if no other call comes before; false means never.
func (d *Decode) NextWake(now time.Time) (time.Time, bool) {
	wake, ok := d.queue.NextDeadline()
	if ok && now.Add(pollInterval).Before(wake) {
		wake = now.Add(pollInterval)
	}
	for _, s := range d.byGrant {
		if s.state != running && (!ok || s.expiresAt.Before(wake)) {
			wake, ok = s.expiresAt, true
		}
	}
	return wake, ok
}

func (d *Decode) expire(now time.Time) []Decision {
	var out []Decision
	for i := 0; i < len(d.byGrant); {
		s := d.byGrant[i]
		if s.state == running || s.expiresAt.After(now) {
			i++
			continue
		}
		d.counts.Lapsed++
		d.release(s)
		out = append(out, d.reject(now, s.request, outcome.ReservationLapsed, 0))
	}
	for _, it := range d.queue.Expire(now) {
		r := d.queued[it.Key]
		delete(d.queued, it.Key)
		out = append(out, d.reject(now, r, outcome.NoDecodeSlot, 0))
	}
	return out
}

// next returns the queued request that is granted a slot now. A request that can't be granted one
// yet claims the next slot: requests behind it in the queue, which may need theirs later, are
// granted only slots beyond the claimed ones.
func (d *Decode) next(now time.Time) (found Key, ok bool) {
	var claimed int
	var tbt time.Duration
	d.queue.Walk(maxCandidates, func(it fairshare.Item[Key]) bool {
		r := d.queued[it.Key]
		tbt = minTarget(tbt, r.TBT)
		neededAt := d.transfer(now, r).End()
		if d.freeSlots(now, neededAt, tbt)-claimed-d.debts.reservedForOthers(now, d, r) > 0 {
			found, ok = it.Key, true
			return false
		}
		claimed++
		return claimed < d.cfg.Slots
	})
	return found, ok
}

func (d *Decode) grant(now time.Time, key Key) Decision {
	r := d.queued[key]
	delete(d.queued, key)
	d.queue.Take(key)
	g := d.link.Plan(now, key, now.Add(r.PrefillTime), r.KVBytes)
	s := &slot{request: r, lengths: d.lengthsOf(r), neededAt: g.End(), overcommitted: len(d.byGrant) >= d.cfg.Slots}
	s.expiresAt = s.neededAt.Add(r.PrefillTime + d.cfg.Grace)
	if s.overcommitted {
		d.counts.Overcommitted++
	}
	d.slots[key] = s
	d.byGrant = append(d.byGrant, s)
	d.debts.settle(r.Customer)
	return d.granted(now, s, g)
}

func (d *Decode) granted(now time.Time, s *slot, g kvlink.Grant) Decision {
	wait := time.Duration(0)
	if s.overcommitted && s.state != running {
		wait = max(0, s.neededAt.Sub(now))
	}
	return Decision{
		Key: s.request.Key, Verdict: Granted, Wait: wait,
		LinkTime: g.Duration, ExpiresIn: max(0, s.expiresAt.Sub(now)),
	}
}

// transfer returns the earliest interval of the link in which the KV cache of r could be transferred.
func (d *Decode) transfer(now time.Time, r DecodeRequest) kvlink.Grant {
	return d.link.Quote(now, now.Add(r.PrefillTime), r.KVBytes)
}
