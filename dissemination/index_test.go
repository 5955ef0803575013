package dissemination

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/apikey"
	"github.com/hibiscusspur/hibiscusspur/contract"
)

const contractBody = `customer: CUSTOMER
brand: Shop
keys: [{name: main, sha256: HASH}]
share: 0.5
limits: {requests_per_second: 2, concurrent: 8, max_prompt_tokens: 2000, max_output_tokens: 800}
classes: [{name: lookup, models: [portal], urgency: interactive, ttft: 800ms, tbt: 40ms, deadline: 10s}]
`

func contractRecord(customer, key string, revision uint64) Record {
	body := strings.NewReplacer("CUSTOMER", customer, "HASH", contract.HashKey(key)).Replace(contractBody)
	return Record{Key: ContractPrefix + customer, Revision: revision, Value: []byte(body)}
}

func applyTo(t *testing.T, s *State, head uint64, records ...Record) {
	t.Helper()
	_, err := s.Apply(Delta{From: s.Head(), Head: head, Records: records})
	assert.NilError(t, err)
}

func TestIndexFollowsState(t *testing.T) {
	s := NewState()
	var reports []string
	x := NewIndex(s, func(key string, _ uint64, err error) { reports = append(reports, key+": "+err.Error()) })

	applyTo(t, s, 1, contractRecord("a", "key-a", 1))
	customer, ok := x.CustomerByKey(apikey.Of("key-a"))
	assert.Assert(t, ok)
	assert.Equal(t, customer, "a")
	_, ok = x.CustomerByKey(apikey.Of("key-b"))
	assert.Assert(t, !ok)

	bad := contractRecord("a", "key-b", 2)
	bad.Value = []byte("customer: [")
	backend := Record{Key: "backends/vm-1", Revision: 2, Value: []byte("{id: vm-1, address: '10.0.0.1:7400', zone: a, role: mixed, models: [portal]}")}
	applyTo(t, s, 2, bad, backend)
	assert.Equal(t, len(reports), 1)
	_, revision, ok := x.Contract("a")
	assert.Assert(t, ok)
	assert.Equal(t, revision, uint64(1))
	assert.Equal(t, x.Backends()[0].Address, "10.0.0.1:7400")

	applyTo(t, s, 3, Record{Key: "contracts/a", Revision: 3, Deleted: true})
	_, ok = x.CustomerByKey(apikey.Of("key-a"))
	assert.Assert(t, !ok)
}

func TestIndexIgnoresOlderRecords(t *testing.T) {
	s := NewState()
	x := NewIndex(s, func(key string, _ uint64, err error) { t.Error(key, err) })
	applyTo(t, s, 5, contractRecord("a", "new", 5))
	applyTo(t, s, 6, contractRecord("a", "old", 4))
	_, ok := x.CustomerByKey(apikey.Of("new"))
	assert.Assert(t, ok)
}

func TestSharedKeyIsRejectedUntilOneContractDropsIt(t *testing.T) {
	s := NewState()
	reports := 0
	x := NewIndex(s, func(string, uint64, error) { reports++ })
	applyTo(t, s, 1, contractRecord("a", "same", 1), contractRecord("b", "same", 1))
	_, ok := x.CustomerByKey(apikey.Of("same"))
	assert.Assert(t, !ok)
	assert.Equal(t, reports, 1)
	applyTo(t, s, 2, contractRecord("a", "other", 2))
	customer, _ := x.CustomerByKey(apikey.Of("same"))
	assert.Equal(t, customer, "b")
}

func TestIndexDropsRecordsMissingFromFullDelta(t *testing.T) {
	s := NewState()
	x := NewIndex(s, func(key string, _ uint64, err error) { t.Error(key, err) })
	backend := Record{Key: "backends/vm-1", Revision: 1, Value: []byte("{id: vm-1, address: '10.0.0.1:7400', zone: a, role: mixed, models: [portal]}")}
	applyTo(t, s, 1, contractRecord("a", "key-a", 1), contractRecord("b", "key-b", 1), backend)
	assert.Equal(t, len(x.Backends()), 1)
	_, err := s.Apply(Delta{From: 2, Head: 3, Full: true, Records: []Record{contractRecord("b", "key-b", 1)}})
	assert.NilError(t, err)
	assert.DeepEqual(t, x.Customers(), []string{"b"})
	assert.Equal(t, len(x.Backends()), 0)
	_, ok := x.CustomerByKey(apikey.Of("key-a"))
	assert.Assert(t, !ok)
	_, ok = x.CustomerByKey(apikey.Of("key-b"))
	assert.Assert(t, ok)
}
