package contract

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Ranges of the fields. Lower bounds are 1 unless a constant says otherwise.
const (
	maxBrandBytes   = 200
	maxKeys         = 64
	maxClasses      = 64
	maxServices     = 64
	maxModels       = 64
	maxCalls        = 256
	maxRequests     = 100_000
	maxBurst        = 1_000_000
	maxConcurrent   = 1_000_000
	maxPromptTokens = 10_000_000
	maxOutputTokens = 1_000_000
	maxBodyBytes    = 64 << 20

	minTTFT     = time.Millisecond
	maxTTFT     = 10 * time.Minute
	minTBT      = time.Millisecond
	maxTBT      = time.Minute
	maxDeadline = 24 * time.Hour
	minTimeout  = time.Millisecond
	maxTimeout  = time.Hour
)

var (
	customerPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	namePattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
	hashPattern     = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methodPattern   = regexp.MustCompile(`^([A-Z]{1,16}|\*)$`)
)

const (
	customerRule = "must be 1 to 63 lower-case letters, digits and dashes, with no dash at either end"
	nameRule     = "must be 1 to 128 letters, digits and any of . _ : / -, starting with a letter or digit"
)

// failFunc reports one invalid value of a field.
type failFunc func(field, format string, args ...any)

// Check implements config.Validator. It fills in defaults first.
func (c *Contract) Check(fail func(field, format string, args ...any)) {
	c.setDefaults()
	checkPattern(fail, "customer", c.Customer, customerPattern, customerRule)
	checkBrand(fail, c.Brand)
	if !(c.Share > 0 && c.Share <= 1) {
		fail("share", "must be above 0 and at most 1, is %v", c.Share)
	}
	checkKeys(fail, c.Keys)
	c.Limits.check(fail)
	c.checkClasses(fail)
	c.checkServices(fail)
	if len(c.Classes)+len(c.Services) == 0 {
		fail("classes", "a contract needs at least one class or service")
	}
}

// Check implements config.Validator.
func (b *Backend) Check(fail func(field, format string, args ...any)) {
	checkPattern(fail, "id", b.ID, namePattern, nameRule)
	addr, err := netip.ParseAddrPort(b.Address)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		fail("address", "must be an IP address and a port such as 10.0.0.7:7400, is %q", b.Address)
	}
	checkPattern(fail, "zone", b.Zone, namePattern, nameRule)
	switch b.Role {
	case "prefill", "decode", "mixed", "service":
	default:
		fail("role", "must be prefill, decode, mixed or service, is %q", b.Role)
	}
	checkNames(fail, "models", b.Models)
}

func (l Limits) check(fail failFunc) {
	if !(l.RequestsPerSecond > 0 && l.RequestsPerSecond <= maxRequests) {
		fail("limits.requests_per_second", "must be above 0 and at most %d, is %v", maxRequests, l.RequestsPerSecond)
	}
	checkInt(fail, "limits.burst", l.Burst, maxBurst)
	checkInt(fail, "limits.concurrent", l.Concurrent, maxConcurrent)
	checkInt(fail, "limits.max_prompt_tokens", l.MaxPromptTokens, maxPromptTokens)
	checkInt(fail, "limits.max_output_tokens", l.MaxOutputTokens, maxOutputTokens)
	checkInt(fail, "limits.max_body_bytes", l.MaxBodyBytes, maxBodyBytes)
}

func (c *Contract) checkClasses(fail failFunc) {
	checkCount(fail, "classes", len(c.Classes), maxClasses)
	seen := make(map[string]bool)
	for i, class := range c.Classes {
		at := fmt.Sprintf("classes[%d]", i)
		checkPattern(fail, at+".name", class.Name, namePattern, nameRule)
		checkUnique(fail, at+".name", class.Name, seen)
		class.check(fail, at)
	}
}

func (c Class) check(fail failFunc, at string) {
	checkNames(fail, at+".models", c.Models)
	if c.Urgency == urgencyUnset {
		fail(at+".urgency", "is missing; use interactive, prompt or deferred")
	} else if c.Urgency < Interactive || c.Urgency > Deferred {
		fail(at+".urgency", "must be interactive, prompt or deferred, is %v", c.Urgency)
	}
	checkDuration(fail, at+".ttft", c.TTFT, minTTFT, maxTTFT)
	checkDuration(fail, at+".tbt", c.TBT, minTBT, maxTBT)
	checkDuration(fail, at+".deadline", c.Deadline, max(c.TTFT, minTTFT), maxDeadline)
}

