package settings

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"

	"github.com/magiconair/properties"
)

// reader reads values by key and collects the problems with them.
type reader struct {
	values   *properties.Properties
	name     string // of the file
	lines    map[string]int
	problems []error
}

// lineNumbers returns the line number of each key; for a repeated key, that of the last line.
func lineNumbers(text []byte) map[string]int {
	numbers := map[string]int{}
	number := 0
	for line := range strings.Lines(string(text)) {
		number++
		line = strings.TrimSpace(line)
		if end := strings.IndexAny(line, "=: \t\f"); end >= 0 {
			line = line[:end]
		}
		numbers[line] = number
	}
	return numbers
}

// missing reports that a key is absent or has no value.
func (r *reader) missing(key, what string) {
	if line := r.lines[key]; line > 0 {
		r.problems = append(r.problems, fmt.Errorf("%s, line %d: %s is empty; write %s behind it", r.name, line, key, what))
		return
	}
	r.problems = append(r.problems, fmt.Errorf("%s: %s is missing; add a line %s= with %s", r.name, key, key, what))
}

// invalid reports that a key has an invalid value.
func (r *reader) invalid(key, right string) {
	r.problems = append(r.problems,
		fmt.Errorf("%s, line %d: %s=%s; write %s", r.name, r.lines[key], key, r.text(key), right))
}

// text returns a value without surrounding space; the default is empty.
func (r *reader) text(key string) string { return strings.TrimSpace(r.values.GetString(key, "")) }

// required returns a value that must not be empty.
func (r *reader) required(key, what string) string {
	value := r.text(key)
	if value == "" {
		r.missing(key, what)
	}
	return value
}

// list returns a comma-separated list without its empty elements.
func (r *reader) list(key string) (values []string) {
	for value := range strings.SplitSeq(r.text(key), ",") {
		if value = strings.TrimSpace(value); value != "" {
			values = append(values, value)
		}
	}
	return values
}

// flag returns a boolean; the default is false.
func (r *reader) flag(key string) bool {
	value := r.text(key)
	if value != "" && value != "true" && value != "false" {
		r.invalid(key, "true or false")
	}
	return value == "true"
}

// address returns an ip:port; the default is empty.
func (r *reader) address(key string) string {
	value := r.text(key)
	if _, err := netip.ParseAddrPort(value); value != "" && err != nil {
		r.invalid(key, "an address with a port, such as 10.0.0.7:8001")
	}
	return value
}

// ports returns the first and the last port of a required range.
func (r *reader) ports(key string) (first, last int) {
	const right = "the first and the last port, such as 7000,7015"
	values := r.list(key)
	if len(values) == 0 {
		r.missing(key, right)
		return 0, 0
	}
	first = parsePort(values[0])
	if len(values) == 2 {
		last = parsePort(values[1])
	}
	if first < 1 || last < first {
		r.invalid(key, right)
	}
	return first, last
}

// parsePort returns 0 if text is not a number, and the highest port if the number is too large.
func parsePort(text string) int {
	port, _ := strconv.ParseUint(text, 10, 16) // on an error ParseUint returns just that
	return int(port)
}

// number returns a number between least and math.MaxInt32.
func (r *reader) number(key string, least, defaultValue float64) float64 {
	text := r.text(key)
	if text == "" {
		return defaultValue
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || value < least || value > math.MaxInt32 {
		r.invalid(key, fmt.Sprintf("a number from %v to %d", least, math.MaxInt32))
		return defaultValue
	}
	return value
}

// positive is number for values that must be above 0.
func (r *reader) positive(key string, defaultValue float64) float64 {
	value := r.number(key, 0, defaultValue)
	if value == 0 {
		r.invalid(key, "a number above 0")
	}
	return value
}

// count is number for integers; fractions are rounded down.
func (r *reader) count(key string, least, defaultValue int) int {
	return int(r.number(key, float64(least), float64(defaultValue)))
}
