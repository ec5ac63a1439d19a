package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"dunetide/internal/control/snapshot"
)

// Names of the one batch route.
const (
	host  = "ficu95.example"
	route = "/pule252/"
)

// partitions is the number of partitions of the batch jobs.
const partitions = 16

// item is one item of a batch job.
type item struct {
	id     string
	tokens string // X-Dunetide-Token-Count
	sum    int
}

// job is a batch job as its client knows it.
type job struct {
	id    string
	items []item
	read  []string // the ids of the results that were read, in their order
}

// newJob returns a job whose items have outputs of about the given number of tokens, each drawn within the given spread.
func newJob(partition, items, prompt, output, spread int) *job {
	j := &job{}
	for j.id == "" || int(snapshot.Hash(j.id)%partitions) != partition {
		j.id = fmt.Sprintf("%016x", rand.Uint64())
	}
	for range items {
		out := output + rand.IntN(spread) - spread/2
		j.items = append(j.items, item{fmt.Sprintf("%016x", rand.Uint64()), fmt.Sprintf("%d,%d", prompt, out), prompt + out})
	}
	return j
}

// encode returns the body of the submission.
func (j *job) encode() ([]byte, error) {
	var requests []map[string]any
	for _, it := range j.items {
		requests = append(requests, map[string]any{
			"id": it.id, "path": route + "run/" + it.id, "body": []byte(strings.Repeat(it.id, 200)), "tokens": it.sum,
			"headers": map[string]string{
				"X-Dunetide-Model": "m", "X-Dunetide-Token-Count": it.tokens, "X-Dunetide-Prompt-Prefix": "9c2e41:300,5d07b8:240",
			},
		})
	}
	return json.Marshal(map[string]any{"requests": requests})
}

// front returns the address of a ready proxy, another one on each call, as the platform connects clients.
func (t *tier) front(ctx context.Context) string {
	proxies := t.role("proxy")
	for _, n := range rand.Perm(len(proxies)) {
		if ready(ctx, proxies[n]) {
			return proxies[n].at(portFront)
		}
	}
	return proxies[rand.IntN(len(proxies))].at(portFront)
}

// submit sends a job until it is accepted.
func (t *tier) submit(ctx context.Context, j *job) error {
	body, err := j.encode()
	if err != nil {
		return err
	}
	header := map[string]string{
		"X-Dunetide-Request-Id": j.id, "Content-Type": "application/json", "X-Dunetide-Time-Left-Ms": "4000",
	}
	for ctx.Err() == nil {
		status, _, err := call(ctx, 4*time.Second, http.MethodPost, t.front(ctx), route+j.id, host, header, body)
		t.log.write("job %s submitted: %d items, %d bytes: status %d %v", j.id, len(j.items), len(body), status, err)
		if status == http.StatusAccepted {
			return nil
		}
		sleep(ctx, 300*time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", j.id)
}

// page is the answer to a read of results.
type page struct {
	Total     int `json:"total"`
	NextToken int `json:"next_token"`
	Results   []struct {
		ID      string `json:"id"`
		State   string `json:"state"`
		Message string `json:"message"`
	} `json:"results"`
}

// readPage reads the results from a position on. The status is 0 if there was no answer.
func (t *tier) readPage(ctx context.Context, j *job, from int) (status int, p page, err error) {
	header := map[string]string{"X-Dunetide-Wait-Ms": "1000", "X-Dunetide-Time-Left-Ms": "4000"}
	path := fmt.Sprintf("/lots/%s?start_after=%d", j.id, from)
	status, body, err := call(ctx, 4*time.Second, http.MethodGet, t.front(ctx), path, host, header, nil)
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(body, &p)
	}
	return status, p, err
}

// follow reads the results of a job about twice a second until it has at least the given number, for the given time at most.
// It reports whether it has.
func (t *tier) follow(ctx context.Context, j *job, results int, atMost time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, atMost)
	defer cancel()
	for len(j.read) < results {
		status, p, err := t.readPage(ctx, j, len(j.read))
		if ctx.Err() != nil {
			return false
		}
		for _, r := range p.Results {
			j.read = append(j.read, r.ID)
		}
		if len(p.Results) == 0 {
			t.log.write("job %s read from %d: status %d, no results, %v", j.id, len(j.read), status, err)
			sleep(ctx, 500*time.Millisecond)
		} else {
			t.log.write("job %s read: %d results so far", j.id, len(j.read))
		}
	}
	return true
}
