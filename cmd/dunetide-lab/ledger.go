package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"dunetide/internal/lab/ledger"
)

type ledgerCommand struct {
	Reports []string `arg:"" help:"Reports of days, as the bench writes them." type:"existingfile"`
	Site    string   `help:"The site file, for what each kind of request is worth." type:"existingfile"`
	Log     string   `help:"What the processes wrote on the day, as the bench prints it; for one report." type:"existingfile"`
	Plot    string   `help:"A folder for a plot of each day's worth over time."`
}

// Run accounts for the losses of the days. It only reads files, except that it writes the plots.
func (c *ledgerCommand) Run() error {
	if c.Log != "" && len(c.Reports) > 1 {
		return errors.New("a log belongs to one day: give one report with it")
	}
	var worths []ledger.RevenueWeight
	if c.Site != "" {
		f, err := os.Open(c.Site)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }() // opened read-only
		if worths, err = ledger.ReadSite(f); err != nil {
			return err
		}
	}
	for _, path := range c.Reports {
		if err := c.account(path, worths); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return nil
}

// account prints, and plots if requested, the account of one day.
func (c *ledgerCommand) account(path string, worths []ledger.RevenueWeight) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // opened read-only
	report, err := ledger.ReadReport(f)
	if err != nil {
		return err
	}
	day := ledger.Day{Name: strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)), Report: report, Rows: ledger.Rows(report, worths)}
	if c.Log != "" {
		logs, err := os.Open(c.Log)
		if err != nil {
			return err
		}
		defer func() { _ = logs.Close() }() // opened read-only
		if day.Ended, err = ledger.ReadLogs(logs); err != nil {
			return err
		}
	}
	if err := day.Print(os.Stdout); err != nil || c.Plot == "" {
		return err
	}
	plot, err := os.Create(filepath.Join(c.Plot, day.Name+".svg"))
	if err != nil {
		return err
	}
	return errors.Join(day.Plot(plot), plot.Close())
}
