package quarantine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// simCase is a load on model servers with parts of prompts that crash them.
type simCase struct {
	name string
	// servers serve sound requests at so many a second over three routes; each runs for some seconds.
	servers int
	rate    float64
	// parts returns the shared parts of a crashing request; nil if there is none at this time. It draws those of a sound
	// one first.
	crashing func(sound []string, second float64, rng *rand.Rand) []string
	// crashingRate is the rate of crashing requests per second while there are any.
	crashingRate float64
	// failures terminates servers for other reasons: it returns how many at this step.
	failures func(second float64, rng *rand.Rand) int
	// gateways is their number, simGateways if it is zero.
	gateways int
	// restarted gateways lose what they know at second 20.
	restarted int
	// attempts is how often a request that was lost is sent.
	attempts int
	// soundBefore makes the crashing part one of sound requests until crashing ones come.
	soundBefore bool
}

// simResult is what became of the requests of a case.
type simResult struct {
	// crashes counts terminations under the part; lateSends the requests with it that were sent more than three seconds
	// after the fifth.
	crashes, lateSends int
	// wrongHolds counts holds that match sound requests only, refused the sound requests that were refused.
	wrongHolds, refused, sound int
}

const (
	simStep     = 10 * time.Millisecond
	simSeconds  = 60
	simGateways = 5
	simRestart  = 3.0
)

type simRun struct {
	content  string
	parts    []string
	crashing bool
	gateway  int
	begins   float64
	ends     float64
	begun    bool
	attempts int
}

type simServer struct {
	name  string
	upAt  float64
	start int
	runs  []*simRun
}

// sim is one play of a case.
type sim struct {
	c        simCase
	rng      *rand.Rand
	ledgers  []*Ledger
	servers  []*simServer
	pending  []simMessage
	res      simResult
	fifth    float64
	contents int
	retries  []*simRun
}

// simMessage is something that a gateway learns later.
type simMessage struct {
	at      float64
	gateway int
	apply   func(l *Ledger, now time.Time)
}

func (s *sim) after(second, least, most float64, gateway int, f func(*Ledger, time.Time)) {
	s.pending = append(s.pending, simMessage{at: second + least + (most-least)*s.rng.Float64(), gateway: gateway, apply: f})
}

// soundParts draws the shared parts of a sound request: the first part of its route, the session's and a document.
func (s *sim) soundParts(second float64) []string {
	document := fmt.Sprint("document-", s.rng.IntN(60))
	if document == "document-7" && s.c.soundBefore && second < crashingFrom {
		document = "crashing"
	}
	route := 0
	if x := s.rng.Float64(); x > 0.8 {
		route = 2
	} else if x > 0.5 {
		route = 1
	}
	session := int(150 * s.rng.Float64() * s.rng.Float64() * s.rng.Float64())
	return []string{fmt.Sprint("first-", route), fmt.Sprintf("session-%d-%d", route, session), document}
}

func (s *sim) send(r *simRun, second float64) {
	l := s.ledgers[r.gateway]
	if _, held := l.Quarantined(named(r.content), r.parts, at(second)); held {
		if !r.crashing {
			s.res.refused++
		}
		return
	}
	var up []*simServer
	for _, x := range s.servers {
		if x.upAt <= second {
			up = append(up, x)
		}
	}
	if len(up) == 0 {
		return
	}
	if r.crashing && s.res.crashes >= 5 && second > s.fifth+3 {
		s.res.lateSends++
	}
	x := up[s.rng.IntN(len(up))]
	if y := up[s.rng.IntN(len(up))]; len(y.runs) < len(x.runs) {
		x = y
	}
	r.begun, r.begins = false, second+0.05+0.25*s.rng.Float64()
	r.ends = r.begins + 2 + 4*s.rng.Float64()
	r.attempts++
	x.runs = append(x.runs, r)
}

// terminate ends a server with its runs, which gateways report to each other.
func (s *sim) terminate(x *simServer, second float64) {
	name := fmt.Sprint(x.name, "-", x.start)
	for _, r := range x.runs {
		o := Observation{Content: named(r.content), Server: name}
		if r.begun {
			o.Generated = 20
		} else {
			o.Parts = r.parts
		}
		shares := s.ledgers[r.gateway].Shares(o.Parts)
		found := second + 0.1*s.rng.Float64()
		for g := range s.ledgers {
			most := 0.0
			if g != r.gateway {
				most = 0.1
			}
			s.after(found, 0, most, g, func(l *Ledger, now time.Time) {
				l.Observe(o, now)
				if g != r.gateway && len(o.Parts) > 0 {
					l.ObserveShares(fmt.Sprint(r.gateway), shares, now)
				}
			})
		}
		if r.attempts < s.c.attempts {
			s.retries = append(s.retries, r)
		}
	}
	x.runs, x.upAt = nil, second+simRestart
	x.start++
}

