package main

import (
	"fmt"
	"os"
	"time"

	"dunetide/internal/batch/audit"
)

// auditCmd checks the record of regulated runs offline. It exits with status 1 if it finds problems.
type auditCmd struct {
	Files  []string      `arg:"" name:"file" help:"Audit files (audit.log and audit-N.log) of as many stores as are available." type:"existingfile"`
	CSV    bool          `help:"Write the rows as CSV to standard output and the problems to standard error."`
	Within time.Duration `default:"2s" help:"The time within which a withdrawal must be in force everywhere: drain_ms of the deployment. 0 disables the check."`
}

// Run implements the command: it prints a summary of the runs and the problems found in the files
// and the runs.
func (c auditCmd) Run() error {
	r, err := audit.CheckFiles(c.Files, audit.CheckOptions{WithdrawalBound: c.Within})
	if err != nil {
		return errUsage.Wrap(err)
	}
	if c.CSV {
		if err := r.WriteCSV(os.Stdout); err != nil {
			return err
		}
		err = r.WriteProblems(os.Stderr)
	} else {
		err = r.WriteText(os.Stdout)
	}
	if err == nil && len(r.Problems) > 0 {
		err = fmt.Errorf("%d problems in the record of regulated runs", len(r.Problems))
	}
	return err
}
