package platform

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	port "github.com/hibiscusspur/hibiscusspur/store"
)

// countingConn counts the bytes that a connection carries in both directions,
// without TCP and IP headers.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// benchTable serves a table without limits that has one row of 100 bytes.
func benchTable(b *testing.B) (port.Table, *atomic.Int64) {
	s, err := Start(Options{Listen: "127.0.0.1:0"})
	assert.NilError(b, err)
	b.Cleanup(s.Stop)
	var bytes atomic.Int64
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		return countingConn{c, &bytes}, err
	}
	hc := &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64}}
	b.Cleanup(hc.CloseIdleConnections)
	tb := port.NewHTTPTable(s.URL(), hc)
	row := port.Write{Key: "head", Value: make([]byte, 100)}
	assert.NilError(b, tb.Commit(b.Context(), port.Txn{Writes: []port.Write{row}}))
	bytes.Store(0)
	return tb, &bytes
}

// BenchmarkHeadPoll reads one row repeatedly on one connection.
func BenchmarkHeadPoll(b *testing.B) {
	tb, bytes := benchTable(b)
	for b.Loop() {
		_, err := tb.Get(b.Context(), "head")
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
}

// BenchmarkReads reads one row from many goroutines.
func BenchmarkReads(b *testing.B) {
	tb, _ := benchTable(b)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_, err := tb.Get(b.Context(), "head")
			assert.Check(b, err)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "reads/s")
}

// BenchmarkCommits writes one row from many goroutines.
func BenchmarkCommits(b *testing.B) {
	tb, _ := benchTable(b)
	txn := port.Txn{Writes: []port.Write{{Key: "k", Value: make([]byte, 100)}}}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			assert.Check(b, tb.Commit(b.Context(), txn))
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
}
