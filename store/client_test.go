package store_test

import (
	"crypto/tls"
	"io"
	"log"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/internal/pathtest"
	"github.com/hibiscusspur/hibiscusspur/store"
)

func TestPlatformClientUsesMutualTLS(t *testing.T) {
	authority, otherAuthority := pathtest.NewAuthority(t), pathtest.NewAuthority(t)
	server, err := authority.Issue("platform", time.Hour, "entry").Config()
	assert.NilError(t, err)
	lis, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assert.NilError(t, err)
	s := &http.Server{Handler: http.NotFoundHandler(), ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = s.Serve(lis) }()
	defer func() { _ = s.Close() }()
	for _, c := range []struct {
		name string
		from *pathtest.Authority
		peer string
		ok   bool
	}{
		{"entry", authority, "platform", true},
		{"entry", authority, "other", false},
		{"sidecar", authority, "platform", false},
		{"entry", otherAuthority, "platform", false},
	} {
		conf, err := c.from.Issue(c.name, time.Hour, c.peer).Config()
		assert.NilError(t, err)
		res, err := store.NewClient(conf).Get("https://" + lis.Addr().String())
		assert.Equal(t, err == nil, c.ok, "%+v: %v", c, err)
		if err == nil {
			assert.NilError(t, res.Body.Close())
		}
	}
}
