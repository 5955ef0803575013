package admission

import (
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/fairshare"
	"github.com/hibiscusspur/hibiscusspur/policy/kvlink"
)

// Defaults of DecodeConfig.
const (
	DefaultGrace   = 500 * time.Millisecond
	DefaultHold    = 500 * time.Millisecond
	DefaultMaxWait = 10 * time.Second
	DefaultQueue   = 2000
)

const (
	// pollInterval is how often waiting requests are looked at with no event,
	// since expected ends come nearer with time alone.
	pollInterval = 20 * time.Millisecond
	// lookahead is how many waiting customers are weighed at once.
	lookahead = 8
)

// DecodeConfig describes a decode server. Slots must be positive.
type DecodeConfig struct {
	// Slots is how many requests the engine decodes at once.
	Slots int
	// StepBase and StepPerRun give the time of one decode step.
	StepBase, StepPerRun time.Duration
	// LinkBytesPerSecond is the rate of the inbound KV link; 0 means unlimited.
	LinkBytesPerSecond float64
	// Ahead is how many places may be promised on runs expected to end; 0 means none.
	Ahead int
	// Grace is how long an unused reservation is kept after its prefill was
	// expected to be done, in addition to the length of that prefill: a lapse
	// while the prefill goes on would waste it.
	Grace time.Duration
	// Hold is how long a run that found no place free may wait for one. It is
	// less than the time for which a KV cache is kept for export.
	Hold time.Duration
	// MaxWait bounds the wait of a request without a target.
	MaxWait time.Duration
	// MaxQueued bounds the number of waiting requests.
	MaxQueued int
	// FIFO serves in order of arrival, whatever the customer and urgency.
	FIFO bool
}

// DefaultDecodeConfig returns the settings for a server with the given places.
func DefaultDecodeConfig(places int) DecodeConfig {
	return DecodeConfig{
		Slots:     places,
		Ahead:     places / 4,
		Grace:     DefaultGrace,
		Hold:      DefaultHold,
		MaxWait:   DefaultMaxWait,
		MaxQueued: DefaultQueue,
	}
}

// state of a place.
type state uint8

const (
	promised state = iota // reserved, its prefill is on the way
	held                  // asked to start when no place was free
	running
)

// place is one reservation or run.
type place struct {
	req     DecodeRequest
	lengths *lengths // of its class
	state   state
	// early places were promised on runs expected to end.
	early bool
	// need is when the place is needed.
	need time.Time
	// expires ends a promise or a hold.
	expires time.Time
	// tokens were given out at the time seen; further ones are estimated.
	tokens int
	seen   time.Time
	began  time.Time
}

// Counts tells how the promises of a Decode turned out.
type Counts struct {
	// Early counts places promised before they were free, Late those of all
	// promises that found no place free when they started.
	Early, Late uint64
	// Lapsed counts promises that were never used.
	Lapsed uint64
}

// Decode is the state machine of one decode server.
type Decode struct {
	cfg     DecodeConfig
	queue   *fairshare.Queue[Key]
	waiting map[Key]DecodeRequest
	places  map[Key]*place
	ordered []*place // by time of the grant
	busy    int      // number in state running
	link    *kvlink.Link[Key]
	steps   steps
	classes map[classKey]*lengths
	others  lengths
	caution float64
	// placeTime is the mean time for which a run holds its place.
	placeTime time.Duration
	owed      owed
	returns   returns
	counts    Counts
}

// NewDecode returns a server with all places free.
func NewDecode(cfg DecodeConfig) *Decode {
	return &Decode{
		cfg:     cfg,
		queue:   fairshare.New[Key](fairshare.DefaultConfig(cfg.Slots)),
		waiting: make(map[Key]DecodeRequest),
		places:  make(map[Key]*place),
		link:    kvlink.New[Key](cfg.LinkBytesPerSecond),
		steps:   steps{base: cfg.StepBase, perRun: cfg.StepPerRun, scale: 1},
		classes: make(map[classKey]*lengths),
		caution: minCaution,
		owed:    newOwed(cfg.Slots),
	}
}

// Reserve asks for a place. The decision is Rejected or Waiting; the grant comes
// from Advance, at once when a place is free. Repeating a call changes nothing.
func (d *Decode) Reserve(now time.Time, r DecodeRequest) Decision {
	r = d.normal(r)
	if p := d.places[r.Key]; p != nil {
		return d.granted(now, p, d.link.Quote(now, p.need, 0))
	}
	if _, ok := d.waiting[r.Key]; ok {
		return Decision{Key: r.Key, Verdict: Waiting}
	}
	est := d.estimate(now, r)
	if reason := d.refusal(est); reason != "" {
		return d.refuse(now, r, reason, est.wait-est.slack)
	}
	d.waiting[r.Key] = r
	d.queue.Push(now, fairshare.Item[Key]{
		Key: r.Key, Customer: r.Customer, Weight: r.Share, Urgency: r.Urgency,
		Cost: d.cost(r), Deadline: now.Add(est.slack),
	})
	return Decision{Key: r.Key, Verdict: Waiting}
}

