// Command standin2 plays the scripts of the second review. It starts the project's processes by package cluster of the lab, with
// the commands of the deploy file, and is their operator, endpoints and clients. review/REPORT-2.md lists the cases.
//
//	standin2 CASE FOLDER
//
// It writes record.txt into the folder. It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"dunetide/internal/lab/tier/cluster"
	"dunetide/internal/lab/tier/operator"
)

// limit is the longest time that a case may run.
const limit = 110 * time.Second

// Exit statuses.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// beatEvery is the interval of the endpoints' heartbeats on the sheets of the small deployments.
const beatEvery = 1200 * time.Millisecond

// rules are the contracts of the small deployments.
const rules = "base,drain,config,cost,recover,batch,stream,engine"

// tier is the deployment of a case.
type tier struct {
	*cluster.Cluster
	log       *record
	trouble   bool
	endpoints []*endpoint
}

// verdict is what a case found out.
type verdict struct {
	broken bool
	why    string
}

// plays lists the cases by name.
var plays = map[string]func(ctx context.Context, t *tier) (verdict, error){
	"forgotten-removal": forgottenRemoval, // review/4
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(cannot)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

// run plays a case and returns the exit status.
func run(play func(ctx context.Context, t *tier) (verdict, error), folder string) int {
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
	v, err := playInTier(ctx, play, log)
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

// playInTier starts a tier in a temporary folder, plays a case and ends all processes.
func playInTier(
	ctx context.Context, play func(ctx context.Context, t *tier) (verdict, error), log *record,
) (v verdict, err error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return verdict{}, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	c, err := cluster.New(cluster.Options{
		Program:           "target/dunetide",
		Dir:               folder,
		Zones:             3,
		Edges:             1,
		Keepers:           1,
		Stores:            3,
		HeartbeatInterval: beatEvery,
		Grace:             8 * time.Second,
		Rules:             rules,
	})
	if err != nil {
		return verdict{}, err
	}
	defer c.Close()
	t := &tier{Cluster: c, log: log, trouble: os.Getenv("TROUBLE") != "0"}
	log.write("disruption: %v", t.trouble)
	if err := c.Start(); err != nil {
		return verdict{}, err
	}
	return play(ctx, t)
}

// configure sends the first configuration and waits until all proxies are ready.
func (t *tier) configure(ctx context.Context, config []byte) error {
	if err := operator.New(t.Controls).Put(ctx, 0, config); err != nil {
		return err
	}
	if err := t.AwaitReady(ctx); err != nil {
		return err
	}
	t.log.write("the configuration is acknowledged and all %d proxies are ready", len(t.of(cluster.Proxy)))
	return nil
}

// of returns the processes of some roles.
func (t *tier) of(roles ...cluster.Role) (found []*cluster.Process) {
	for _, p := range t.Processes() {
		for _, role := range roles {
			if p.Role == role {
				found = append(found, p)
			}
		}
	}
	return found
}

// sleep waits for a time or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
