package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"unicode/utf8"

	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// readBody reads a body within the contract's limit; ok is false after a refusal.
func (s *Service) readBody(w http.ResponseWriter, r *http.Request, c caller) (data []byte, ok bool) {
	limit := s.settings.Bounds.BodyBytes
	if m := c.contract.Limits.MaxBodyBytes; m > 0 {
		limit = min(limit, m)
	}
	data, err := httpserver.ReadBody(r)
	switch {
	case err != nil:
		s.refuseRequest(w, c.contract.Brand, outcome.Refuse(outcome.BadRequest, 0), paramBody)
	case len(data) > limit:
		s.refuseRequest(w, c.contract.Brand, outcome.Refuse(outcome.BodyTooLarge, 0), paramBody)
	default:
		return data, true
	}
	return nil, false
}

// paramBody names the whole body where no field can be named.
const paramBody = "body"

// decode decodes a JSON body; it returns false after a refusal. Text that is not UTF-8 is refused, since the
// links between processes can't carry it.
func (s *Service) decode(w http.ResponseWriter, r *http.Request, c caller, out any) bool {
	data, ok := s.readBody(w, r, c)
	if !ok {
		return false
	}
	if param := decodeJSON(data, out); param != "" {
		s.refuseRequest(w, c.contract.Brand, outcome.Refuse(outcome.BadRequest, 0), param)
		return false
	}
	return true
}

// decodeJSON returns the name of the field that could not be decoded, or an empty string.
func decodeJSON(data []byte, out any) string {
	if !utf8.Valid(data) {
		return paramBody
	}
	err := json.Unmarshal(data, out)
	if err == nil {
		return ""
	}
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) && t.Field != "" {
		// Package json names the embedded struct as well.
		return strings.TrimPrefix(t.Field, "options.")
	}
	return paramBody
}
