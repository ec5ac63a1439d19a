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

// Account of a play.
type Account struct {
	load.Account
	Seed     uint64    `json:"seed"`
	ReadyS   float64   `json:"ready_s"`  // from the start of the processes
	ConfigS  float64   `json:"config_s"` // until the configuration was acknowledged
	Services []Service `json:"services"`
	ReadBack string    `json:"read_back"` // same, or what came
	Ends     []string  `json:"ends"`      // processes that ended by themselves
}

// Service is what the endpoints of a service observed.
type Service struct {
	Name     string  `json:"name"`
	Runs     int     `json:"runs"`
	Rejected int     `json:"turned"` // requests rejected because an endpoint was full
	Busy     float64 `json:"busy"`   // part of the slots that runs used, over the time in which clients asked
}

// services counts the runs of the time in which clients sent requests.
func services(runs *engine.Runs, from time.Time, length time.Duration) (out []Service) {
	turned := runs.Rejected()
	for _, name := range []string{gen, web} {
		s := Service{Name: name, Rejected: turned[name]}
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

// Failed reports whether a rule was broken or a process ended by itself.
func (a Account) Failed() bool {
	return len(a.Violations) > 0 || len(a.Ends) > 0 || a.ReadBack != "same"
}

// Print writes the account for people.
func (a Account) Print(w io.Writer) error {
	var out strings.Builder
	fmt.Fprintf(&out, "seed %d: configuration after %.1f s, ready after %.1f s; %d runs at endpoints, %d of them cut\n\n",
		a.Seed, a.ConfigS, a.ReadyS, a.Runs, a.Cut)
	fmt.Fprintf(&out, "%-8s %7s %7s %7s %7s %7s   tries, by their end\n",
		"kind", "sent", "in time", "late", "refused", "failed")
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
		fmt.Fprintln(&out, "no rule was broken")
	} else {
		fmt.Fprintf(&out, "rules broken: %v\n", rules)
	}
	_, err := io.WriteString(w, out.String())
	return err
}

const maxReported = 10

// Save writes the account beside the logs.
func (a Account) Save(dir string) error {
	text, err := json.MarshalIndent(a, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "account.json"), text, 0o644)
}
