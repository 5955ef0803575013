package site

// Headers that the platform's clients and servers send, spelled here a second time on
// purpose: tests hold the adapter to what the platform says, not to the adapter's own
// constants.
const (
	RequestID     = "Hibiscusspur-Request-Id"
	Deadline      = "Hibiscusspur-Deadline-Ms"
	Tokens        = "Hibiscusspur-Tokens"
	LengthHint    = "Hibiscusspur-Length-Hint"
	Tenant        = "Hibiscusspur-Tenant"
	Credentials   = "Authorization"
	Stamp         = "Hibiscusspur-Stamp"
	Reservation   = "Hibiscusspur-Hold"
	KVFrom        = "Hibiscusspur-Kv-From"
	notRun        = "Hibiscusspur-Not-Run"
	instance      = "Hibiscusspur-Expect-Instance"
	stage         = "Hibiscusspur-Stage"
	lastEventID   = "Last-Event-Id"
	limitHeader   = "Server-Limit"
	leavingHeader = "Server-Leaving"
	retryAfter    = "Retry-After"
)

// ReadyPath is what the balancer asks a gateway.
const ReadyPath = "/api/ready"
