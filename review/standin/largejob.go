package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// The large job: 200 items, the most that a job may have, with outputs of about 9,000 tokens each.
const (
	largeItems  = 200
	largePrompt = 1_000
	largeTokens = 9_000
	largeSpread = 400
	// largePartition is that of both jobs. A store that comes back is given the lead of the first partitions that others lead.
	largePartition = 0
	// killAt is the number of results after which a store is killed: the first ones of the items that did not run at once.
	killAt = 156
)

// storeDown is how long the killed store is away: the site's dose of node_kill on a store.
const storeDown = 2800 * time.Millisecond

// readFor is how long each job is asked for at the end. The store is back since longer than any bound by then.
const readFor = 15 * time.Second

// largeJob has a job whose results come to 18 MB. One store is killed while the last of them come in, and returns.
var largeJob = play{
	options: tierOptions{
		zones: []string{"akl-a", "akl-b", "akl-c"}, edges: 3, keepers: 2, stores: 3, endpoints: 9, capacity: 48,
		engine: engine{step: 1370 * time.Microsecond, memory: 232_000},
		config: func() []byte { return configuration(3, 48, batchRoute("bordereaux")) },
	},
	run: runLargeJob,
}

func runLargeJob(ctx context.Context, t *tier) (verdict, error) {
	small := newJob(largePartition, 5, 540, 320, 32)
	large := newJob(largePartition, largeItems, largePrompt, largeTokens, largeSpread)
	for _, j := range []*job{small, large} {
		if err := t.submit(ctx, j); err != nil {
			return verdict{}, err
		}
	}
	if !t.follow(ctx, small, len(small.items), 20*time.Second) || !t.follow(ctx, large, killAt, 50*time.Second) {
		return verdict{}, errors.New("the jobs did not run")
	}
	if err := t.killStore(ctx); err != nil {
		return verdict{}, err
	}
	t.follow(ctx, large, largeItems, 10*time.Second)
	t.log.write("the traffic ends: %d results of %d were read; pause of finish_by_s", len(large.read), largeItems)
	sleep(ctx, 10*time.Second)
	var lost []string
	for _, j := range []*job{small, large} {
		why, err := t.readAgain(ctx, j)
		if err != nil {
			return verdict{}, err
		}
		if why != "" {
			lost = append(lost, why)
		}
	}
	if len(lost) > 0 {
		return verdict{true, strings.Join(lost, "; ")}, nil
	}
	return verdict{false, "both jobs could be read from the start, with the results that were read before"}, nil
}

// killStore kills one store that does not lead the jobs. It comes back with its disk.
func (t *tier) killStore(ctx context.Context) error {
	if !t.trouble {
		return nil
	}
	var store *process
	for _, p := range t.role("store") {
		text, err := os.ReadFile(filepath.Join(p.folder, "log"))
		if err != nil {
			return err
		}
		if !strings.Contains(string(text), fmt.Sprintf("partition %d: primary", largePartition)) {
			store = p
		}
	}
	store.kill()
	t.log.write("%s killed", store.machine)
	sleep(ctx, storeDown)
	if err := store.start(); err != nil {
		return err
	}
	t.log.write("%s started again", store.machine)
	return nil
}

// readAgain reads all results of a job once more, as after the end of a day, and says what is wrong; empty: nothing.
func (t *tier) readAgain(ctx context.Context, j *job) (why string, err error) {
	until := time.Now().Add(readFor)
	read, bytes := 0, 0
	for read < len(j.items) && time.Now().Before(until) {
		status, p, err := t.readPage(ctx, j, read)
		if ctx.Err() != nil {
			return "", ctx.Err()
		}
		if status != http.StatusOK || len(p.Results) == 0 {
			t.log.write("job %s read from the start, from %d: status %d, %d results, %v", j.id, read, status, len(p.Results), err)
			sleep(ctx, 500*time.Millisecond)
			continue
		}
		for _, r := range p.Results {
			if why := j.check(read, r.ID, r.State, r.Message); why != "" {
				return why, nil
			}
			bytes += len(r.Message)
			read++
		}
	}
	t.log.write("job %s read from the start: %d results, %d bytes", j.id, read, bytes)
	if read < len(j.items) {
		return fmt.Sprintf("LOST: for %v no machine gave result %d of job %s, of whose %d results %d had been read",
			readFor, read, j.id, len(j.items), len(j.read)), nil
	}
	return "", nil
}

// check says what is wrong with a result that was read at a position; empty: nothing.
func (j *job) check(position int, id, state, message string) string {
	if position < len(j.read) && j.read[position] != id {
		return fmt.Sprintf("TWICE: position %d of job %s has item %s, before it had %s", position, j.id, id, j.read[position])
	}
	for _, it := range j.items {
		if it.id == id {
			if state == "finished" && message == wholeText(id, it.tokens) {
				return ""
			}
			return fmt.Sprintf("MIXED: item %s of job %s is %s with %d bytes", id, j.id, state, len(message))
		}
	}
	return fmt.Sprintf("MIXED: job %s has no item %s", j.id, id)
}
