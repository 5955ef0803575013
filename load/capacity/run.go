package capacity

import (
	"context"
	"crypto/tls"
	"runtime"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/security"
)

// Options of Run.
type Options struct {
	// Bin is the directory of the programs hibiscusspur and standin.
	Bin string
	// Quick uses short windows and small sizes.
	Quick bool
	// Only names the measurements to run; none means all.
	Only []string
	// Done, if set, is called concurrently with each section as it completes.
	Done func(Section)
}

type runner struct{ Options }

// measurement is one part of a run. Idle ones measure processes without work, and run at
// the same time.
type measurement struct {
	name string
	idle bool
	run  func(context.Context) (Section, error)
}

func (r *runner) measurements() []measurement {
	return []measurement{
		{"state", false, r.state},
		{"entry-rest", true, func(ctx context.Context) (Section, error) { return r.idleEntries(ctx, false) }},
		{"entry-rest-tls", true, func(ctx context.Context) (Section, error) { return r.idleEntries(ctx, true) }},
		{"sidecar-rest", true, r.idleSidecars},
		{"platform", true, r.idlePlatformCalls},
		{"vm-list", true, r.vmList},
		{"whole", true, func(ctx context.Context) (Section, error) { return r.whole(ctx, false) }},
		{"whole-tls", true, func(ctx context.Context) (Section, error) { return r.whole(ctx, true) }},
		{"operator", false, r.operator},
		{"change", false, r.changeCosts},
		{"entry-load", false, r.loadedEntry},
		{"sidecar-load", false, r.loadedSidecar},
	}
}

// Names returns the names of the measurements.
func Names() []string {
	var out []string
	for _, m := range new(runner).measurements() {
		out = append(out, m.name)
	}
	return out
}

// Run takes the measurements. After an error the report holds those that completed.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &runner{o}
	rep := &Report{Started: time.Now().UTC().Format(time.RFC3339), Quick: o.Quick, Cores: runtime.NumCPU()}
	for _, stage := range stages(r.measurements(), o.wants) {
		sections, err := r.runStage(ctx, stage)
		rep.Sections = append(rep.Sections, sections...)
		if err != nil {
			return rep, err
		}
	}
	return rep, nil
}

// stages groups the wanted measurements: consecutive idle ones share a stage.
func stages(all []measurement, wants func(string) bool) [][]measurement {
	var out [][]measurement
	idle := false
	for _, m := range all {
		if !wants(m.name) {
			continue
		}
		if !idle || !m.idle {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], m)
		idle = m.idle
	}
	return out
}

// runStage runs the measurements of one stage, and returns the sections of those that
// completed, and the first error.
func (r *runner) runStage(ctx context.Context, stage []measurement) ([]Section, error) {
	sections, errs := make([]*Section, len(stage)), make([]error, len(stage))
	var wg sync.WaitGroup
	for i, m := range stage {
		wg.Go(func() { sections[i], errs[i] = r.runOne(ctx, m) })
	}
	wg.Wait()
	var out []Section
	var first error
	for i, s := range sections {
		if errs[i] == nil {
			out = append(out, *s)
		} else if first == nil {
			first = merry.Prepend(errs[i], stage[i].name)
		}
	}
	return out, first
}

func (r *runner) runOne(ctx context.Context, m measurement) (*Section, error) {
	before := loadAverage()
	s, err := m.run(ctx)
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	s.LoadBefore, s.LoadAfter = before, loadAverage()
	if r.Done != nil {
		r.Done(s)
	}
	return &s, nil
}

func (o Options) wants(name string) bool {
	if len(o.Only) == 0 {
		return true
	}
	for _, n := range o.Only {
		if n == name {
			return true
		}
	}
	return false
}

// sizes returns the quick sizes in a quick run, otherwise the full ones.
func (r *runner) sizes(full, quick []int) []int {
	if r.Quick {
		return quick
	}
	return full
}

// idleWindow is how long an idle process is measured: a multiple of the heartbeat interval
// of idle links.
func (r *runner) idleWindow() time.Duration {
	if r.Quick {
		return 10 * time.Second
	}
	return 30 * time.Second
}

// newTLSConfig creates certificates in dir when secure is set, writes their paths to set,
// and returns the TLS configuration of the other end.
func (r *runner) newTLSConfig(secure bool, dir string, set *security.Settings) (*tls.Config, error) {
	if !secure {
		return nil, nil
	}
	certs, err := newCerts(dir)
	if err != nil {
		return nil, err
	}
	*set = certs
	return certs.Config()
}
