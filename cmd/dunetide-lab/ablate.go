package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"dunetide/internal/lab/ablation"
)

type ablateCommand struct {
	Bench string `required:"" help:"The bench's program." type:"existingfile"`
	Site  string `arg:"" help:"The deployment's site file." type:"existingfile"`
	Jobs  int    `default:"4" help:"Days that are played at a time."`
	Quick bool   `help:"The light days only."`
	Only  string `help:"Mechanisms whose names have this."`
	Seeds int    `default:"1" help:"How often all is played."`
}

// Run runs days on the committed state of this checkout with one placement mechanism disabled at a time, and prints a table row for
// each. The bench's journal entries are copied to the checkout's journal.
func (c *ablateCommand) Run(ctx context.Context) error {
	bench, err := filepath.Abs(c.Bench)
	if err != nil {
		return err
	}
	site, err := filepath.Abs(c.Site)
	if err != nil {
		return err
	}
	here, err := os.Getwd()
	if err != nil {
		return err
	}
	o := ablation.Options{Repository: here, Bench: bench, Site: site, Jobs: c.Jobs, Quick: c.Quick, Only: c.Only, Journal: filepath.Join(here, "journal")}
	fmt.Println("| without | score | days |\n| --- | --- | --- |")
	for range c.Seeds {
		if err := ablation.Play(ctx, o, printResult); err != nil {
			return err
		}
	}
	return nil
}

// printResult prints a row of the table.
func printResult(r ablation.Result) {
	name := r.Mechanism
	if name == "" {
		name = "(nothing)"
	}
	var days []string
	for _, d := range r.Days {
		days = append(days, fmt.Sprintf("%s %.2f", d.Name, d.Score))
	}
	fmt.Printf("| %s | %.3f | %s |\n", name, r.Score, strings.Join(days, ", "))
}
