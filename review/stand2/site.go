package stand2

import (
	"fmt"
	"os"
	"time"
)

// Host is the host of all routes.
const Host = "ficu95.example"

// Names of the services of the small deployment that scripts run.
const (
	Model  = "huvo11a"
	Portal = "wuno96b"
)

// Route is one route of the manifest, in the form that the store holds.
func Route(name, prefix, kind, service string, attempts int, resumable bool, timeoutMs, objectiveMs int) map[string]any {
	r := map[string]any{
		"name": name, "host": Host, "prefix": prefix, "kind": kind, "service": service, "timeout_ms": timeoutMs, "slo_ms": objectiveMs,
		"priority": 1, "attempts": attempts, "resumable": resumable,
	}
	if kind == "stream" {
		r["sticky"], r["gap_target_ms"] = true, 300
	}
	return r
}

// Manifest is a manifest with some routes, and the services of sites/sni-gerd.toml.
func Manifest(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": Model, "health_path": "/health", "max_conns": 290, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 48, "kv_capacity": 53125, "kv_token_bytes": 131072, "link_mbps": 1500000.0, "moves": true, "backups": true, "stride": 11,
				"kv_ttl_s": copyTTL.Seconds(), "switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": Portal, "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// AddEngines starts engines, the first ones for prefill and the others for decode.
func (p *Platform) AddEngines(prefill, decode int, version string, eventEvery time.Duration) error {
	for i := range prefill + decode {
		stage := "decode"
		if i < prefill {
			stage = "prefill"
		}
		if err := p.Add(NewEngine(i, stage, eventEvery), version); err != nil {
			return err
		}
	}
	return nil
}

// NewEngine returns an engine of a stage; i tells it from others.
func NewEngine(i int, stage string, eventEvery time.Duration) *Replica {
	return &Replica{
		ID: fmt.Sprintf("i-%08x", 0x7f3a91c2+i), Service: Model, Stage: stage, Zone: "hall-a", Slots: 48, Memory: 53125,
		EventEvery: eventEvery, EventTokens: 11,
	}
}

// AddPlain starts replicas of a plain service.
func (p *Platform) AddPlain(service string, n int, work time.Duration) error {
	for i := range n {
		r := &Replica{ID: fmt.Sprintf("i-%s-%d", service, i+1), Service: service, Zone: "hall-a", Slots: 6, WorkTime: work}
		if err := p.Add(r, "v1"); err != nil {
			return err
		}
	}
	return nil
}

// Trouble reports whether the script runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Exit codes of scripts.
const (
	held = iota
	broken
	couldNotRun
)

// Main runs a case, which returns how often the rule was broken, and ends the process with the result.
func Main(record string, run func(p *Platform) (breaks int, err error)) {
	p, err := New(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNotRun)
	}
	breaks, err := run(p)
	code := held
	switch {
	case err != nil:
		p.Note("could not run: %v", err)
		fmt.Println("could not run:", err)
		code = couldNotRun
	case breaks > 0:
		code = broken
	}
	p.Note("trouble=%t breaks=%d exit=%d", Trouble(), breaks, code)
	fmt.Printf("trouble=%t breaks=%d exit=%d\n", Trouble(), breaks, code)
	p.Close()
	os.Exit(code)
}
