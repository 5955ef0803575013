package operator

import (
	"errors"
	"fmt"
	"strings"

	"github.com/hibiscusspur/hibiscusspur/dissemination"
)

// ErrorReport is the machine-readable form of the error of a command.
type ErrorReport struct {
	// Result is input, conflict, unavailable, unknown or unconfirmed.
	Result  string `json:"result"`
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Advice is the recommended next step for the operator.
	Advice string `json:"advice,omitempty"`
	// Change is the reference of a change whose outcome is unknown.
	Change string `json:"change,omitempty"`
	// Since are the changes that other operators committed meanwhile, Overlap the
	// keys that both sides changed.
	Since   []dissemination.RevisionSummary `json:"since,omitempty"`
	Overlap []string                        `json:"overlap,omitempty"`
	// Wait lists the processes that have not confirmed a change.
	Wait *WaitResult `json:"wait,omitempty"`
}

var resultNames = map[Code]string{
	CodeOK:          "ok",
	CodeInput:       "input",
	CodeConflict:    "conflict",
	CodeUnavailable: "unavailable",
	CodeUnknown:     "unknown",
	CodeUnconfirmed: "unconfirmed",
}

// ReportOf describes the error of a command. err must not be nil.
func ReportOf(err error) ErrorReport {
	code := CodeOf(err)
	r := ErrorReport{Result: resultNames[code], Code: code, Message: err.Error()}
	var conflict *dissemination.ConflictError
	var unknown *dissemination.UnknownOutcomeError
	var partial *PartialError
	var unconfirmed *UnconfirmedError
	switch {
	case errors.As(err, &unconfirmed):
		r.Wait = unconfirmed.Result
		r.Advice = "the change stands; follow it with: hibiscusspur contract status"
	case errors.As(err, &partial):
		r.Advice = "run the command again; it continues from where it stopped"
	case errors.As(err, &conflict):
		r.Since, r.Overlap = conflict.Since, conflict.Overlap
		r.Advice = conflictAdvice(conflict)
	case errors.As(err, &unknown):
		r.Change = RefOf(unknown).String()
		r.Advice = "do not change the files; settle it with: hibiscusspur contract status --change " + r.Change
	case code == CodeUnavailable:
		r.Advice = "try again when the platform is back"
	}
	return r
}

func conflictAdvice(e *dissemination.ConflictError) string {
	if len(e.Since) == 0 {
		return "nothing was written; read the new difference with contract diff, then run the command again"
	}
	if len(e.Overlap) == 0 {
		return "nothing was written; the others changed different records: run the command again and read the new difference"
	}
	return fmt.Sprintf("nothing was written; %s was changed by both: merge the other change into your files, then run the command again",
		strings.Join(e.Overlap, ", "))
}

// Text returns the human-readable form of the report.
func (r ErrorReport) Text() string {
	if r.Advice == "" {
		return r.Message
	}
	return r.Message + "\n" + r.Advice
}
