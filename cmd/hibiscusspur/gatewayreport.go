package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/hibiscusspur/hibiscusspur/operator"
	"github.com/hibiscusspur/hibiscusspur/response"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// reportTimeout bounds the request to a gateway.
const reportTimeout = 5 * time.Second

// maxReportBytes bounds a report, which lists thousands of servers at most.
const maxReportBytes = 64 << 20

// gatewayReport holds the flags of commands that show a report of one gateway.
type gatewayReport struct{ gateway, format string }

func (r *gatewayReport) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&r.gateway, "gateway", "", "address of a gateway's metrics, ip:port")
	c.Flags().StringVarP(&r.format, "output", "o", formatText, "text or json")
}

// showReport validates the flags and shows the report at a path: with write, or as JSON.
func showReport[T any](cmd *cobra.Command, r *gatewayReport, path string, write func(io.Writer, T) error) error {
	if err := checkFormat(r.format); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(r.gateway); err != nil {
		return merry.Appendf(operator.ErrInput, "--gateway must be ip:port, is %q", r.gateway)
	}
	ctx := cmd.Context()
	if ctx == nil {
		ctx = context.Background()
	}
	var report T
	if err := fetchReport(ctx, r.gateway, path, &report); err != nil {
		return err
	}
	if r.format == formatJSON {
		return writeJSON(cmd.OutOrStdout(), report)
	}
	return write(cmd.OutOrStdout(), report)
}

// fetchReport reads the report at a path, which may have a query, from the gateway at an address.
func fetchReport(ctx context.Context, addr, path string, report any) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return merry.Wrap(err)
	}
	res, err := store.NewClient(nil).Do(r)
	if err != nil {
		return merry.Wrap(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return merry.Errorf("gateway at %s answered %s", addr, res.Status)
	}
	data, err := response.ReadBody(res.Body, maxReportBytes)
	if err != nil {
		return merry.Wrap(err)
	}
	return merry.Wrap(json.Unmarshal(data, report))
}
