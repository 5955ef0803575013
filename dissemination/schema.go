package dissemination

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/store"
)

// Keys of the rows in the platform's table. Every change checks and rewrites the
// head row. The log row of a revision holds the records that it changed, so that a
// reader a few revisions behind reads only those.
const (
	// HeadKey holds a Head in JSON.
	HeadKey = "head"
	// ContractPrefix and BackendPrefix are followed by the customer or VM id;
	// the value is a StoredRecord in JSON.
	ContractPrefix = "contracts/"
	BackendPrefix  = "backends/"
	// LogPrefix is followed by the revision, see LogKey; the value is a LogEntry in
	// JSON. The log may begin above revision 1, see Sweeper.
	LogPrefix = "log/"
	// ConfirmPrefix is followed by the id of an entry; the value is a Confirmation in JSON.
	ConfirmPrefix = "confirmed/"
)

// Head is the value of the head row.
type Head struct {
	Revision uint64 `json:"revision"`
	// ChangeID identifies the change that wrote this head, so that a writer whose
	// response was lost can find out whether its change was committed.
	ChangeID string `json:"change_id"`
}

// StoredRecord is the value of a contract or backend row: the record as YAML.
type StoredRecord struct {
	Revision uint64 `json:"revision"`
	Body     string `json:"body"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// LogEntry is the value of a log row.
type LogEntry struct {
	Revision uint64                  `json:"revision"`
	ChangeID string                  `json:"change_id"`
	Author   string                  `json:"author,omitempty"`
	Time     string                  `json:"time,omitempty"`
	Records  map[string]StoredRecord `json:"records"`
}

// LogKey returns the key of the log row of a revision. The keys sort by revision.
func LogKey(revision uint64) string {
	return fmt.Sprintf("%s%016x", LogPrefix, revision)
}

// logRevision returns the revision of the log row with key.
func logRevision(key string) (uint64, error) {
	revision, err := strconv.ParseUint(strings.TrimPrefix(key, LogPrefix), 16, 64)
	return revision, merry.Prependf(err, "log row %s", key)
}

// LogBegin returns the lowest revision in the log, or 0 if the log is empty.
func LogBegin(ctx context.Context, table store.Table) (uint64, error) {
	rows, err := table.List(ctx, LogPrefix, "", 1)
	if err != nil || len(rows) == 0 {
		return 0, err
	}
	return logRevision(rows[0].Key)
}
