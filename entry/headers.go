package entry

import (
	"crypto/rand"
	"net/http"
	"strings"
)

// Headers of the caller interface.
const (
	requestIDHeader    = "X-Request-Id"
	idempotencyHeader  = "Idempotency-Key"
	classHeader        = "X-Request-Class"
	retryAfterHeader   = "Retry-After"
	retryAfterMsHeader = "Retry-After-Ms"
	// shouldRetryHeader tells client libraries that retry by themselves after some statuses whether to do so.
	shouldRetryHeader = "X-Should-Retry"

	maxHeaderValue = 255
)

// requestID returns the caller's id for the request, or a new one when there is none that can be logged
// verbatim.
func requestID(h http.Header) string {
	if id := strings.TrimSpace(h.Get(requestIDHeader)); id != "" && isPlain(id) {
		return id
	}
	return rand.Text()
}

// idempotencyKey returns the key, which may be empty. ok is false when the key is not usable: more than one,
// too long, or not printable ASCII.
func idempotencyKey(h http.Header) (key string, ok bool) {
	values := h.Values(idempotencyHeader)
	if len(values) > 1 {
		return "", false
	}
	key = strings.TrimSpace(h.Get(idempotencyHeader))
	return key, isPlain(key)
}

// bearer returns the API key of a request.
func bearer(h http.Header) (string, bool) {
	scheme, key, ok := strings.Cut(strings.TrimSpace(h.Get("Authorization")), " ")
	key = strings.TrimSpace(key)
	return key, ok && strings.EqualFold(scheme, "Bearer") && key != ""
}

// isPlain reports whether s is short printable ASCII.
func isPlain(s string) bool {
	return len(s) <= maxHeaderValue && isPrintable(s)
}

func isPrintable(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
