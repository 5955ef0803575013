package lab

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/load"
)

// Capacity estimates, from mean lengths, the requests per second of a class at which its
// bottleneck pool saturates. Only the prefixes of classes with few shared texts count as
// cached. A load of 1 is this rate; the rate that the pools reach in practice is measured.
func (d *Deployment) Capacity(c *load.Class) float64 {
	prefill, decode := d.pool(c.Model, "prefill"), d.pool(c.Model, "decode")
	if prefill.Count == 0 {
		mixed := d.pool(c.Model, "mixed")
		return float64(mixed.Count) / mixed.Engine.serviceTime(c).Seconds()
	}
	byPrefill := float64(prefill.Count) / prefill.Engine.prefillTime(c).Seconds()
	byDecode := float64(decode.Count*decode.Engine.DecodeSlots) / decode.Engine.slotTime(c).Seconds()
	return min(byPrefill, byDecode)
}

func (d *Deployment) pool(model, role string) Pool {
	for _, p := range d.Pools {
		if p.Model == model && p.Role == role {
			return p
		}
	}
	return Pool{}
}

// maxCachedTexts is the largest number of shared texts that are assumed to be cached on
// every engine.
const maxCachedTexts = 8

// prefillTime returns the mean time of a prefill.
func (e Engine) prefillTime(c *load.Class) time.Duration {
	tokens := c.Unique.Mean
	if c.Shared.Texts > maxCachedTexts {
		tokens += c.Shared.Tokens.Mean
	}
	return seconds(tokens / e.PrefillRate)
}

// slotTime returns the mean time that a request holds its decode slot, which is reserved
// before its prefill.
func (e Engine) slotTime(c *load.Class) time.Duration {
	tokens := c.Unique.Mean
	if c.Shared.Texts > 0 {
		tokens += c.Shared.Tokens.Mean
	}
	transfer := seconds(tokens * float64(e.KVBytesPerToken) / e.LinkRate)
	return e.prefillTime(c) + transfer + time.Duration(c.Answer.Mean*float64(e.Step()))
}

// serviceTime returns the mean time that one request takes on an engine that both prefills
// and decodes.
func (e Engine) serviceTime(c *load.Class) time.Duration {
	return e.prefillTime(c) + time.Duration(c.Answer.Mean*float64(e.Step())/float64(e.DecodeSlots))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
