// Command standin plays the cases of the review: it starts the project's processes with the commands of the deploy file, and
// is their platform, operator, endpoints and clients. review/REPORT.md lists the cases.
//
//	standin CASE FOLDER
//
// It writes record.txt into the folder. It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit is the longest time that a case may run.
const limit = 115 * time.Second

// Exit statuses.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// verdict is what a case found out.
type verdict struct {
	broken bool
	why    string
}

// play is a case: it drives a tier that has started.
type play struct {
	options tierOptions
	run     func(ctx context.Context, t *tier) (verdict, error)
}

// plays lists the cases by name.
var plays = map[string]play{
	"large-job":     largeJob,   // review/1
	"shed":          shed,       // review/2
	"reused-name":   reusedName, // review/3
	"moved-route":   movedRoute, // in the report only, as are the next ones
	"renamed-route": renamedRoute,
	"own-prefix":    ownPrefix,
	"late-beat":     lateBeat,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(cannot)
	}
	os.Exit(runCase(plays[os.Args[1]], os.Args[2]))
}

// runCase plays a case and returns the exit status.
func runCase(p play, folder string) int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	ctx, cancelLimit := context.WithTimeout(ctx, limit)
	defer cancelLimit()
	log, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	defer log.close()
	v, err := playCase(ctx, p, log)
	switch {
	case err != nil:
		log.write("the case could not run: %v", err)
		return cannot
	case v.broken:
		log.write("BROKEN: %s", v.why)
		return broken
	}
	log.write("HELD: %s", v.why)
	return held
}

// playCase starts a tier, plays the case and ends all processes.
func playCase(ctx context.Context, p play, log *record) (verdict, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return verdict{}, err
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder) // what is left is temporary
		}
	}()
	t, err := newTier(p.options, folder, log)
	if err != nil {
		return verdict{}, err
	}
	defer t.close()
	t.trouble = os.Getenv("TROUBLE") != "0"
	log.write("disruption: %v", t.trouble)
	if err := t.start(ctx); err != nil {
		return verdict{}, err
	}
	return p.run(ctx, t)
}

// sleep waits for a time or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
