package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/hibiscusspur/hibiscusspur/config"
	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/entry"
	"github.com/hibiscusspur/hibiscusspur/operator"
	"github.com/hibiscusspur/hibiscusspur/sidecar"
)

// validators returns, by kind of file, the value that a file is decoded into.
var validators = map[string]func() config.Validator{
	"entry":    func() config.Validator { s := entry.DefaultSettings(); return &s },
	"sidecar":  func() config.Validator { s := sidecar.DefaultSettings(); return &s },
	"operator": func() config.Validator { s := operator.DefaultSettings(); return &s },
	"contract": func() config.Validator { return new(contract.Contract) },
	"backend":  func() config.Validator { return new(contract.Backend) },
}

func configCmd() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Check settings files; compact the stored configuration"}
	cmd.AddCommand(configCheckCmd(), configCompactCmd())
	return cmd
}

func configCheckCmd() *cobra.Command {
	var kind string
	kinds := strings.Join(slices.Sorted(maps.Keys(validators)), ", ")
	cmd := &cobra.Command{
		Use:   "check FILE... --kind KIND",
		Short: "Check files; faults name file, line and field",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			newTarget, ok := validators[kind]
			if !ok {
				return merry.Appendf(operator.ErrInput, "--kind must be one of %s, is %q", kinds, kind)
			}
			return checkFiles(cmd, files, newTarget)
		},
	}
	cmd.Flags().StringVar(&kind, "kind", "", "one of "+kinds)
	_ = cmd.MarkFlagRequired("kind")
	return cmd
}

// checkFiles checks all files and returns their faults as one error.
func checkFiles(cmd *cobra.Command, files []string, newTarget func() config.Validator) error {
	var faults []string
	for _, file := range files {
		if err := config.Load(file, newTarget()); err != nil {
			faults = append(faults, err.Error())
			continue
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", file)
	}
	if len(faults) > 0 {
		return merry.New(strings.Join(faults, "\n"))
	}
	return nil
}
