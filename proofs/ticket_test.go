package proofs

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/claim"
)

// TestTicketRunsOnce: a ticket works without the store, and its request runs at most once, whichever
// processes fail.
func TestTicketRunsOnce(t *testing.T) {
	const keyInUse, ticketLost = "idempotency_key_in_use", "ticket_lost"
	for _, r := range []struct {
		fault string
		act   func(c *cluster, q modelRequest) []answer
		whole int
		code  string
	}{
		{"ticket with the store out, sent again", func(c *cluster, q modelRequest) []answer {
			c.disableStore()
			return []answer{c.entries[0].do(c.t.Context(), q), c.entries[1].do(c.t.Context(), q)}
		}, 1, keyInUse},
		{"ticket twice at once through two entries", func(c *cluster, q modelRequest) []answer {
			first, second := c.entries[0].begin(q), c.entries[1].begin(q)
			a, b := <-first.done, <-second.done
			if a.whole {
				a, b = b, a
			}
			return []answer{b, a}
		}, 1, keyInUse},
		{"entry killed during the run of a ticket, sent again", func(c *cluster, q modelRequest) []answer {
			c.disableStore()
			p := c.entries[0].begin(q)
			c.running()
			c.entries[0].proc.kill()
			return []answer{<-p.done, c.entries[1].do(c.t.Context(), q)}
		}, 0, keyInUse},
		{"sidecars restarted before the ticket is used", func(c *cluster, q modelRequest) []answer {
			c.restartSidecars()
			return []answer{c.entries[0].do(c.t.Context(), q)}
		}, 0, ticketLost},
		{"sidecars restarted after the answer, ticket sent again", func(c *cluster, q modelRequest) []answer {
			first := c.entries[0].do(c.t.Context(), q)
			c.restartSidecars()
			return []answer{first, c.entries[1].do(c.t.Context(), q)}
		}, 1, ticketLost},
	} {
		t.Run(r.fault, func(t *testing.T) {
			runs := -1
			row(t, 5, r.fault, func() string { return fmt.Sprintf("%d runs", runs) })
			secret := filepath.Join(t.TempDir(), "secret")
			assert.NilError(t, os.WriteFile(secret, []byte(strings.Repeat("s", claim.MinSecretBytes)), 0o600))
			c := newCluster(t, options{prefills: 1, decodes: 2, entries: 2, engineArgs: longKVTTL, entryYAML: fmt.Sprintf("ticket_secrets: [%q]\n", secret)})
			q := keyedRequest(200)
			q.key = c.entries[0].ticket(t)
			answers := r.act(c, q)
			runs = c.atMostOnce(answers, r.whole, r.code)
		})
	}
}
