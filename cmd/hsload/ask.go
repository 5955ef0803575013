package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/hibiscusspur/hibiscusspur/load/lab"
)

const awaitInterval = 50 * time.Millisecond

// askCmd sends one request and prints the response.
func askCmd() *cobra.Command {
	var target, key, path, data string
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "ask",
		Short: "Send one POST request to an entry and print the answer",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			return ask(ctx, cmd.OutOrStdout(), target+path, key, data)
		},
	}
	f := cmd.Flags()
	f.StringVar(&target, "target", "http://127.0.0.1:8080", "base URL of an entry")
	f.StringVar(&key, "key", "", "API key of the customer")
	f.StringVar(&path, "path", "/v1/chat/completions", "path of the call")
	f.StringVar(&data, "data", "", "body in JSON")
	f.DurationVar(&timeout, "timeout", 20*time.Second, "bound of the whole call")
	return cmd
}

func ask(ctx context.Context, out io.Writer, url, key, data string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, strings.TrimSpace(string(body)))
	if resp.StatusCode != http.StatusOK {
		return merry.Errorf("status %s", resp.Status)
	}
	return nil
}

// awaitCmd waits until all given URLs respond with 200.
func awaitCmd() *cobra.Command {
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "await URL...",
		Short: "Wait until every URL answers with 200",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, urls []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			for _, u := range urls {
				if !await(ctx, u) {
					return merry.Errorf("no answer from %s", u)
				}
			}
			return nil
		},
	}
	cmd.Flags().DurationVar(&timeout, "timeout", 20*time.Second, "bound of the wait for all")
	return cmd
}

func await(ctx context.Context, url string) bool {
	for !lab.Answers(ctx, url) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(awaitInterval):
		}
	}
	return true
}
