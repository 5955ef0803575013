package capacity

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/dissemination"
	standin "github.com/hibiscusspur/hibiscusspur/standin/platform"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// localStore is a stand-in platform in this process, with one writer of the configuration.
type localStore struct {
	server *standin.Server
	writer *dissemination.Writer
	head   uint64
}

func newStore() (*localStore, error) {
	server, err := standin.Start(standin.Options{Listen: "127.0.0.1:0"})
	if err != nil {
		return nil, err
	}
	s := &localStore{server: server}
	table := store.NewHTTPTable(s.url(), &http.Client{Transport: &http.Transport{}})
	s.writer = dissemination.NewWriter(table, rand.Text, time.Now)
	return s, nil
}

func (s *localStore) url() string { return "http://" + s.server.Addr() }

// commit writes one revision.
func (s *localStore) commit(ctx context.Context, changes map[string]dissemination.Change) error {
	head, err := s.writer.Commit(ctx, "capacity", s.head, changes)
	if err == nil {
		s.head = head
	}
	return err
}

// recordsPerChange bounds one transaction. It gives the planned configuration more
// revisions than an entry reads one by one.
const recordsPerChange = 50

// configure writes contracts and backend records, several to a revision.
func (s *localStore) configure(ctx context.Context, contracts []*contract.Contract, backends []contract.Backend) error {
	changes := make(map[string]dissemination.Change)
	put := func(key string, body []byte, err error) error {
		if err != nil {
			return err
		}
		changes[key] = dissemination.Change{Body: string(body)}
		if len(changes) < recordsPerChange {
			return nil
		}
		defer clear(changes)
		return s.commit(ctx, changes)
	}
	for _, c := range contracts {
		body, err := c.Marshal()
		if err := put(dissemination.ContractPrefix+c.Customer, body, err); err != nil {
			return err
		}
	}
	for i := range backends {
		body, err := backends[i].Marshal()
		if err := put(dissemination.BackendPrefix+backends[i].ID, body, err); err != nil {
			return err
		}
	}
	if len(changes) == 0 {
		return nil
	}
	return s.commit(ctx, changes)
}

// delta returns the whole configuration.
func (s *localStore) delta(ctx context.Context) (dissemination.Delta, error) {
	state := dissemination.NewState()
	err := dissemination.NewReader(store.NewHTTPTable(s.url(), nil), state).Poll(ctx)
	return state.Since(0), err
}

// listVMs adds n VMs to the platform's list.
func (s *localStore) listVMs(ctx context.Context, n int) error {
	for i := range n {
		body, err := json.Marshal(store.VM{ID: serverID(i), Zone: "zone-a", State: store.VMLive})
		if err != nil {
			return err
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url()+standin.PathVM, bytes.NewReader(body))
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return merry.Errorf("list VM: %s", resp.Status)
		}
	}
	return nil
}

// exampleContract returns the contract of one of many customers.
func exampleContract(i int, revision int) *contract.Contract {
	name := fmt.Sprintf("team-%03d", i)
	c := &contract.Contract{
		Customer: name, Brand: "Brand of " + name, Share: 1,
		Keys: []contract.Key{{Name: "first", SHA256: contract.HashKey(fmt.Sprintf("%s-%d", name, revision))}},
		Limits: contract.Limits{
			RequestsPerSecond: 1000, Burst: 1000, Concurrent: 1000, MaxPromptTokens: 100000,
			MaxOutputTokens: 100000, MaxBodyBytes: contract.DefaultMaxBodyBytes,
		},
	}
	for _, class := range []string{"prompt", "deferred"} {
		c.Classes = append(c.Classes, contract.Class{
			Name: class, Models: []string{modelName(i % planModels), modelName((i + 1) % planModels)}, Urgency: contract.Prompt,
			TTFT: 830 * time.Millisecond, TBT: 27 * time.Millisecond, Deadline: time.Minute,
		})
	}
	return c
}

func modelName(i int) string { return fmt.Sprintf("model-%02d", i) }

func exampleContracts(n int) []*contract.Contract {
	var out []*contract.Contract
	for i := range n {
		out = append(out, exampleContract(i, 0))
	}
	return out
}
