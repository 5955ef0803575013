package lab

import (
	"testing"

	"github.com/goccy/go-yaml"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/config"
	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/entry"
)

func TestFullSizeMatchesCurrentDeployments(t *testing.T) {
	count := make(map[string]int)
	for _, d := range Deployments(SizeFull) {
		for _, p := range d.Pools {
			count[p.Model] += p.Count
			assert.Equal(t, p.Engine.DecodeSlots, 20)
		}
		for _, f := range d.Flows {
			assert.Assert(t, f.Rate > 1, f.Class.ID())
		}
	}
	assert.DeepEqual(t, count, map[string]int{"drafting": 18, "portal": 3, "ruling": 9, "receipt": 3})
}

func TestContractsAreAccepted(t *testing.T) {
	for _, d := range Deployments(SizeSmall) {
		for _, c := range Contracts(d) {
			data, err := c.Marshal()
			assert.NilError(t, err)
			_, err = contract.Parse("contract.yaml", data)
			assert.NilError(t, err)
		}
	}
}

func TestOverlayKeepsUnnamedSettings(t *testing.T) {
	set := entry.DefaultSettings()
	set.ID, set.Zone, set.Listen, set.Admin, set.Platform = "e", "z", "127.0.0.1:1", "127.0.0.1:2", "http://127.0.0.1:3"
	var over Overlay
	assert.NilError(t, yaml.Unmarshal([]byte("retry: {attempts: 7}\ntiming: {poll: 200ms}"), &over))
	data, err := over.applyTo(set)
	assert.NilError(t, err)
	got := entry.DefaultSettings()
	assert.NilError(t, config.Parse("entry.yaml", data, &got))
	set.Retry.Attempts, set.Timing.Poll = 7, 200*1e6
	assert.DeepEqual(t, got, set)
}

func TestCellsRotateTheOrderOfVariants(t *testing.T) {
	c := Comparison{Variants: []Variant{{Name: "a"}, {Name: "b"}}, Loads: []float64{1, 1.2}, Seeds: []uint64{1, 2}}
	order := ""
	for _, e := range c.cells() {
		order += e.Variant.Name
	}
	assert.Equal(t, order, "abbaabba")
}

func TestBaselineVariantSetsAllItsSettings(t *testing.T) {
	for _, v := range Variants() {
		if v.Name != "leastload" {
			continue
		}
		assert.DeepEqual(t, v.Entry, Overlay{"policy": map[string]any{"reserve": false, "placement": "leastload"}})
		assert.DeepEqual(t, v.Sidecar, Overlay{"policy": map[string]any{"reserve": false, "admission": "fifo"}})
	}
}

func TestPortsWrapAround(t *testing.T) {
	p := &ports{next: lastPort - 3}
	first, err := p.block(5)
	assert.NilError(t, err)
	assert.Assert(t, first >= firstPort && first+5 <= lastPort)
	second, err := p.block(5)
	assert.NilError(t, err)
	assert.Assert(t, second >= first+5)
}
