package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/load"
	"github.com/hibiscusspur/hibiscusspur/load/lab"
	"github.com/hibiscusspur/hibiscusspur/sidecar"
	standin "github.com/hibiscusspur/hibiscusspur/standin/engine"
)

const (
	loadModel    = "measured"
	loadCustomer = "measured"
	loadKey      = "key-of-measured"
	promptTokens = 200
	baseTokens   = 16
	manySlots    = 400
)

// quickEngine returns an engine that decodes one token for each of many runs every 10 ms.
func quickEngine() lab.Engine {
	return lab.Engine{
		DecodeSlots: manySlots, StepBase: 10 * time.Millisecond, PrefillRate: 1e6, LinkRate: 1e12,
		KVBytesPerToken: 1024, KVTTL: time.Minute, CacheTokens: 100000, LoadLag: time.Second,
	}
}

// loadPoint is one offered load: requests per second and tokens per answer.
type loadPoint struct {
	rate, tokens int
	unrepeatable bool
}

// loadPoints returns one series of loads that varies the rate and one that varies the
// tokens.
func (r *runner) loadPoints(rates []int, rate int) (byRate, byTokens []loadPoint) {
	for _, x := range rates {
		byRate = append(byRate, loadPoint{rate: x, tokens: baseTokens})
	}
	for _, t := range []int{16, 64, 128, 256} {
		byTokens = append(byTokens, loadPoint{rate: rate, tokens: t})
	}
	return byRate, byTokens
}

func (p loadPoint) class() *load.Class {
	return &load.Class{
		Customer: load.Customer{ID: loadCustomer, Brand: "Measured", Key: loadKey, Share: 1},
		Name:     p.className(), Model: loadModel, Unique: load.Fixed(promptTokens), Answer: load.Fixed(p.tokens),
		TTFT: 10 * time.Second, TBT: time.Second, Deadline: 30 * time.Second, Unrepeatable: p.unrepeatable,
	}
}

func (p loadPoint) className() string {
	if p.unrepeatable {
		return "once"
	}
	return "repeatable"
}

func loadContract() *contract.Contract {
	c := exampleContract(0, 0)
	c.Customer, c.Keys = loadCustomer, []contract.Key{{Name: "load", SHA256: contract.HashKey(loadKey)}}
	c.Classes = nil
	for _, once := range []bool{false, true} {
		c.Classes = append(c.Classes, contract.Class{
			Name: loadPoint{unrepeatable: once}.className(), Models: []string{loadModel}, Urgency: contract.Prompt, Unrepeatable: once,
			TTFT: 10 * time.Second, TBT: time.Second, Deadline: 30 * time.Second,
		})
	}
	return c
}

// loadCost is the cost of one load to a process.
type loadCost struct {
	requests, tokens float64
	before, after    sample
	frames           []Frames
	calls            [2]platformCalls
}

// offerLoad offers load to target for a window, and takes samples before and after it. The
// process is idle at both, so that all of the work lies in between.
func (r *runner) offerLoad(ctx context.Context, p loadPoint, target string, take func() (sample, error)) (loadCost, error) {
	var o loadCost
	c := load.NewClient([]string{target})
	defer c.Close()
	length := 8 * time.Second
	if r.Quick {
		length = 3 * time.Second
	}
	run := load.Run{
		Flows: []load.Flow{{Class: p.class(), Rate: float64(p.rate), Fixed: true}}, Load: 1, Length: length,
		Seed: uint64(p.rate)<<16 | uint64(p.tokens), Tag: fmt.Sprintf("%s-%d", p.className(), time.Now().UnixNano()),
	}
	var err error
	if o.before, err = take(); err != nil {
		return o, err
	}
	results := run.Do(ctx, c)
	if o.after, err = take(); err != nil {
		return o, err
	}
	for _, res := range results {
		if !res.Verdict.Completed() {
			return o, merry.Errorf("request at %d/s: %s %s", p.rate, res.Verdict, res.Reason)
		}
		o.requests++
		o.tokens += float64(res.Tokens)
	}
	return o, nil
}

// addLoad adds the resource usage rates of one load over x.
func (s *Section) addLoad(over string, x float64, o loadCost) {
	t := o.after.at.Sub(o.before.at).Seconds()
	s.add("processor", "ms/s", over, x, 1000*(o.after.usage.cpu-o.before.usage.cpu).Seconds()/t)
	s.add("link bytes sent", "B/s", over, x, (o.after.sent-o.before.sent)/t)
	s.add("link bytes received", "B/s", over, x, (o.after.received-o.before.received)/t)
	if o.after.segments > 0 {
		s.add("TCP segments, both ways", "1/s", over, x, (o.after.segments-o.before.segments)/t)
	}
	s.add("resident memory", "MiB", over, x, o.after.usage.resident/mebibyte)
}

