package tier

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"dunetide/internal/lab/tier/engine"
	"dunetide/internal/lab/tier/load"
)

// Account is the result of a run of the lab.
type Account struct {
	load.Account
	Seed     uint64    `json:"seed"`
	ReadyS   float64   `json:"ready_s"`  // from the start of the processes until the tier was ready
	ConfigS  float64   `json:"config_s"` // until the configuration was acknowledged
	Services []Service `json:"services"`
	ReadBack string    `json:"read_back"` // "same", or what was read instead
	Ends     []string  `json:"ends"`      // processes that exited unexpectedly
}

// Service summarizes the observations of the endpoints of a service.
type Service struct {
	Name     string  `json:"name"`
	Runs     int     `json:"runs"`
	Rejected int     `json:"turned"` // requests rejected because an endpoint was full
	Busy     float64 `json:"busy"`   // mean share of slots in use while clients sent requests
}

// services summarizes the runs during the time in which clients sent requests.
func services(runs *engine.Runs, from time.Time, length time.Duration) (out []Service) {
	rejected := runs.Rejected()
	for _, name := range []string{gen, web} {
		s := Service{Name: name, Rejected: rejected[name]}
		var busy time.Duration
		end := from.Add(length)
		for _, r := range runs.All() {
			if r.Service != name {
				continue
			}
			s.Runs++
			last := end
			if !r.Ended.IsZero() && r.Ended.Before(end) {
				last = r.Ended
			}
			busy += max(0, last.Sub(r.Began))
		}
		count := engines
		if name == web {
			count = plain
		}
		s.Busy = busy.Seconds() / length.Seconds() / float64(count*EndpointOptions(name).Capacity)
		out = append(out, s)
	}
	return out
}

// Failed reports whether a rule was violated, a process exited unexpectedly, or the configuration read back differs.
func (a Account) Failed() bool {
	return len(a.Violations) > 0 || len(a.Ends) > 0 || a.ReadBack != "same"
}

// Print writes a human-readable summary of the account.
func (a Account) Print(w io.Writer) error {
	var out strings.Builder
	fmt.Fprintf(&out, "seed %d: configuration acknowledged after %.1f s, ready after %.1f s; %d runs at endpoints, %d of them incomplete\n\n",
		a.Seed, a.ConfigS, a.ReadyS, a.Runs, a.Cut)
	fmt.Fprintf(&out, "%-8s %7s %7s %7s %7s %7s   attempts, by outcome\n",
		"kind", "sent", "on time", "late", "refused", "failed")
	for _, k := range a.Kinds {
		fmt.Fprintf(&out, "%-8s %7d %7d %7d %7d %7d   %d: %v\n",
			k.Kind, k.Requested, k.WithinTarget, k.Late, k.Refused, k.Failed, k.Tries, k.Ends)
	}
	for _, s := range a.Services {
		fmt.Fprintf(&out, "endpoints of %s: %d runs, %.2f of the slots in use, %d requests rejected\n",
			s.Name, s.Runs, s.Busy, s.Rejected)
	}
	for _, j := range a.Jobs {
		fmt.Fprintf(&out, "job %v\n", j)
	}
	if a.Late > 0 {
		fmt.Fprintf(&out, "the lab itself sent %d requests late\n", a.Late)
	}
	fmt.Fprintf(&out, "configuration read back: %s\n", a.ReadBack)
	for _, e := range a.Ends {
		fmt.Fprintln(&out, e)
	}
	rules := map[string]int{}
	for _, b := range a.Violations {
		if rules[b.Rule]++; rules[b.Rule] <= maxReported {
			fmt.Fprintln(&out, b)
		}
	}
	if len(a.Violations) == 0 {
		fmt.Fprintln(&out, "no rule was violated")
	} else {
		fmt.Fprintf(&out, "violations by rule: %v\n", rules)
	}
	_, err := io.WriteString(w, out.String())
	return err
}

const maxReported = 10

// Save writes the account as account.json into dir.
func (a Account) Save(dir string) error {
	text, err := json.MarshalIndent(a, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "account.json"), text, 0o644)
}
