package operator

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/dissemination"
)

// ContractView is one stored contract.
type ContractView struct {
	Customer string `json:"customer"`
	Revision uint64 `json:"revision"`
	// Body is the record as YAML.
	Body string `json:"body"`
	// Contract is nil when this version of the program can't parse the record.
	Contract *contract.Contract `json:"-"`
}

// BackendView is one stored backend record.
type BackendView struct {
	ID       string            `json:"id"`
	Revision uint64            `json:"revision"`
	Backend  *contract.Backend `json:"-"`
	Body     string            `json:"body"`
}

// Contracts returns all contracts, sorted by customer, and the head revision.
func (o *Operator) Contracts(ctx context.Context) ([]ContractView, uint64, error) {
	s, err := ReadSnapshot(ctx, o.table)
	if err != nil {
		return nil, 0, err
	}
	views := []ContractView{}
	for _, key := range s.liveKeys(dissemination.ContractPrefix) {
		c, _ := s.contract(key)
		r := s.Records[key]
		views = append(views, ContractView{strings.TrimPrefix(key, dissemination.ContractPrefix), r.Revision, r.Body, c})
	}
	return views, s.Head.Revision, nil
}

// Contract returns the contract of one customer, or ErrNoSuchRecord.
func (o *Operator) Contract(ctx context.Context, customer string) (*ContractView, error) {
	views, _, err := o.Contracts(ctx)
	if err != nil {
		return nil, err
	}
	i := slices.IndexFunc(views, func(v ContractView) bool { return v.Customer == customer })
	if i < 0 {
		return nil, noSuchRecord("contract", customer)
	}
	return &views[i], nil
}

// Backends returns all backend records, sorted by id, and the head revision.
func (o *Operator) Backends(ctx context.Context) ([]BackendView, uint64, error) {
	s, err := ReadSnapshot(ctx, o.table)
	if err != nil {
		return nil, 0, err
	}
	views := []BackendView{}
	for _, key := range s.liveKeys(dissemination.BackendPrefix) {
		b, _ := s.backend(key)
		r := s.Records[key]
		views = append(views, BackendView{strings.TrimPrefix(key, dissemination.BackendPrefix), r.Revision, b, r.Body})
	}
	return views, s.Head.Revision, nil
}

// HistoryItem is one change in the log.
type HistoryItem struct {
	Revision uint64   `json:"revision"`
	Author   string   `json:"author"`
	Time     string   `json:"time"`
	ChangeID string   `json:"change_id"`
	Keys     []string `json:"keys"`
}

// History is an extract of the log of changes.
type History struct {
	// LogBegins is the oldest revision in the log; earlier ones were deleted by a
	// compaction. It is 0 before the first change.
	LogBegins uint64 `json:"log_begins"`
	// Items are the changes, newest first.
	Items []HistoryItem `json:"items"`
}

// History returns the newest changes, at most limit of them. If customer is not empty,
// only changes of that customer's contract are returned.
func (o *Operator) History(ctx context.Context, customer string, limit int) (*History, error) {
	top, begin, err := o.logBounds(ctx)
	if err != nil {
		return nil, classify(err)
	}
	h := &History{LogBegins: begin, Items: []HistoryItem{}}
	for ; top > 0 && top >= begin && len(h.Items) < limit; top -= min(top, pageSize) {
		page, err := o.historyPage(ctx, customer, top)
		if err != nil {
			return nil, classify(err)
		}
		h.Items = append(h.Items, page...)
	}
	h.Items = h.Items[:min(limit, len(h.Items))]
	return h, nil
}

// historyPage returns the matching changes among the pageSize revisions up to top, newest first.
func (o *Operator) historyPage(ctx context.Context, customer string, top uint64) ([]HistoryItem, error) {
	bottom := top - min(top, pageSize)
	rows, err := o.table.List(ctx, dissemination.LogPrefix, dissemination.LogKey(bottom), pageSize)
	if err != nil {
		return nil, err
	}
	var items []HistoryItem
	for _, row := range slices.Backward(rows) {
		var e dissemination.LogEntry
		if err := json.Unmarshal(row.Value, &e); err != nil {
			return nil, merry.Prependf(err, "decode row %s", row.Key)
		}
		_, concerned := e.Records[dissemination.ContractPrefix+customer]
		if e.Revision > top || customer != "" && !concerned {
			continue
		}
		keys := slices.Sorted(maps.Keys(e.Records))
		items = append(items, HistoryItem{e.Revision, e.Author, e.Time, e.ChangeID, keys})
	}
	return items, nil
}
