package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"os/user"
	"strings"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/hibiscusspur/hibiscusspur/operator"
)

// Output formats.
const (
	formatText = "text"
	formatJSON = "json"
)

// checkFormat returns an error that names the flag unless format is an output format.
func checkFormat(format string) error {
	if format == formatText || format == formatJSON {
		return nil
	}
	return merry.Appendf(operator.ErrInput, "--output must be text or json, is %q", format)
}

// driver runs the operator commands: it has their shared flags and opens the operator.
type driver struct {
	platform string
	settings string
	author   string
	format   string
	timeout  time.Duration
	// maxRecords is the maximum number of records in one change; 0 means that of the settings.
	maxRecords int
	// wait is the maximum time to wait for confirmations of a committed change; 0 means no wait.
	wait time.Duration
}

// newDriver adds the shared flags to cmd and its subcommands.
func newDriver(cmd *cobra.Command) *driver {
	d := new(driver)
	f := cmd.PersistentFlags()
	f.StringVar(&d.platform, "platform", "", "base URL of the platform's table")
	f.StringVar(&d.settings, "settings", "", "settings file (YAML) with the platform, TLS files and author")
	f.StringVar(&d.author, "author", "", "name written to the log of changes (default: the user's)")
	f.StringVarP(&d.format, "output", "o", formatText, "text or json")
	f.DurationVar(&d.timeout, "timeout", 30*time.Second, "bound of the whole reading or writing")
	f.IntVar(&d.maxRecords, "max-records", 0, "how many records one change may write (default: max_records of the settings, 500)")
	return d
}

// operation is what a command does with the operator.
type operation func(ctx context.Context, o *operator.Operator, cmd *cobra.Command, args []string) error

// run adapts f to cobra: it opens the operator, and writes errors as JSON if that is the output format.
func (d *driver) run(f operation) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		err := d.open(func(o *operator.Operator) error { return f(ctx, o, cmd, args) })
		if err != nil && d.format == formatJSON {
			_ = writeJSON(cmd.OutOrStdout(), operator.ReportOf(err))
		}
		return err
	}
}

// runOnce is run for a command that makes one read or write operation.
func (d *driver) runOnce(f operation) func(*cobra.Command, []string) error {
	return d.run(func(ctx context.Context, o *operator.Operator, cmd *cobra.Command, args []string) error {
		return d.withTimeout(ctx, func(ctx context.Context) error { return f(ctx, o, cmd, args) })
	})
}

func (d *driver) open(f func(*operator.Operator) error) error {
	if err := checkFormat(d.format); err != nil {
		return err
	}
	set, err := d.load()
	if err != nil {
		return err
	}
	table, err := set.Table()
	if err != nil {
		return err
	}
	o := operator.New(table, set.Author, time.Now)
	o.SetMaxRecords(set.MaxRecords)
	conf, err := set.TLS.Config()
	if err != nil {
		return err
	}
	o.SetTLS(conf)
	return f(o)
}

// load merges the settings file and the flags; flags take precedence.
func (d *driver) load() (operator.Settings, error) {
	set := operator.DefaultSettings()
	if d.settings != "" {
		var err error
		if set, err = operator.LoadSettings(d.settings); err != nil {
			return set, err
		}
	}
	if d.platform != "" {
		set.Platform = d.platform
	}
	if d.maxRecords > 0 {
		set.MaxRecords = d.maxRecords
	}
	if set.Platform == "" {
		return set, merry.Append(operator.ErrInput, "give --platform URL or --settings FILE")
	}
	if d.author != "" {
		set.Author = d.author
	}
	if set.Author == "" {
		set.Author = userName()
	}
	return set, nil
}

func userName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// withTimeout runs f with the timeout for one read or write operation.
func (d *driver) withTimeout(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	return f(ctx)
}

