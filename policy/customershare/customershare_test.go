package customershare_test

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/customershare"
)

type waiting = map[customershare.Waiting]int

// TestShares guards against shares that a customer without competitors, or one that needs little, leaves idle.
func TestShares(t *testing.T) {
	for _, c := range []struct {
		name    string
		weights map[string]float64
		own     map[string]int
		peers   map[string]int
		waiting waiting
		want    map[string]float64
	}{
		{"nothing waits", nil, map[string]int{"a": 100}, map[string]int{"b": 10}, nil, map[string]float64{"a": math.Inf(1), "b": math.Inf(1)}},
		{"a customer alone", nil, map[string]int{"a": 100}, nil, waiting{{"a", 0}: 50}, map[string]float64{"a": 100}},
		{"one surges", nil, map[string]int{"a": 50}, map[string]int{"a": 20, "b": 10}, waiting{{"a", 0}: 50, {"b", 0}: 10}, map[string]float64{"a": 60, "b": 60}},
		{"two want more than half", nil, map[string]int{"a": 70, "b": 30}, nil, waiting{{"b", 0}: 100}, map[string]float64{"a": 50, "b": 50}},
		{"by weight", map[string]float64{"a": 1.5, "b": 0.5}, map[string]int{"a": 20, "b": 80}, nil, waiting{{"a", 0}: 100}, map[string]float64{"a": 75, "b": 25}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := customershare.New()
			p.SetWeights(c.weights)
			for customer, tokens := range c.own {
				p.Add(customer, tokens)
			}
			p.SetPeers(c.peers, c.waiting)
			for customer, want := range c.want {
				assert.Equal(t, p.Share(customer), want, customer)
			}
		})
	}
}

func TestYields(t *testing.T) {
	for _, c := range []struct {
		name     string
		waiting  waiting
		customer string
		priority int
		want     bool
	}{
		{"nothing waits", nil, "surging", 0, false},
		{"another customer's request waits", waiting{{"other", 1}: 10}, "surging", 1, true},
		{"an urgent request doesn't yield to a less urgent one", waiting{{"other", 1}: 10}, "surging", 0, false},
		{"to its own customer's requests none yields", waiting{{"surging", 0}: 10}, "surging", 1, false},
		{"a customer within its share doesn't yield", waiting{{"surging", 0}: 90, {"other", 0}: 10}, "other", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := customershare.New()
			p.Add("surging", 50)
			p.SetPeers(map[string]int{"surging": 40, "other": 5}, c.waiting)
			assert.Equal(t, p.Yields(c.customer, c.priority), c.want)
		})
	}
}

// TestFiguresExpire guards against a customer that yields to requests of a gateway that no longer reports.
func TestFiguresExpire(t *testing.T) {
	p := customershare.New()
	p.Add("a", 50)
	p.SetPeers(map[string]int{"b": 5}, waiting{{"b", 0}: 10})
	assert.Assert(t, p.Yields("a", 0))
	p.SetPeers(nil, nil)
	assert.Assert(t, !p.Yields("a", 0) && !p.OverShare("a"))
	p.Add("a", -50)
	held, _ := p.Own()
	assert.Equal(t, len(held), 0)
}

// TestCustomerAloneIsNotOverShare guards against rounding of weights that have no exact representation.
func TestCustomerAloneIsNotOverShare(t *testing.T) {
	for i := range 100 {
		p := customershare.New()
		p.SetWeights(map[string]float64{"a": 0.1 + float64(i)/7})
		p.Add("a", 100_003+i)
		p.SetPeers(nil, waiting{{"a", 0}: 50})
		assert.Assert(t, !p.OverShare("a"), "%d", i)
	}
}

func TestWeights(t *testing.T) {
	assert.DeepEqual(t, customershare.Weights(map[string]float64{"a": 0, "b": 0}), map[string]float64{"a": 1, "b": 1})
	assert.DeepEqual(t, customershare.Weights(map[string]float64{"a": 30, "b": 10, "c": 0}), map[string]float64{"a": 1.5, "b": 0.5, "c": 1})
}

// BenchmarkYields measures the decision after each change of what customers hold.
func BenchmarkYields(b *testing.B) {
	for _, n := range []int{16, 340} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, held, waits := customershare.New(), map[string]int{}, waiting{}
			for i := range n {
				held[fmt.Sprint(i)] = 6000 * i
				waits[customershare.Waiting{Customer: fmt.Sprint(i), Priority: i % 3}] = 6000
			}
			p.SetPeers(held, waits)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p.Add("1", 1-i%2*2)
				p.Yields("1", 1)
			}
		})
	}
}
