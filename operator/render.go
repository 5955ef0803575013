package operator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/hibiscusspur/hibiscusspur/bounded"
)

// maxShownProcesses is the maximum number of processes listed in text output.
const maxShownProcesses = 20

// WriteText writes the planned changes, one field per line.
func (p *Plan) WriteText(w io.Writer) {
	for _, item := range p.Items {
		fmt.Fprintf(w, "%s %s\n", item.Action, item.Key)
		for _, f := range item.Fields {
			fmt.Fprintln(w, "  "+f.line())
		}
	}
}

func (f FieldChange) line() string {
	switch {
	case f.Old == "":
		return fmt.Sprintf("+ %s: %s", f.Field, f.New)
	case f.New == "":
		return fmt.Sprintf("- %s: %s", f.Field, f.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", f.Field, f.Old, f.New)
	}
}

// WriteContracts writes a table of contracts.
func WriteContracts(w io.Writer, head uint64, views []ContractView) {
	fmt.Fprintf(w, "head revision %d\n", head)
	t := newTable(w, "CUSTOMER", "REVISION", "SHARE", "KEYS", "CLASSES", "SERVICES", "BRAND")
	for _, v := range views {
		if c := v.Contract; c != nil {
			row(t, v.Customer, v.Revision, c.Share, len(c.Keys), len(c.Classes), len(c.Services), c.Brand)
		} else {
			row(t, v.Customer, v.Revision, "not understood by this program")
		}
	}
	_ = t.Flush()
}

// WriteBackends writes a table of backend servers.
func WriteBackends(w io.Writer, head uint64, views []BackendView) {
	fmt.Fprintf(w, "head revision %d\n", head)
	t := newTable(w, "ID", "REVISION", "ADDRESS", "ZONE", "ROLE", "RETIRED", "MODELS")
	for _, v := range views {
		if b := v.Backend; b != nil {
			row(t, v.ID, v.Revision, b.Address, b.Zone, b.Role, b.Retired, strings.Join(b.Models, ","))
		} else {
			row(t, v.ID, v.Revision, "not understood by this program")
		}
	}
	_ = t.Flush()
}

// WriteText writes a table of changes and the first revision of the log.
func (h *History) WriteText(w io.Writer) {
	t := newTable(w, "REVISION", "TIME", "AUTHOR", "CHANGE", "RECORDS")
	for _, i := range h.Items {
		row(t, i.Revision, i.Time, i.Author, i.ChangeID, strings.Join(i.Keys, ","))
	}
	_ = t.Flush()
	if h.LogBegins > 1 {
		fmt.Fprintf(w, "the log begins at revision %d; older changes were deleted by config compact\n", h.LogBegins)
	}
}

// WriteText writes the status and the first maxShownProcesses processes that are behind
// and that are unresponsive.
func (s *Status) WriteText(w io.Writer) {
	fmt.Fprintf(w, "head revision %d (change %s)\n", s.Head, s.ChangeID)
	fmt.Fprintf(w, "confirmed by %d processes, %d behind, %d silent for more than %v\n",
		s.Confirmed, len(s.Behind), len(s.Unresponsive), ConfirmMaxAge)
	writeProcesses(w, "BEHIND", s.Behind)
	writeProcesses(w, "SILENT", s.Unresponsive)
}

// WriteText writes the result of the wait.
func (r *WaitResult) WriteText(w io.Writer) {
	switch {
	case len(r.Missing) > 0:
		fmt.Fprintf(w, "confirmed by %d processes after %.1f s; missing:\n", r.Confirmed, r.Seconds)
	case r.Confirmed == 0:
		fmt.Fprintf(w, "no process was heard of within %v; nobody to wait for\n", ConfirmMaxAge)
	default:
		fmt.Fprintf(w, "in force at all %d processes, as seen after %.1f s\n", r.Confirmed, r.Seconds)
	}
	writeProcesses(w, "MISSING", r.Missing)
	if n := len(r.Unresponsive); n > 0 {
		fmt.Fprintf(w, "not waited for: %d processes silent for more than %v\n", n, ConfirmMaxAge)
	}
}

// writeProcesses writes the first maxShownProcesses processes as a table.
func writeProcesses(w io.Writer, title string, list []Process) {
	if len(list) == 0 {
		return
	}
	t := newTable(w, title, "ROLE", "ZONE", "REVISION", "CONFIRMED AGO")
	for _, p := range list[:min(maxShownProcesses, len(list))] {
		ago := bounded.Seconds(p.AgeSeconds).Round(time.Second)
		row(t, p.ID, p.Role, p.Zone, p.Revision, ago)
	}
	_ = t.Flush()
	if more := len(list) - maxShownProcesses; more > 0 {
		fmt.Fprintf(w, "and %d more; -o json lists all\n", more)
	}
}

// WriteText writes the state of the change.
func (r *ChangeReport) WriteText(w io.Writer) {
	switch r.State {
	case ChangeCommitted:
		fmt.Fprintf(w, "committed as revision %d\n", r.Revision)
	case ChangeExpired:
		fmt.Fprintf(w, "cannot be told: the log no longer holds revision %d; compare the records by contract diff\n", r.Revision)
	case ChangeNotCommitted:
		fmt.Fprintf(w, "not committed and never will be: revision %d was taken by %s; run the command again\n", r.Revision, r.TakenBy)
	default:
		fmt.Fprintf(w, "not committed so far; it still may be until revision %d is taken: run the command again, which settles it\n", r.Revision)
	}
}

// WriteText writes the counts of removed rows and the bounds of the log.
func (r *CompactResult) WriteText(w io.Writer) {
	fmt.Fprintf(w, "removed %d retired backend servers\n", len(r.Removed))
	fmt.Fprintf(w, "deleted %d log rows, %d tombstones, %d confirmations\n", r.LogRows, r.Tombstones, r.Confirmations)
	fmt.Fprintf(w, "head revision %d; the log begins at revision %d\n", r.Head, r.LogBegins)
}

func newTable(w io.Writer, columns ...any) *tabwriter.Writer {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row(t, columns...)
	return t
}

func row(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, c)
	}
	fmt.Fprintln(w)
}
