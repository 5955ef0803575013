package admission

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/fairshare"
	"github.com/hibiscusspur/hibiscusspur/policy/kvlink"
)

// Advance returns what has become due: reservations and waits that have lapsed
// (Rejected), held runs that may start now (Started), and new grants (Granted).
// Call it after every other call and at the time given by NextWake.
func (d *Decode) Advance(now time.Time) []Decision {
	out := d.lapse(now)
	for _, p := range d.ordered {
		if p.state == held && d.busy < d.cfg.Slots {
			out = append(out, d.start(now, p))
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

// NextWake returns when Advance is due with no event before; false means never.
func (d *Decode) NextWake(now time.Time) (time.Time, bool) {
	wake, ok := d.queue.NextDeadline()
	if ok && now.Add(pollInterval).Before(wake) {
		wake = now.Add(pollInterval)
	}
	for _, p := range d.ordered {
		if p.state != running && (!ok || p.expires.Before(wake)) {
			wake, ok = p.expires, true
		}
	}
	return wake, ok
}

func (d *Decode) lapse(now time.Time) []Decision {
	var out []Decision
	for i := 0; i < len(d.ordered); {
		p := d.ordered[i]
		if p.state == running || p.expires.After(now) {
			i++
			continue
		}
		d.counts.Lapsed++
		d.release(p)
		out = append(out, d.refuse(now, p.req, outcome.ReservationLapsed, 0))
	}
	for _, it := range d.queue.Expire(now) {
		r := d.waiting[it.Key]
		delete(d.waiting, it.Key)
		out = append(out, d.refuse(now, r, outcome.NoPlace, 0))
	}
	return out
}

// next returns the waiting request that is to get a place now. A request whose
// place is not yet in sight claims the first one: others that come after it, but
// need their place later, may only have what is left.
func (d *Decode) next(now time.Time) (found Key, ok bool) {
	var claimed int
	var tbt time.Duration
	d.queue.Walk(lookahead, func(it fairshare.Item[Key]) bool {
		r := d.waiting[it.Key]
		tbt = tighter(tbt, r.TBT)
		need := d.transfer(now, r).End()
		if d.free(now, need, tbt)-claimed-d.owed.against(now, d, r) > 0 {
			found, ok = it.Key, true
			return false
		}
		claimed++
		return claimed < d.cfg.Slots
	})
	return found, ok
}

func (d *Decode) grant(now time.Time, key Key) Decision {
	r := d.waiting[key]
	delete(d.waiting, key)
	d.queue.Take(key)
	g := d.link.Plan(now, key, now.Add(r.PrefillTime), r.KVBytes)
	p := &place{req: r, lengths: d.class(r), need: g.End(), early: len(d.ordered) >= d.cfg.Slots}
	p.expires = p.need.Add(r.PrefillTime + d.cfg.Grace)
	if p.early {
		d.counts.Early++
	}
	d.places[key] = p
	d.ordered = append(d.ordered, p)
	d.owed.settle(r.Customer)
	return d.granted(now, p, g)
}

func (d *Decode) granted(now time.Time, p *place, g kvlink.Grant) Decision {
	wait := time.Duration(0)
	if p.early && p.state != running {
		wait = max(0, p.need.Sub(now))
	}
	return Decision{
		Key: p.req.Key, Verdict: Granted, Wait: wait,
		LinkTime: g.Duration, ExpiresIn: max(0, p.expires.Sub(now)),
	}
}

// transfer returns when the KV cache of r could come over the link, at the earliest.
func (d *Decode) transfer(now time.Time, r DecodeRequest) kvlink.Grant {
	return d.link.Quote(now, now.Add(r.PrefillTime), r.KVBytes)
}
