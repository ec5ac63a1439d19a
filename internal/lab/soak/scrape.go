package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"dunetide/internal/lab/tier/cluster"
	"dunetide/internal/lab/wait"
)

const (
	scrapeEvery = 2 * time.Second
	scrapeWait  = time.Second
	// The metrics ports of deploy/system.toml.
	metricsProxy, metricsKeeper, metricsStore = 19101, 19102, 19103
)

// scrapes holds the invariant counters that the processes export as metrics.
type scrapes struct {
	newest     map[string]uint64 // checks, by process and incarnation
	violations map[string]string // metric lines, by process and invariant
}

func newScrapes() *scrapes {
	return &scrapes{newest: map[string]uint64{}, violations: map[string]string{}}
}

// checks returns the number of invariant checks that all processes have counted.
func (s *scrapes) checks() (sum uint64) {
	for _, n := range s.newest {
		sum += n
	}
	return sum
}

// scrape fetches the metrics of all processes every scrapeEvery until the context ends.
func (p *soakRun) scrape(ctx context.Context, s *scrapes) {
	for wait.For(ctx, scrapeEvery) {
		p.scrapeOnce(ctx, s)
	}
}

var metricsOf = map[cluster.Role]int{
	cluster.Proxy:  metricsProxy,
	cluster.Keeper: metricsKeeper,
	cluster.Store:  metricsStore,
}

// scrapeOnce fetches the metrics of all processes once. A process that is down, frozen or has just started does not
// answer.
func (p *soakRun) scrapeOnce(ctx context.Context, s *scrapes) {
	client := &http.Client{Timeout: scrapeWait / 4, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, process := range p.cluster.Processes() {
		url := fmt.Sprintf("http://%s:%d/metrics", process.Address(), metricsOf[process.Role])
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return
		}
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		s.parse(fmt.Sprintf("%v, process %d", process, process.PID()), resp.Body)
		_ = resp.Body.Close()
	}
}

var invariantLine = regexp.MustCompile(`^dunetide_invariant_(checks|violations)_total\{invariant="([^"]+)"\} (\d+)`)

// parse reads the metrics of a process and skips lines that are not invariant counters.
func (s *scrapes) parse(process string, text io.Reader) {
	checks := uint64(0)
	for lines := bufio.NewScanner(text); lines.Scan(); {
		match := invariantLine.FindStringSubmatch(lines.Text())
		if match == nil {
			continue
		}
		n, err := strconv.ParseUint(match[3], 10, 64)
		switch {
		case err != nil:
		case match[1] == "checks":
			checks += n
		case n > 0:
			s.violations[process+": "+match[2]] = lines.Text()
		}
	}
	s.newest[process] = checks
}
