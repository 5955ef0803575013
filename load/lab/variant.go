package lab

import (
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"
)

// Variant is one configuration of the system in a comparison.
type Variant struct {
	Name string `yaml:"name"`
	// Entry and Sidecar are merged into the settings of these daemons.
	Entry   Overlay `yaml:"entry,omitempty"`
	Sidecar Overlay `yaml:"sidecar,omitempty"`
	// Bin, if set, is the directory of another build of the router.
	Bin string `yaml:"bin,omitempty"`
	// Baseline marks a variant that the others are compared with.
	Baseline bool `yaml:"baseline,omitempty"`
}

// Overlay is a partial settings file. It is a map, since it may contain settings of
// another build.
type Overlay map[string]any

// applyTo returns settings as YAML with the overlay merged in.
func (o Overlay) applyTo(settings any) ([]byte, error) {
	data, err := yaml.Marshal(settings)
	if err != nil || len(o) == 0 {
		return data, err
	}
	base := make(Overlay)
	if err := yaml.Unmarshal(data, &base); err != nil {
		return nil, err
	}
	merge(base, o)
	return yaml.Marshal(base)
}

func merge(base, over map[string]any) {
	for key, value := range over {
		inner, isMap := value.(map[string]any)
		below, hasMap := base[key].(map[string]any)
		if isMap && hasMap {
			merge(below, inner)
			continue
		}
		base[key] = value
	}
}

// Variants returns the default policy and the baselines that it is compared with: three
// placement strategies without reservation and with FIFO admission, and the policy without
// one of its mechanisms.
func Variants() []Variant {
	return []Variant{
		{Name: "policy"},
		baselineRouter("random"),
		baselineRouter("roundrobin"),
		baselineRouter("leastload"),
		{Name: "no-reserve", Baseline: true, Entry: policyOverlay("reserve", false), Sidecar: policyOverlay("reserve", false)},
		{Name: "fifo", Baseline: true, Sidecar: policyOverlay("admission", "fifo")},
	}
}

// baselineRouter is a router with a simple placement strategy that prefills without a
// reservation.
func baselineRouter(placement string) Variant {
	v := Variant{Name: placement, Baseline: true, Entry: policyOverlay("reserve", false), Sidecar: policyOverlay("reserve", false)}
	merge(v.Entry, policyOverlay("placement", placement))
	merge(v.Sidecar, policyOverlay("admission", "fifo"))
	return v
}

func policyOverlay(key string, value any) Overlay {
	return Overlay{"policy": map[string]any{key: value}}
}

// ReadVariants reads a list of variants from a YAML file.
func ReadVariants(file string) ([]Variant, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var out []Variant
	if err := yaml.UnmarshalWithOptions(data, &out, yaml.Strict()); err != nil {
		return nil, merry.Prepend(err, file)
	}
	if len(out) == 0 {
		return nil, merry.Errorf("%s: no variants", file)
	}
	return out, nil
}
