package lab

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/load"
)

const (
	readyTimeout  = 20 * time.Second
	readyInterval = 50 * time.Millisecond
	serveInterval = 200 * time.Millisecond
)

// apply registers the backend servers and contracts with operator commands.
func (l *Lab) apply(ctx context.Context) error {
	if err := l.await(ctx, l.Platform+"/control/counters"); err != nil {
		return err
	}
	backends, contracts := filepath.Join(l.dir, "backends"), filepath.Join(l.dir, "contracts")
	for _, s := range l.Sidecars {
		b := contract.Backend{ID: s.ID, Address: s.Address, Zone: s.Zone, Role: s.Role, Models: []string{s.Model}}
		if err := writeRecord(backends, s.ID, &b); err != nil {
			return err
		}
	}
	for _, c := range Contracts(l.Deployment) {
		if err := writeRecord(contracts, c.Customer, c); err != nil {
			return err
		}
	}
	if err := l.runOperator(ctx, "backend", "add", "-f", backends, "--yes"); err != nil {
		return err
	}
	return l.runOperator(ctx, "contract", "apply", "-f", contracts, "--yes")
}

func (l *Lab) runOperator(ctx context.Context, args ...string) error {
	out, err := exec.CommandContext(ctx, l.router, append(args, "--platform", l.Platform)...).CombinedOutput()
	if err != nil {
		return merry.Errorf("%v: %w: %s", args, err, out)
	}
	return nil
}

type record interface{ Marshal() ([]byte, error) }

func writeRecord(dir, name string, r record) error {
	data, err := r.Marshal()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name+".yaml"), data, 0o600)
}

// Contract limits that no experiment reaches, unless it tests them.
const (
	unlimitedRate        = 10000
	unlimitedConcurrency = 100000
	unlimitedTokens      = 100000
)

// Contracts returns the contracts that the flows of a deployment need.
func Contracts(d Deployment) []*contract.Contract {
	var out []*contract.Contract
	for _, f := range d.Flows {
		c := findOrAddContract(&out, f.Class.Customer)
		if f.Class.Service == nil {
			c.Classes = append(c.Classes, contractClass(f.Class))
			continue
		}
		if len(c.Services) == 0 {
			c.Services = []contract.Service{{Name: f.Class.Service.Service, Unrepeatable: []string{"POST /receipts"}, Timeout: f.Class.Deadline}}
		}
	}
	return out
}

func findOrAddContract(list *[]*contract.Contract, customer load.Customer) *contract.Contract {
	for _, c := range *list {
		if c.Customer == customer.ID {
			return c
		}
	}
	c := &contract.Contract{
		Customer: customer.ID, Brand: customer.Brand, Share: customer.Share,
		Keys:   []contract.Key{{Name: "load", SHA256: contract.HashKey(customer.Key)}},
		Limits: contract.Limits{RequestsPerSecond: unlimitedRate, Burst: unlimitedRate, Concurrent: unlimitedConcurrency, MaxPromptTokens: unlimitedTokens, MaxOutputTokens: unlimitedTokens, MaxBodyBytes: contract.DefaultMaxBodyBytes},
	}
	*list = append(*list, c)
	return c
}

func contractClass(c *load.Class) contract.Class {
	return contract.Class{
		Name: c.Name, Models: []string{c.Model}, Urgency: c.Urgency, Unrepeatable: c.Unrepeatable,
		TTFT: c.TTFT, TBT: c.TBT, Deadline: c.Deadline,
	}
}

// await waits until a GET of url succeeds.
func (l *Lab) await(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		if Answers(ctx, url) {
			return nil
		}
		if p := l.exitedProcess(); p != nil {
			return merry.Errorf("%s exited: %s", p.name, p.tail(3))
		}
		if !sleep.For(ctx, readyInterval) {
			return merry.Errorf("no answer from %s: %w", url, ctx.Err())
		}
	}
}

// Answers reports whether a GET of url succeeds.
func Answers(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (l *Lab) exitedProcess() *process {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.procs {
		if p.exited() {
			return p
		}
	}
	return nil
}

// awaitServing sends requests of every class to every entry until one of each class
// completes.
func (l *Lab) awaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i, target := range l.Targets {
		if err := l.await(ctx, target+"/healthz"); err != nil {
			return err
		}
		c := load.NewClient([]string{target})
		defer c.Close()
		for _, f := range l.Deployment.Flows {
			if err := l.awaitClass(ctx, c, f.Class, uint64(i)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (l *Lab) awaitClass(ctx context.Context, c *load.Client, class *load.Class, seed uint64) error {
	for n := 0; ; n++ {
		short := *class
		short.Unique, short.Answer, short.Shared = load.Fixed(20), load.Fixed(2), load.Shared{}
		res := c.Do(ctx, load.NewRequest(&short, seed, fmt.Sprintf("warm-%s-%d", class.Name, n)), time.Now())
		if res.Verdict.Completed() {
			return nil
		}
		if p := l.exitedProcess(); p != nil {
			return merry.Errorf("%s exited: %s", p.name, p.tail(3))
		}
		if !sleep.For(ctx, serveInterval) {
			return merry.Errorf("class %s is not served: %s %s", class.ID(), res.Verdict, res.Reason)
		}
	}
}
