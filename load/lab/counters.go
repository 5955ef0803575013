package lab

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"

	"github.com/hibiscusspur/hibiscusspur/load"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/standin/engine"
)

// Counters reads the counters of every engine, by id. Engines that do not respond are left
// out.
func (l *Lab) Counters(ctx context.Context) map[string]engine.Counters {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := make(map[string]engine.Counters)
	for _, e := range l.Engines {
		wg.Go(func() {
			var s engine.State
			if err := getJSON(ctx, e.URL+engine.PathState, &s); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[e.ID] = s.Counters
		})
	}
	wg.Wait()
	return out
}

func getJSON(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out)
}

// Prefill returns the prefill work between two snapshots of the counters, by model. An
// engine that crashed in between is left out.
func (l *Lab) Prefill(before, after map[string]engine.Counters) []load.PrefillReport {
	var out []load.PrefillReport
	index := make(map[string]int)
	for _, e := range l.Engines {
		b, a := before[e.ID], after[e.ID]
		if a.PrefillDone < b.PrefillDone {
			continue
		}
		i, ok := index[e.Model]
		if !ok {
			i = len(out)
			index[e.Model] = i
			out = append(out, load.PrefillReport{Group: e.Model})
		}
		addPrefill(&out[i], b, a)
	}
	return out
}

func addPrefill(p *load.PrefillReport, before, after engine.Counters) {
	p.Done += after.PrefillDone - before.PrefillDone
	p.Cached += after.PrefillCached - before.PrefillCached
	p.Discarded += after.PrefillDiscarded - before.PrefillDiscarded
	p.Expired += after.PrefillExpired - before.PrefillExpired
	p.Released += after.PrefillReleased - before.PrefillReleased
	p.ImportsLost += after.ImportsLost - before.ImportsLost
	p.Wasted = p.Discarded + p.Expired + p.Released
}

// sumByReason sums the counters whose names have a prefix, such as metrics.RetriedPrefix,
// over processes by reason; zero counters are left out.
func sumByReason(ctx context.Context, prefix string, admins []string) map[string]int {
	out := make(map[string]int)
	for _, admin := range admins {
		var counters map[string]struct{ Count int }
		if err := getJSON(ctx, admin+"/metrics", &counters); err != nil {
			continue
		}
		for name, c := range counters {
			if reason, ok := strings.CutPrefix(name, prefix); ok && c.Count > 0 {
				out[reason] += c.Count
			}
		}
	}
	return out
}

// Retries returns the number of retries by the entries since their start, by reason.
func (l *Lab) Retries(ctx context.Context) map[string]int {
	var admins []string
	for _, e := range l.Entries {
		admins = append(admins, e.Admin)
	}
	return sumByReason(ctx, metrics.RetriedPrefix, admins)
}

// Refusals returns the number of rejections by the sidecars of a role since their start,
// by reason.
func (l *Lab) Refusals(ctx context.Context, role string) map[string]int {
	var admins []string
	for _, s := range l.Sidecars {
		if s.Role == role {
			admins = append(admins, s.Admin)
		}
	}
	return sumByReason(ctx, metrics.RefusedPrefix, admins)
}
