package site

// Headers that the platform's clients and servers send. They are deliberately defined a
// second time here, so that tests check the adapter against the platform's protocol and
// not against the adapter's own constants.
const (
	RequestID     = "Hibiscusspur-Request-Id"
	Deadline      = "Hibiscusspur-Deadline-Ms"
	Tokens        = "Hibiscusspur-Tokens"
	LengthHint    = "Hibiscusspur-Length-Hint"
	Parts         = "Hibiscusspur-Prefix-Hash"
	Tenant        = "Hibiscusspur-Tenant"
	Credentials   = "Authorization"
	Stamp         = "Hibiscusspur-Stamp"
	Reservation   = "Hibiscusspur-Hold"
	KVFrom        = "Hibiscusspur-Kv-From"
	kvBackup      = "Hibiscusspur-Kv-Backup"
	NotRun        = "Hibiscusspur-Not-Run"
	instance      = "Hibiscusspur-Expect-Instance"
	stage         = "Hibiscusspur-Stage"
	lastEventID   = "Last-Event-Id"
	Resumes       = "Resumes"
	limitHeader   = "Server-Limit"
	leavingHeader = "Server-Leaving"
	retryAfter    = "Retry-After"
)

// ReadyPath is the gateway's readiness endpoint, which the load balancer polls.
const ReadyPath = "/api/ready"