func (c *Contract) checkServices(fail failFunc) {
	checkCount(fail, "services", len(c.Services), maxServices)
	seen := make(map[string]bool)
	for i, s := range c.Services {
		at := fmt.Sprintf("services[%d]", i)
		checkPattern(fail, at+".name", s.Name, namePattern, nameRule)
		checkUnique(fail, at+".name", s.Name, seen)
		checkDuration(fail, at+".timeout", s.Timeout, minTimeout, maxTimeout)
		checkCount(fail, at+".unrepeatable", len(s.Unrepeatable), maxCalls)
		calls := make(map[string]bool)
		for j, call := range s.Unrepeatable {
			field := fmt.Sprintf("%s.unrepeatable[%d]", at, j)
			checkCall(fail, field, call)
			checkUnique(fail, field, call, calls)
		}
	}
}

func checkCall(fail failFunc, field, call string) {
	method, prefix, ok := splitCall(call)
	if !ok || !methodPattern.MatchString(method) {
		fail(field, "must be a method in capitals or *, a space and a path such as \"POST /receipts\", is %q", call)
		return
	}
	if strings.ContainsAny(prefix, " ?#%") || strings.Contains(prefix, "//") || !isPrintable(prefix) {
		fail(field, "path must be plain, without spaces, escapes, a query or double slashes, is %q", prefix)
	}
}

func checkKeys(fail failFunc, keys []Key) {
	if len(keys) == 0 {
		fail("keys", "a contract needs at least one key")
	}
	checkCount(fail, "keys", len(keys), maxKeys)
	names, hashes := make(map[string]bool), make(map[string]bool)
	for i, k := range keys {
		at := fmt.Sprintf("keys[%d]", i)
		checkPattern(fail, at+".name", k.Name, namePattern, nameRule)
		checkUnique(fail, at+".name", k.Name, names)
		checkPattern(fail, at+".sha256", k.SHA256, hashPattern, "must be 64 lower-case hexadecimal digits")
		checkUnique(fail, at+".sha256", k.SHA256, hashes)
	}
}

func checkBrand(fail failFunc, brand string) {
	switch {
	case strings.TrimSpace(brand) == "":
		fail("brand", "is missing")
	case len(brand) > maxBrandBytes:
		fail("brand", "must be at most %d bytes, has %d", maxBrandBytes, len(brand))
	case !isPrintable(brand):
		fail("brand", "must be printable UTF-8 text on one line")
	}
}

func checkNames(fail failFunc, field string, names []string) {
	if len(names) == 0 {
		fail(field, "needs at least one name")
	}
	checkCount(fail, field, len(names), maxModels)
	seen := make(map[string]bool)
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", field, i)
		checkPattern(fail, at, name, namePattern, nameRule)
		checkUnique(fail, at, name, seen)
	}
}

func checkPattern(fail failFunc, field, value string, pattern *regexp.Regexp, rule string) {
	if value == "" {
		fail(field, "is missing")
	} else if !pattern.MatchString(value) {
		fail(field, "%s, is %q", rule, value)
	}
}

func checkUnique(fail failFunc, field, value string, seen map[string]bool) {
	if value != "" && seen[value] {
		fail(field, "%q stands twice", value)
	}
	seen[value] = true
}

func checkCount(fail failFunc, field string, n, limit int) {
	if n > limit {
		fail(field, "has %d entries; at most %d are allowed", n, limit)
	}
}

func checkInt(fail failFunc, field string, value, upper int) {
	if value < 1 || value > upper {
		fail(field, "must be between 1 and %d, is %d", upper, value)
	}
}

func checkDuration(fail failFunc, field string, value, lower, upper time.Duration) {
	if value < lower || value > upper {
		fail(field, "must be between %v and %v, is %v", lower, upper, value)
	}
}

func isPrintable(s string) bool {
	if !utf8.ValidString(s) {
		return false
	}
	return strings.IndexFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) < 0
}
