package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/load"
	"github.com/hibiscusspur/hibiscusspur/standin/fault"
	"github.com/hibiscusspur/hibiscusspur/standin/platform"
)

// Scenario is one fault that is injected under load.
type Scenario struct {
	Name, Description string
	// Prepare changes the deployments before they start.
	Prepare func(d []Deployment, p load.Phases)
	// Begin and End switch the fault on and off in one deployment.
	Begin, End func(ctx context.Context, l *Lab) error
	// WholeRun makes the fault last for the whole run, which is then compared with a run
	// without it.
	WholeRun bool
	// OwnProcess names pools, as model and role, whose engines each run in a process of
	// their own.
	OwnProcess []string
}

var decodePools = []string{"drafting decode", "ruling decode"}

// Scenarios returns all fault scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "decode-dies", Description: "one decode server of each deployment dies with its sidecar", OwnProcess: decodePools, Begin: killDecode},
		{Name: "zone-gone", Description: "every VM of one availability zone dies: sidecars, engines behind them, entry", Begin: killZone},
		{Name: "store-out", Description: "the platform's table refuses every call from the first arrival on", WholeRun: true, Begin: refuseTableCalls},
		{Name: "late-reports", Description: "engines renew their load reports every 2 s", WholeRun: true, Prepare: eachEngine(func(e *Engine) { e.LoadLag = 2 * time.Second })},
		{Name: "lost-events", Description: "half of the cache events are lost", WholeRun: true, Prepare: eachEngine(func(e *Engine) { e.EventLoss = 0.5 })},
		{Name: "slow-engine", Description: "one decode engine of each deployment takes five times as long for each step", Begin: setDecodeFault(fault.Rule{Kind: fault.Slow, Factor: 5}), End: clearDecodeFault},
		{Name: "slow-link", Description: "the inbound link of one decode engine has a tenth of its rate", Begin: setDecodeFault(fault.Rule{Kind: fault.Link, Factor: 0.1}), End: clearDecodeFault},
		{Name: "tenfold", Description: "a customer with a tenth of the drafting pool sends ten times its share", Prepare: addOverload},
	}
}

// ScenarioByName returns the scenario with a name.
func ScenarioByName(name string) (Scenario, error) {
	all := Scenarios()
	if i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name }); i >= 0 {
		return all[i], nil
	}
	var names []string
	for _, s := range all {
		names = append(names, s.Name)
	}
	return Scenario{}, merry.Errorf("unknown scenario %q; the scenarios are %s", name, strings.Join(names, ", "))
}

// Run runs the scenario under the load of e; p replaces the times of e.
func (s Scenario) Run(ctx context.Context, e Experiment, p load.Phases) (*load.FaultReport, error) {
	e.Warm, e.Window, e.OwnProcess = p.Warm, p.Length-p.Warm, s.OwnProcess
	var baseline *load.Report
	if s.WholeRun {
		var err error
		if baseline, err = e.Run(ctx); err != nil {
			return nil, err
		}
	}
	if s.Prepare != nil {
		e.Deployments = copyDeployments(e.Deployments)
		s.Prepare(e.Deployments, p)
	}
	failed := make(chan error, 2*len(e.Deployments))
	e.Fault = func(ctx context.Context, l *Lab) { failed <- s.inject(ctx, l, p) }
	rep, err := e.Run(ctx)
	if err != nil {
		return nil, err
	}
	close(failed)
	for err := range failed {
		if err != nil {
			return nil, merry.Prepend(err, s.Name)
		}
	}
	if s.WholeRun {
		return rep.CompareWith(s.Name, baseline), nil
	}
	return rep.ByPhase(s.Name, p), nil
}

// inject switches the fault on and off at its times.
func (s Scenario) inject(ctx context.Context, l *Lab, p load.Phases) error {
	if s.Begin == nil || (!s.WholeRun && !sleep.For(ctx, p.Begin)) {
		return nil
	}
	if err := s.Begin(ctx, l); err != nil {
		return err
	}
	if s.End == nil || !sleep.For(ctx, p.End-p.Begin) {
		return nil
	}
	return s.End(ctx, l)
}

func copyDeployments(in []Deployment) []Deployment {
	out := slices.Clone(in)
	for i := range out {
		out[i].Pools = slices.Clone(out[i].Pools)
		out[i].Flows = slices.Clone(out[i].Flows)
	}
	return out
}

func eachEngine(f func(*Engine)) func([]Deployment, load.Phases) {
	return func(all []Deployment, _ load.Phases) {
		for _, d := range all {
			for i := range d.Pools {
				f(&d.Pools[i].Engine)
			}
		}
	}
}

// The second customer's share of the drafting pool, and the factor by which its load
// exceeds that share.
const (
	visitorShare = 0.1
	visitorSurge = 10
)

// addOverload adds a second customer to the drafting pool, whose load surges during the
// fault.
func addOverload(all []Deployment, p load.Phases) {
	d := &all[0]
	regular := *load.Drafting
	regular.Customer.Share = 1 - visitorShare
	visitor := regular
	visitor.Customer = load.Customer{ID: "visitor", Brand: "Visitor", Key: "demo-visitor-key", Share: visitorShare}
	for i, f := range d.Flows {
		if f.Class == load.Lookup {
			lookup := *f.Class
			lookup.Customer.Share = regular.Customer.Share
			d.Flows[i].Class = &lookup
		}
		if f.Class == load.Drafting {
			d.Flows[i].Class, d.Flows[i].Rate = &regular, f.Rate*(1-visitorShare)
			d.Flows = append(d.Flows, load.Flow{
				Class: &visitor, Rate: f.Rate * visitorShare, Surge: load.Surge{From: p.Begin, To: p.End, Factor: visitorSurge},
			})
		}
	}
}

// firstDecode returns the first decode engine of the lab.
func (l *Lab) firstDecode() EngineInstance {
	i := slices.IndexFunc(l.Engines, func(e EngineInstance) bool { return e.Role == "decode" })
	return l.Engines[i]
}

func killDecode(_ context.Context, l *Lab) error {
	e := l.firstDecode()
	e.Kill()
	for _, s := range l.Sidecars {
		if s.ID == e.ID {
			s.Kill()
		}
	}
	return nil
}

// killZone kills the sidecars and entries of the last zone. The engines there continue,
// but are no longer reachable.
func killZone(_ context.Context, l *Lab) error {
	zone := l.Deployment.Zones[len(l.Deployment.Zones)-1]
	for _, s := range l.Sidecars {
		if s.Zone == zone && s.Role != "service" {
			s.Kill()
		}
	}
	for _, e := range l.Entries {
		if e.Zone == zone {
			e.Kill()
		}
	}
	return nil
}

func refuseTableCalls(ctx context.Context, l *Lab) error {
	return post(ctx, l.Platform+platform.PathFault, platform.Fault{Kind: platform.Refuse})
}

func setDecodeFault(r fault.Rule) func(context.Context, *Lab) error {
	return func(ctx context.Context, l *Lab) error { return post(ctx, l.firstDecode().URL+fault.Path, r) }
}

func clearDecodeFault(ctx context.Context, l *Lab) error {
	return call(ctx, http.MethodDelete, l.firstDecode().URL+fault.Path, nil)
}

func post(ctx context.Context, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return call(ctx, http.MethodPost, url, data)
}

func call(ctx context.Context, method, url string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return merry.Errorf("%s %s: %s", method, url, resp.Status)
	}
	return nil
}
