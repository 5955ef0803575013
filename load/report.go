package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histograms hold microseconds up to ten minutes with three significant digits.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Quantiles of a latency, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// histogram records durations; newHistogram creates one.
type histogram struct{ *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (h histogram) add(d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

func (h histogram) quantiles() Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000}
}

// ClassReport summarises the requests of one class that were due in the window.
type ClassReport struct {
	Class   string `json:"class"`
	Offered int    `json:"offered"`
	// Verdicts counts the requests by verdict, Reasons those not completed by
	// verdict and reason.
	Verdicts map[Verdict]int `json:"verdicts"`
	Reasons  map[string]int  `json:"reasons"`
	// OfferedRate and Goodput are requests per second; GoodShare is Goodput divided by
	// OfferedRate.
	OfferedRate float64 `json:"offered_rate"`
	Goodput     float64 `json:"goodput"`
	GoodShare   float64 `json:"good_share"`
	// TTFT covers requests that received a token, TBT all tokens after the first, Total
	// completed requests.
	TTFT  Quantiles `json:"ttft_ms"`
	TBT   Quantiles `json:"tbt_ms"`
	Total Quantiles `json:"total_ms"`
}

// Second counts the requests that were due in one second.
type Second struct {
	Offered int `json:"offered"`
	Good    int `json:"good"`
}

// Report is the report of one run.
type Report struct {
	Name string  `json:"name"`
	Seed uint64  `json:"seed"`
	Load float64 `json:"load"`
	// Window is the length of the measured part of the run, in seconds.
	Window  float64       `json:"window_s"`
	Classes []ClassReport `json:"classes"`
	// Late is how far the generator was behind its schedule.
	Late Quantiles `json:"generator_late_ms"`
	// Seconds is the time series of the whole run, by class.
	Seconds  map[string][]Second `json:"seconds"`
	Prefill  []PrefillReport     `json:"prefill"`
	Internal []InternalCounts    `json:"inside"`
	// Wrong lists incorrect answers, which are never acceptable, at most maxWrong of them.
	Wrong []string `json:"wrong"`
}

const maxWrong = 20

// InternalCounts counts events inside the system over the whole run, by reason.
type InternalCounts struct {
	Where   string         `json:"where"`
	Reasons map[string]int `json:"reasons"`
}

// PrefillReport is the prefill work of one group of engines, in tokens.
type PrefillReport struct {
	Group  string `json:"group"`
	Done   int    `json:"done"`
	Cached int    `json:"cached"`
	Wasted int    `json:"wasted"`
	// Wasted is the sum of the next three fields: prefill cancelled midway or before the first
	// token, evicted before it was fetched, and released unused.
	Discarded int `json:"discarded"`
	Expired   int `json:"expired"`
	Released  int `json:"released"`
	// ImportsLost counts transfers during which the KV cache was evicted.
	ImportsLost int `json:"imports_lost"`
}

// Share returns the wasted fraction of the work done.
func (p PrefillReport) Share() float64 {
	if p.Done == 0 {
		return 0
	}
	return float64(p.Wasted) / float64(p.Done)
}

// Summarise reports on the results that were due within [from, to).
func (run Run) Summarise(name string, results []Result, from, to time.Duration) *Report {
	rep := &Report{Name: name, Seed: run.Seed, Load: run.Load, Window: (to - from).Seconds(), Seconds: make(map[string][]Second)}
	late := newHistogram()
	byFlow := make([][]Result, len(run.Flows))
	for _, r := range results {
		late.add(r.Late)
		if r.Verdict == Wrong && len(rep.Wrong) < maxWrong {
			rep.Wrong = append(rep.Wrong, r.ID+": "+r.Reason)
		}
		if r.At >= from && r.At < to {
			byFlow[r.Flow] = append(byFlow[r.Flow], r)
		}
	}
	rep.Late = late.quantiles()
	for i, f := range run.Flows {
		rep.Classes = append(rep.Classes, classReport(f.Class, byFlow[i], rep.Window))
		rep.Seconds[f.Class.ID()] = seconds(results, i, run.Length)
	}
	return rep
}

func classReport(c *Class, results []Result, window float64) ClassReport {
	rep := ClassReport{Class: c.ID(), Offered: len(results), Verdicts: make(map[Verdict]int), Reasons: make(map[string]int)}
	ttft, tbt, total := newHistogram(), newHistogram(), newHistogram()
	for _, r := range results {
		rep.Verdicts[r.Verdict]++
		if !r.Verdict.Completed() {
			rep.Reasons[string(r.Verdict)+":"+r.Reason]++
		} else {
			total.add(r.Total)
		}
		if r.TTFT > 0 {
			ttft.add(r.TTFT)
		}
		for _, g := range r.Gaps {
			tbt.add(g)
		}
	}
	rep.OfferedRate = float64(rep.Offered) / window
	rep.Goodput = float64(rep.Verdicts[Good]) / window
	if rep.Offered > 0 {
		rep.GoodShare = rep.Goodput / rep.OfferedRate
	}
	rep.TTFT, rep.TBT, rep.Total = ttft.quantiles(), tbt.quantiles(), total.quantiles()
	return rep
}

func seconds(results []Result, flow int, length time.Duration) []Second {
	out := make([]Second, int((length+time.Second-1)/time.Second))
	for _, r := range results {
		if r.Flow != flow {
			continue
		}
		s := &out[int(r.At/time.Second)]
		s.Offered++
		if r.Verdict == Good {
			s.Good++
		}
	}
	return out
}

// Class returns the report of one class, or an empty one.
func (r *Report) Class(id string) ClassReport {
	for _, c := range r.Classes {
		if c.Class == id {
			return c
		}
	}
	return ClassReport{Class: id}
}

// byCount lists reasons with their counts, the most frequent first.
func byCount(reasons map[string]int) string {
	names := slices.Sorted(maps.Keys(reasons))
	slices.SortStableFunc(names, func(a, b string) int { return reasons[b] - reasons[a] })
	var parts []string
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %d", name, reasons[name]))
	}
	return strings.Join(parts, ", ")
}
