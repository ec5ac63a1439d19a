package ledger

import (
	"bufio"
	"cmp"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Ended counts the requests that processes of the system ended by themselves for one reason, as logged.
type Ended struct {
	Reason      string
	Count       int
	First, Last float64 // s from the start of traffic
}

// logLine matches a log line as the bench prints it: the second, the machine, and the process's own message.
var logLine = regexp.MustCompile(`^\s*(-?[0-9]+\.[0-9]+) \S+ .*: (request failed|request not taken|batch call failed): (.*)$`)

// varying matches what differs between log lines of the same reason: numbers, addresses, durations.
var varying = regexp.MustCompile(`[0-9][0-9a-z.:µ>-]*`)

// maxLogLine limits the length of a log line; a longer one ends the reading with an error.
const maxLogLine = 1 << 20

// ReadLogs counts the requests that processes ended by themselves, the most frequent reason first.
func ReadLogs(r io.Reader) ([]Ended, error) {
	byReason := map[string]*Ended{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		match := logLine.FindStringSubmatch(lines.Text())
		if match == nil {
			continue
		}
		at, err := strconv.ParseFloat(match[1], 64)
		if err != nil {
			continue
		}
		reason := reasonOf(match[2], match[3])
		e := byReason[reason]
		if e == nil {
			e = &Ended{Reason: reason, First: at}
			byReason[reason] = e
		}
		e.Count++
		e.Last = at
	}
	all := make([]Ended, 0, len(byReason))
	for _, e := range byReason {
		all = append(all, *e)
	}
	slices.SortFunc(all, func(a, b Ended) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason))
	})
	return all, lines.Err()
}

// reasonOf returns the reason of a log line, built from its fields.
func reasonOf(event, fields string) string {
	var words []string
	for _, name := range []string{"method", "status", "verdict", "event", "reached_primary"} {
		if value := field(fields, name); value != "" {
			words = append(words, name+"="+value)
		}
	}
	if version := field(fields, "version"); version == "0" {
		words = append(words, "no configuration")
	}
	if _, err, found := strings.Cut(fields, " err="); found {
		words = append(words, varying.ReplaceAllString(strings.Trim(err, `"`), "#"))
	}
	return event + ": " + strings.Join(words, " ")
}

// field returns the value of a key=value pair, or an empty string.
func field(fields, name string) string {
	for _, pair := range strings.Fields(fields) {
		if value, found := strings.CutPrefix(pair, name+"="); found {
			return value
		}
	}
	return ""
}