// Start begins the run of a reservation whose KV cache is ready. Without a
// reservation it is refused, since its place may be another's by now.
func (d *Decode) Start(now time.Time, key Key) Decision {
	p := d.places[key]
	if p != nil && p.state != running && !p.expires.After(now) {
		d.counts.Lapsed++
		d.release(p)
		p = nil
	}
	if p == nil {
		return d.refuse(now, DecodeRequest{Key: key}, outcome.ReservationLapsed, 0)
	}
	if p.state == running {
		return Decision{Key: key, Verdict: Started}
	}
	if d.busy < d.cfg.Slots {
		return d.start(now, p)
	}
	if p.state == promised {
		p.state = held
		p.expires = now.Add(d.cfg.Hold)
		d.counts.Late++
		d.caution = min(d.caution+cautionUp, maxCaution)
	}
	return Decision{Key: key, Verdict: Held}
}

func (d *Decode) start(now time.Time, p *place) Decision {
	if p.state == promised && p.early {
		d.caution = max(d.caution-cautionDown, minCaution)
	}
	p.state = running
	p.seen, p.began = now, now
	d.busy++
	g := d.link.Begin(now, p.req.Key, p.req.KVBytes)
	return Decision{Key: p.req.Key, Verdict: Started, Wait: g.Start.Sub(now), LinkTime: g.Duration}
}

// FirstToken notes that the first token of a run has come, so long after its start:
// its KV cache has arrived, and one step was done.
func (d *Decode) FirstToken(key Key, took time.Duration) {
	if p := d.places[key]; p != nil && d.link.Release(key) {
		d.link.Observe(p.req.KVBytes, took-d.steps.of(d.busy))
	}
}

// Progress notes how many tokens a run has given out.
func (d *Decode) Progress(now time.Time, key Key, tokens int) {
	if p := d.places[key]; p != nil && p.state == running {
		p.tokens, p.seen = tokens, now
	}
}

// ObserveStep feeds back the measured time of a decode step with the present batch.
func (d *Decode) ObserveStep(step time.Duration) {
	d.steps.observe(max(d.busy, 1), step)
}

// Completed gives back the place of a run that was completed with so many tokens.
func (d *Decode) Completed(now time.Time, key Key, tokens int) {
	p := d.places[key]
	if p == nil {
		return
	}
	if p.state == running {
		p.lengths.observe(tokens)
		d.measure(now.Sub(p.began))
	}
	d.release(p)
}

// Cancel gives up whatever is held under key: a wait, a reservation or a run.
// It reports whether there was any.
func (d *Decode) Cancel(key Key) bool {
	if p := d.places[key]; p != nil {
		d.release(p)
		return true
	}
	if _, ok := d.waiting[key]; !ok {
		return false
	}
	delete(d.waiting, key)
	d.queue.Remove(key)
	return true
}

func (d *Decode) release(p *place) {
	if p.state == running {
		d.busy--
	}
	key := p.req.Key
	delete(d.places, key)
	i := slices.Index(d.ordered, p)
	d.ordered = slices.Delete(d.ordered, i, i+1)
	d.link.Release(key)
	d.queue.Release(p.req.Customer)
}

// normal fills in defaults, and hides customers from a queue that is to be FIFO.
func (d *Decode) normal(r DecodeRequest) DecodeRequest {
	if r.MaxTokens <= 0 {
		r.MaxTokens = DefaultMaxTokens
	}
	if d.cfg.FIFO {
		r.Customer, r.Share, r.Urgency = "", 1, contract.Interactive
	}
	return r
}

// class returns the lengths of the class of r, kept from now on.
func (d *Decode) class(r DecodeRequest) *lengths {
	k := classKey{r.Customer, r.Class}
	l := d.classes[k]
	if l == nil && len(d.classes) >= maxClasses {
		return &d.others
	}
	if l == nil {
		l = new(lengths)
		d.classes[k] = l
	}
	return l
}

func (d *Decode) measure(took time.Duration) {
	const gain = 16
	if d.placeTime == 0 {
		d.placeTime = took
		return
	}
	d.placeTime += (took - d.placeTime) / gain
}

// Load is the server's own view of its promises.
type Load struct {
	Slots, UsedSlots, Queued int
	// LinkBacklog is the time of the link that is granted from now on.
	LinkBacklog time.Duration
	// Step is the time of a decode step with the present batch.
	Step time.Duration
}

// Load returns the present load.
func (d *Decode) Load(now time.Time) Load {
	return Load{
		Slots: d.cfg.Slots, UsedSlots: len(d.ordered), Queued: len(d.waiting),
		LinkBacklog: d.link.Backlog(now), Step: d.steps.of(max(d.busy, 1)),
	}
}

// Counts returns how the promises have turned out so far.
func (d *Decode) Counts() Counts {
	return d.counts
}
