package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/outcome"
)

var (
	errNoAnswer = merry.Sentinel("no answer from sidecar")
	errProtocol = merry.Sentinel("sidecar speaks another protocol version")
)

// defaultRetryAfter is the retry-after of refusals that carry none.
const defaultRetryAfter = 500 * time.Millisecond

// callerMessages are shown to callers; they do not identify the system or anyone behind it.
var callerMessages = map[outcome.Reason]string{
	outcome.BadRequest:         "The request is malformed.",
	outcome.BodyTooLarge:       "The request body is larger than allowed.",
	outcome.PromptTooLong:      "The prompt is longer than allowed.",
	outcome.Unauthenticated:    "The API key is missing or not valid.",
	outcome.ModelNotInContract: "There is no such model.",
	outcome.NotFound:           "There is no such resource.",
	outcome.MethodNotAllowed:   "The method is not allowed here.",
	outcome.HeadersTooLarge:    "The request headers are larger than allowed.",
	outcome.RateLimited:        "Too many requests.",
	outcome.ConcurrencyLimited: "Too many requests in progress.",
	outcome.KeyInUse:           "A request with this idempotency key was accepted before.",
	outcome.TicketLost:         "The ticket is no longer valid; whether its request ran is not known.",
	outcome.DeadlineExceeded:   "The request did not complete in time.",
}

const defaultMessage = "The service could not complete the request."

// errorOf returns the body for an outcome that is not completed.
func errorOf(brand string, o outcome.Outcome, param string) errorBody {
	text, ok := callerMessages[o.Reason]
	if !ok {
		text = defaultMessage
	}
	if brand != "" {
		text = brand + ": " + text
	}
	return errorBody{Error: errorObject{
		Message:      text,
		Type:         errorType(o.Reason.HTTPStatus()),
		Code:         string(o.Reason),
		Param:        param,
		Outcome:      o.Kind.String(),
		RetryAfterMs: o.RetryAfter.Milliseconds(),
	}}
}

func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// writeError responds with an outcome that is not completed. repeatable says that a request of this kind may
// be run twice.
func writeError(w http.ResponseWriter, brand string, o outcome.Outcome, param string, repeatable bool) {
	status := o.Reason.HTTPStatus()
	o = withRetryAfter(o, repeatable)
	h := w.Header()
	h.Set(shouldRetryHeader, strconv.FormatBool(o.RetryAfter > 0))
	if o.RetryAfter > 0 {
		h.Set(retryAfterHeader, strconv.Itoa(int(math.Ceil(o.RetryAfter.Seconds()))))
		h.Set(retryAfterMsHeader, strconv.FormatInt(o.RetryAfter.Milliseconds(), 10))
	}
	if status == http.StatusUnauthorized {
		h.Set("Www-Authenticate", "Bearer")
	}
	_ = writeJSON(w, status, errorOf(brand, o, param))
}

// withRetryAfter sets when to retry if the same request may succeed later: one that was not run, or one that
// may be run twice. For all others it clears the time.
func withRetryAfter(o outcome.Outcome, repeatable bool) outcome.Outcome {
	if !mayRetry(o.Reason.HTTPStatus()) || (o.Kind != outcome.NotRun && !repeatable) {
		o.RetryAfter = 0
		return o
	}
	if o.RetryAfter <= 0 {
		o.RetryAfter = defaultRetryAfter
	}
	return o
}

// mayRetry reports whether the same request may succeed later.
func mayRetry(status int) bool {
	return status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
}

// earlyRefusal counts a request that the HTTP server refuses by itself, and returns its response.
func (s *Service) earlyRefusal(status int) (http.Header, []byte) {
	o := outcome.Refuse(httpserver.ReasonOf(status), 0)
	h := http.Header{}
	h.Set(requestIDHeader, requestID(nil))
	h.Set(shouldRetryHeader, strconv.FormatBool(mayRetry(status)))
	s.countRefusal(h, o, "")
	data, err := json.Marshal(errorOf("", o, ""))
	if err != nil {
		return h, nil
	}
	return h, append(data, '\n')
}

// wholeSeconds rounds the time after which a rejected caller may come back up to whole seconds, as the header has them.
func wholeSeconds(_ *http.Request, after time.Duration) time.Duration {
	return time.Duration(math.Ceil(after.Seconds())) * time.Second
}
