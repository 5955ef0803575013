package contract

import (
	"net/url"
	"path"
	"slices"
	"strings"

	"github.com/hibiscusspur/hibiscusspur/apikey"
)

// HashKey returns the form in which a contract stores an API key: its SHA-256 hash in
// lower-case hexadecimal.
func HashKey(key string) string { return apikey.Of(key).String() }

// ClassFor returns the class of a request for model. If name is empty, it is the first
// class that lists the model; otherwise it is the class called name, if that lists the
// model. The class belongs to c and must not be changed.
func (c *Contract) ClassFor(model, name string) (*Class, bool) {
	for i := range c.Classes {
		class := &c.Classes[i]
		if name != "" && class.Name != name {
			continue
		}
		if slices.Contains(class.Models, model) {
			return class, true
		}
	}
	return nil, false
}

// ServiceFor returns the plain service called name. It belongs to c and must not be
// changed.
func (c *Contract) ServiceFor(name string) (*Service, bool) {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i], true
		}
	}
	return nil, false
}

// IsUnrepeatable reports whether a call may run at most once. Prefixes match whole
// path segments. The path is also matched in its cleaned and unescaped forms, since
// the service may treat them as equivalent.
func (s *Service) IsUnrepeatable(method, requestPath string) bool {
	forms := pathForms(requestPath)
	for _, call := range s.Unrepeatable {
		want, prefix, ok := splitCall(call)
		if !ok || want != "*" && !strings.EqualFold(want, method) {
			continue
		}
		if slices.ContainsFunc(forms, func(p string) bool { return hasPathPrefix(p, prefix) }) {
			return true
		}
	}
	return false
}

// splitCall splits "METHOD /path/prefix".
func splitCall(call string) (method, prefix string, ok bool) {
	method, prefix, ok = strings.Cut(call, " ")
	return method, prefix, ok && strings.HasPrefix(prefix, "/")
}

func pathForms(p string) []string {
	p, _, _ = strings.Cut(p, "?")
	forms := []string{p, path.Clean("/" + p)}
	if plain, err := url.PathUnescape(p); err == nil && plain != p {
		forms = append(forms, path.Clean("/"+plain))
	}
	return forms
}

func hasPathPrefix(p, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(p, prefix)
	return ok && (rest == "" || rest[0] == '/')
}
