package proofs

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/dissemination"
	splatform "github.com/hibiscusspur/hibiscusspur/standin/platform"
)

// inForceBound is how long a committed change may take to be in force everywhere.
const inForceBound = 3 * time.Second

// newKey replaces apiKey in the changes below.
const newKey = "proofs-key-new"

// keyRotation is a change that replaces the API key in the contract.
func keyRotation(key string) map[string]dissemination.Change {
	text := strings.ReplaceAll(contractText(), contract.HashKey(apiKey), contract.HashKey(key))
	return map[string]dissemination.Change{dissemination.ContractPrefix + customer: {Body: text}}
}

var contractRows = []struct {
	fault string
	// change commits the key rotation; it may inject a fault before or after.
	change func(c *cluster)
}{
	{"change while entries and sidecars run", func(c *cluster) { c.commit(keyRotation(newKey)) }},
	{"one entry cut from the store", func(c *cluster) {
		c.entries[1].store.block()
		c.commit(keyRotation(newKey))
	}},
	{"store down once one entry has the change", func(c *cluster) {
		c.entries[1].store.block()
		c.commit(keyRotation(newKey))
		c.awaitRevision(c.entries[0], c.head)
		c.storeFault(splatform.Fault{Kind: splatform.Hang})
	}},
	{"answer of the commit lost", func(c *cluster) {
		c.storeFault(splatform.Fault{Kind: splatform.LoseAnswer, Side: splatform.Writes, Count: 1})
		c.commit(keyRotation(newKey))
	}},
	{"two operators at once", func(c *cluster) {
		winners := make(chan string, 2)
		var wg sync.WaitGroup
		for _, key := range []string{newKey, "other-key"} {
			wg.Go(func() {
				w := dissemination.NewWriter(c.table, rand.Text, time.Now)
				_, err := w.Commit(context.Background(), key, c.head, keyRotation(key))
				var conflict *dissemination.ConflictError
				if err == nil {
					winners <- key
				} else if !errors.As(err, &conflict) {
					c.t.Error(err)
				}
			})
		}
		wg.Wait()
		assert.Equal(c.t, len(winners), 1)
		c.head++
		if <-winners != newKey {
			c.commit(keyRotation(newKey))
		}
	}},
	{"entry frozen and thawed", func(c *cluster) {
		c.entries[1].proc.freeze()
		c.commit(keyRotation(newKey))
		c.awaitRevision(c.entries[0], c.head)
		c.entries[1].proc.thaw()
	}},
	{"all links cut with the change", func(c *cluster) {
		c.commit(keyRotation(newKey))
		for _, b := range c.backends {
			b.relay.cut()
		}
	}},
}

// TestContractChange: within the bound, every entry serves the new key and no entry serves the old one, and
// this does not revert.
func TestContractChange(t *testing.T) {
	for _, r := range contractRows {
		t.Run(r.fault, func(t *testing.T) {
			took := time.Duration(-1)
			row(t, 8, r.fault, func() string { return fmt.Sprintf("in force everywhere after %v", took.Round(time.Millisecond)) })
			c := newCluster(t, options{mixed: 2, entries: 2})
			r.change(c)
			accepted := time.Now()
			for _, e := range c.entries {
				eventually(t, inForceBound-time.Since(accepted), "new key served by "+e.id, func() bool { return c.served(e, newKey) })
				eventually(t, inForceBound-time.Since(accepted), "old key rejected by "+e.id, func() bool { return !c.served(e, apiKey) })
			}
			took = time.Since(accepted)
			for until := time.Now().Add(time.Second); time.Now().Before(until); {
				for _, e := range c.entries {
					assert.Assert(t, !c.served(e, apiKey) && c.served(e, newKey), "%s went back to the old key", e.id)
				}
			}
		})
	}
}

// served reports whether an entry serves a short request with a key.
func (c *cluster) served(e *entry, key string) bool {
	return e.do(c.t.Context(), modelRequest{model: "drafting", prompt: promptForTokens(1, 0, "probe"), bearer: key}).whole
}

// TestEntryStartedInTheOutage: an entry that starts while the store is down gets the newest configuration
// from the sidecars that its settings name as seeds.
func TestEntryStartedInTheOutage(t *testing.T) {
	took := time.Duration(-1)
	row(t, 8, "entry started in the outage", func() string { return fmt.Sprintf("new revision in force after %v", took.Round(time.Millisecond)) })
	c := newCluster(t, options{mixed: 2, entries: 1})
	c.commit(keyRotation(newKey))
	eventually(t, inForceBound, "new key served", func() bool { return c.served(c.entries[0], newKey) })
	c.storeFault(splatform.Fault{Kind: splatform.Hang})
	c.opts.entryYAML = fmt.Sprintf("seeds: [%s]\n", c.backends[0].address)
	e := c.addEntry()
	await(t, startBound, e.adminURL+"/healthz")
	took = eventually(t, inForceBound, "served by the new entry", func() bool { return c.served(e, newKey) })
	assert.Assert(t, !c.served(e, apiKey))
}

// TestThawedEntryDecidesAnew: a request that waits in the socket of a frozen entry is decided under the
// newest revision once the entry continues.
func TestThawedEntryDecidesAnew(t *testing.T) {
	const tries = 5
	var correct int
	row(t, 8, "entry thawed with an old revision and a request waiting", func() string { return fmt.Sprintf("%d of %d under the new revision", correct, tries) })
	c := newCluster(t, options{mixed: 1, entries: 2})
	key := apiKey
	for i := range tries {
		e := c.entries[1]
		e.proc.freeze()
		key = fmt.Sprintf("%s-%d", newKey, i)
		c.commit(keyRotation(key))
		c.awaitRevision(c.entries[0], c.head)
		// The freeze is longer than the bound, so that the old revision is not allowed any more.
		frozen := time.Now()
		eventually(t, 2*inForceBound, "bound past", func() bool { return time.Since(frozen) > inForceBound })
		inSocket := make(chan struct{})
		p := e.begin(modelRequest{model: "drafting", prompt: promptForTokens(1, 0, "probe"), bearer: key, sent: func() { close(inSocket) }})
		<-inSocket
		e.proc.thaw()
		// The links of a thawed entry may be down; the test only checks that it accepts the key.
		a := <-p.done
		t.Logf("try %d: %v", i, a)
		if a.err == nil && a.status != http.StatusUnauthorized {
			correct++
		}
	}
	assert.Equal(t, correct, tries)
}