// show writes v as JSON, or calls text, depending on the output format.
func (d *driver) show(cmd *cobra.Command, v any, text func(io.Writer)) error {
	if d.format == formatJSON {
		return writeJSON(cmd.OutOrStdout(), v)
	}
	text(cmd.OutOrStdout())
	return nil
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// changeResult is the output of a command that changes records.
type changeResult struct {
	// Result is resultCommitted or resultUnchanged.
	Result   string         `json:"result"`
	Revision uint64         `json:"revision"`
	Plan     *operator.Plan `json:"plan"`
	// Push lists the sidecars to which the command pushed the change itself.
	Push *operator.PushResult `json:"push,omitempty"`
	// Wait is the result of the wait for confirmations, if one was requested.
	Wait *operator.WaitResult `json:"wait,omitempty"`
}

// Values of changeResult.Result.
const (
	resultCommitted = "committed"
	resultUnchanged = "unchanged"
)

func (r changeResult) writeText(w io.Writer) {
	if r.Result == resultUnchanged {
		fmt.Fprintf(w, "nothing to change at revision %d\n", r.Revision)
		return
	}
	fmt.Fprintf(w, "committed as revision %d\n", r.Revision)
	if r.Push != nil && len(r.Push.Targets) > 0 {
		fmt.Fprintf(w, "handed to %d of %d sidecars asked\n", len(r.Push.Confirmed), len(r.Push.Targets))
	}
}

// change makes a plan, shows it, asks for confirmation unless yes is set, and commits it.
func (d *driver) change(ctx context.Context, o *operator.Operator, cmd *cobra.Command, yes bool, plan func(context.Context) (*operator.Plan, error)) error {
	if d.format == formatJSON && !yes {
		return merry.Append(operator.ErrInput, "--output json needs --yes")
	}
	var p *operator.Plan
	err := d.withTimeout(ctx, func(ctx context.Context) (err error) {
		p, err = plan(ctx)
		return err
	})
	if err != nil {
		return err
	}
	if p.Empty() {
		return d.finish(ctx, o, cmd, changeResult{Result: resultUnchanged, Revision: p.Head, Plan: p})
	}
	if err := o.CheckSize(p); err != nil {
		return err
	}
	if d.format == formatText {
		p.WriteText(cmd.OutOrStdout())
	}
	if !yes && !confirm(cmd, "Commit this change?") {
		return operator.ErrDeclined
	}
	return d.commit(ctx, o, cmd, p)
}

func (d *driver) commit(ctx context.Context, o *operator.Operator, cmd *cobra.Command, p *operator.Plan) error {
	var revision uint64
	err := d.withTimeout(ctx, func(ctx context.Context) (err error) {
		revision, err = o.Commit(ctx, p)
		return err
	})
	if err != nil {
		return err
	}
	pushed := o.Push(ctx, p, revision)
	return d.finish(ctx, o, cmd, changeResult{Result: resultCommitted, Revision: revision, Plan: p, Push: &pushed})
}

// finish waits for confirmations if that was requested, and shows the result of a change.
func (d *driver) finish(ctx context.Context, o *operator.Operator, cmd *cobra.Command, r changeResult) error {
	if d.format == formatText {
		r.writeText(cmd.OutOrStdout())
	}
	if d.wait > 0 {
		var err error
		if r.Wait, err = d.awaitConfirmed(ctx, o, cmd, r.Revision); err != nil {
			return err
		}
	}
	return d.show(cmd, r, func(io.Writer) {})
}

// awaitConfirmed waits until the processes have confirmed a revision, and shows the
// result if the output format is text.
func (d *driver) awaitConfirmed(ctx context.Context, o *operator.Operator, cmd *cobra.Command, revision uint64) (*operator.WaitResult, error) {
	ctx, cancel := context.WithTimeout(ctx, d.wait)
	defer cancel()
	r, err := o.Wait(ctx, revision)
	result := r
	var unconfirmed *operator.UnconfirmedError
	if errors.As(err, &unconfirmed) {
		result = unconfirmed.Result
	}
	if result != nil && d.format == formatText {
		result.WriteText(cmd.OutOrStdout())
	}
	return r, err
}

// confirm asks a yes-or-no question on standard error, which keeps it out of the command's output.
func confirm(cmd *cobra.Command, question string) bool {
	fmt.Fprint(cmd.ErrOrStderr(), question+" [y/N] ")
	line, _ := bufio.NewReader(cmd.InOrStdin()).ReadString('\n')
	answer := strings.ToLower(strings.TrimSpace(line))
	return answer == "y" || answer == "yes"
}
