package outcome

import "net/http"

// Reason is a stable code that is sent to callers and counted in metrics.
type Reason string

// Reasons for which a request does not complete. docs/OPERATIONS.md explains each
// to the operator on call.
const (
	BadRequest         Reason = "bad_request"
	MethodNotAllowed   Reason = "method_not_allowed"
	HeadersTooLarge    Reason = "headers_too_large"
	BodyTooLarge       Reason = "body_too_large"
	PromptTooLong      Reason = "prompt_too_long"
	Unauthenticated    Reason = "unauthenticated"
	ModelNotInContract Reason = "model_not_in_contract"
	NotFound           Reason = "not_found"
	RateLimited        Reason = "rate_limited"
	ConcurrencyLimited Reason = "concurrency_limited"
	KeyInUse           Reason = "idempotency_key_in_use"
	TicketLost         Reason = "ticket_lost"
	StoreUnavailable   Reason = "store_unavailable"
	NoBackend          Reason = "no_backend"
	NoDecodeSlot       Reason = "no_decode_place"
	Overloaded         Reason = "backend_overloaded"
	LinkBusy           Reason = "link_busy"
	PrefillBacklog     Reason = "prefill_backlog"
	TargetUnreachable  Reason = "target_unreachable"
	ShareExceeded      Reason = "share_exceeded"
	StaleRevision      Reason = "stale_revision"
	Leaving            Reason = "backend_leaving"
	Draining           Reason = "draining"
	ReservationLapsed  Reason = "reservation_lapsed"
	LeaseLapsed        Reason = "lease_lapsed"
	Fenced             Reason = "fenced"
	KVLost             Reason = "kv_lost"
	EngineError        Reason = "engine_error"
	EngineLost         Reason = "engine_lost"
	LinkDown           Reason = "link_down"
	SidecarRestarted   Reason = "sidecar_restarted"
	CallerGone         Reason = "caller_gone"
	CallerStalled      Reason = "caller_stalled"
	DeadlineExceeded   Reason = "deadline_exceeded"
	RetryBudgetSpent   Reason = "retry_budget_spent"
	AnswerIncomplete   Reason = "answer_incomplete"
	Duplicate          Reason = "duplicate"
	Quarantined        Reason = "quarantined"
	ConfigUnproved     Reason = "config_unproved"
	ServerLimited      Reason = "server_limited"
	ServerCooldown     Reason = "server_resting"
	VersionGone        Reason = "version_gone"
	VersionUnknown     Reason = "version_unknown"
	MemoryShort        Reason = "memory_short"
	RequestStalled     Reason = "request_stalled"
)

// All lists every reason, for the registration of metrics and for the test that
// compares the documentation with the code.
func All() []Reason {
	return []Reason{
		BadRequest, MethodNotAllowed, HeadersTooLarge, BodyTooLarge, PromptTooLong, Unauthenticated, ModelNotInContract, NotFound,
		RateLimited, ConcurrencyLimited, KeyInUse, TicketLost, StoreUnavailable, NoBackend, NoDecodeSlot, Overloaded,
		LinkBusy, PrefillBacklog, TargetUnreachable, ShareExceeded, StaleRevision, Leaving, Draining,
		ReservationLapsed, LeaseLapsed, Fenced, KVLost, EngineError, EngineLost, LinkDown,
		SidecarRestarted, CallerGone, CallerStalled, DeadlineExceeded, RetryBudgetSpent,
		AnswerIncomplete, Duplicate, Quarantined, ConfigUnproved, ServerLimited, ServerCooldown, VersionGone, VersionUnknown,
		MemoryShort, RequestStalled,
	}
}

// HTTPStatus returns the status of the response that carries r. Rejections that
// may be retried later are 429 (the customer's own limit) or 503 (the system's).
func (r Reason) HTTPStatus() int {
	switch r {
	case BadRequest:
		return http.StatusBadRequest
	case MethodNotAllowed:
		return http.StatusMethodNotAllowed
	case HeadersTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case BodyTooLarge, PromptTooLong:
		return http.StatusRequestEntityTooLarge
	case Unauthenticated:
		return http.StatusUnauthorized
	case ModelNotInContract, NotFound:
		return http.StatusNotFound
	case KeyInUse, Duplicate, TicketLost:
		return http.StatusConflict
	case RateLimited, ConcurrencyLimited, ShareExceeded:
		return http.StatusTooManyRequests
	case EngineError, EngineLost, AnswerIncomplete, LinkDown, SidecarRestarted, KVLost:
		return http.StatusBadGateway
	case DeadlineExceeded:
		return http.StatusGatewayTimeout
	case RequestStalled:
		return http.StatusRequestTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// Retryable reports whether an attempt at another backend server may succeed after one
// failed for this reason, provided that the failed one did not run or may be repeated.
func (r Reason) Retryable() bool {
	switch r {
	case NoBackend, NoDecodeSlot, Overloaded, ServerLimited, ServerCooldown, LinkBusy, PrefillBacklog, Leaving, Draining, ReservationLapsed, LeaseLapsed,
		KVLost, EngineError, EngineLost, LinkDown, SidecarRestarted, StaleRevision, ShareExceeded:
		return true
	default:
		return false
	}
}