// measureSeries offers both series of loads and fits the cost of each request and each
// token: the slope over the rates at a fixed length is the cost of a request with its
// tokens, the slope over the tokens is the cost of one token.
func (s *Section) measureSeries(byRate, byTokens []loadPoint, offer func(loadPoint) (loadCost, error)) error {
	for _, p := range byRate {
		o, err := offer(p)
		if err != nil {
			return err
		}
		t := o.after.at.Sub(o.before.at).Seconds()
		s.addLoad(fmt.Sprintf("requests/s of %d tokens", baseTokens), o.requests/t, o)
	}
	for _, p := range byTokens {
		o, err := offer(p)
		if err != nil {
			return err
		}
		t := o.after.at.Sub(o.before.at).Seconds()
		s.addLoad(fmt.Sprintf("tokens/s in requests at %d/s", p.rate), o.tokens/t, o)
	}
	return nil
}

// loadDeployment is one entry in front of engines.
type loadDeployment struct {
	lab      *lab.Lab
	farm     *sidecarFarm
	platform *relayedPlatform
}

func (l *loadDeployment) close() {
	if l.platform != nil {
		l.platform.close()
	}
	if l.farm != nil {
		l.farm.close()
	}
	l.lab.Stop()
}

// startLoadDeployment starts engines, their sidecars as a farm or as processes, and an
// entry.
func (r *runner) startLoadDeployment(ctx context.Context, engines int, process bool) (*loadDeployment, error) {
	l, err := lab.NewEmpty("capacity", r.Bin)
	if err != nil {
		return nil, err
	}
	d := &loadDeployment{lab: l}
	if err := d.start(ctx, r, engines, process); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (l *loadDeployment) start(ctx context.Context, r *runner, engines int, process bool) error {
	if err := l.lab.StartEngines(lab.Pool{Model: loadModel, Role: string(engine.RoleMixed), Count: engines, Engine: quickEngine()}); err != nil {
		return err
	}
	backends, err := l.sidecars(ctx, process)
	if err != nil {
		return err
	}
	if l.platform, err = newRelayedPlatform(ctx, backends, 0); err != nil {
		return err
	}
	if err := l.platform.store.configure(ctx, []*contract.Contract{loadContract()}, nil); err != nil {
		return err
	}
	if err := r.addEntry(ctx, l.lab, l.platform.relay.url()); err != nil {
		return err
	}
	return l.awaitServing(ctx)
}

// sidecars starts a sidecar process for each engine, or a farm.
func (l *loadDeployment) sidecars(ctx context.Context, process bool) ([]contract.Backend, error) {
	var out []contract.Backend
	var urls []string
	for i, e := range l.lab.Engines {
		urls = append(urls, e.URL)
		if err := l.lab.Await(ctx, e.URL+standin.PathState); err != nil {
			return nil, err
		}
		b := contract.Backend{ID: serverID(i), Zone: "zone-a", Role: string(engine.RoleMixed), Models: []string{loadModel}}
		if process {
			set := sidecar.DefaultSettings()
			set.Engine = e.URL
			instance, err := l.lab.StartSidecar(set, b)
			if err != nil {
				return nil, err
			}
			b.Address = instance.Address
			out = append(out, b)
		}
	}
	if process {
		return out, nil
	}
	var err error
	if l.farm, err = newFarm(ctx, len(urls), urls, nil); err != nil {
		return nil, err
	}
	out = l.farm.backends(string(engine.RoleMixed), len(urls))
	for i := range out {
		out[i].Models = []string{loadModel}
	}
	return out, nil
}

// awaitServing sends requests until one completes.
func (l *loadDeployment) awaitServing(ctx context.Context) error {
	c := load.NewClient([]string{l.lab.Targets[0]})
	defer c.Close()
	deadline := time.Now().Add(linkTimeout)
	for i := uint64(0); ; i++ {
		res := c.Do(ctx, load.NewRequest(loadPoint{tokens: 2}.class(), i, "warm"), time.Now())
		if res.Verdict.Completed() {
			return nil
		}
		if time.Now().After(deadline) || !sleep.For(ctx, 10*pollInterval) {
			return merry.Errorf("entry does not serve: %s %s", res.Verdict, res.Reason)
		}
	}
}