func (s *sim) step(second float64) {
	due := s.pending
	s.pending = nil
	slices.SortFunc(due, func(a, b simMessage) int { return int(1e6 * (a.at - b.at)) })
	for _, m := range due {
		if m.at > second {
			s.pending = append(s.pending, m)
			continue
		}
		m.apply(s.ledgers[m.gateway], at(m.at))
	}
	if int(second/simStep.Seconds())%10 == 0 {
		s.decide(second)
	}
	for _, x := range s.servers {
		s.run(x, second)
	}
	for range s.c.failures(second, s.rng) {
		if x := s.servers[s.rng.IntN(len(s.servers))]; x.upAt <= second {
			s.terminate(x, second)
		}
	}
	retries := s.retries
	s.retries = nil
	for _, r := range retries {
		s.send(r, second)
	}
}

func (s *sim) decide(second float64) {
	for g, l := range s.ledgers {
		started, _ := l.Decide(at(second))
		for _, h := range started {
			s.held(g, h, second)
		}
	}
}

// held passes a hold on, and counts it if it can't match a crashing request.
func (s *sim) held(g int, h Hold, second float64) {
	if len(h.Parts) > 0 && !slices.ContainsFunc(h.Parts, isCrashingPart) {
		s.res.wrongHolds++
	}
	for other := range s.ledgers {
		if other != g {
			s.after(second, 0.01, 0.1, other, func(l *Ledger, _ time.Time) { l.AddHold(h) })
		}
	}
}

// run has the runs of a server begin and end.
func (s *sim) run(x *simServer, second float64) {
	kept := x.runs[:0:0]
	for _, r := range x.runs {
		switch {
		case !r.begun && r.begins <= second && r.crashing:
			s.res.crashes++
			if s.res.crashes == 5 {
				s.fifth = second
			}
			s.terminate(x, second)
			return
		case !r.begun && r.begins <= second:
			r.begun = true
			cleared, _ := s.ledgers[r.gateway].RunBegan(r.parts, at(second))
			for _, p := range cleared {
				for g := range s.ledgers {
					if g != r.gateway {
						s.after(second, 0.01, 0.1, g, func(l *Ledger, _ time.Time) { l.ClearPart(p, at(second)) })
					}
				}
			}
		}
		if r.ends > second {
			kept = append(kept, r)
		}
	}
	x.runs = kept
}

func isCrashingPart(p string) bool { return p == "crashing" || p == "crashing-2" }

// play plays a case. decide sets up each ledger.
func (c simCase) play(seed uint64, newLedger func() *Ledger) simResult {
	s := &sim{c: c, rng: rand.New(rand.NewPCG(seed, 54))}
	for range cmp.Or(c.gateways, simGateways) {
		s.ledgers = append(s.ledgers, newLedger())
	}
	for i := range c.servers {
		s.servers = append(s.servers, &simServer{name: fmt.Sprint("server-", i)})
	}
	steps := int(simSeconds * time.Second / simStep)
	for i := range steps {
		second := float64(i) * simStep.Seconds()
		if i == steps/3 {
			for g := range c.restarted {
				holds := s.ledgers[g].Holds(at(second))
				s.ledgers[g] = newLedger()
				for _, h := range holds {
					s.ledgers[g].AddHold(h)
				}
			}
		}
		s.step(second)
		for _, crashing := range []bool{false, true} {
			rate := c.rate
			if crashing {
				rate = c.crashingRate
			}
			if s.rng.Float64() >= rate*simStep.Seconds() {
				continue
			}
			parts := s.soundParts(second)
			if crashing {
				if parts = c.crashing(parts, second, s.rng); parts == nil {
					continue
				}
			} else {
				s.res.sound++
			}
			s.contents++
			s.send(&simRun{content: fmt.Sprint(s.contents), parts: parts, crashing: crashing, gateway: s.rng.IntN(len(s.ledgers))}, second)
		}
	}
	return s.res
}
