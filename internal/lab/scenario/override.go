package scenario

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Override parses the text of a scenario with some settings replaced. Keys are those of the file, with dots (load.level); a single
// number sets both ends of a range.
func Override(text []byte, settings map[string]string) (Scenario, error) {
	if len(settings) == 0 {
		return Parse(text)
	}
	if _, err := Parse(text); err != nil { // for errors with the line numbers of the file
		return Scenario{}, err
	}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return Scenario{}, err
	}
	keys := make([]string, 0, len(settings))
	for k := range settings {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, key := range keys {
		value, err := parseValue(settings[key])
		if err != nil {
			return Scenario{}, fmt.Errorf("%s=%s: %w", key, settings[key], err)
		}
		parts := strings.Split(key, ".")
		at := tree
		for _, p := range parts[:len(parts)-1] {
			next, ok := at[p].(map[string]any)
			if !ok {
				if at[p] != nil {
					return Scenario{}, fmt.Errorf("%s: %s is not a table", key, p)
				}
				next = map[string]any{}
				at[p] = next
			}
			at = next
		}
		last := parts[len(parts)-1]
		if number, plain := value.(float64); plain && isRange(key) {
			value = []float64{number, number}
		} else if plain && number == float64(int64(number)) {
			value = int64(number)
		}
		at[last] = value
	}
	var out bytes.Buffer
	if err := toml.NewEncoder(&out).Encode(tree); err != nil {
		return Scenario{}, err
	}
	s, err := Parse(out.Bytes())
	if err != nil {
		return Scenario{}, fmt.Errorf("with %v: %w", settings, err)
	}
	return s, nil
}

// isRange reports whether the value of a key is a range, judging by the value in Default.
func isRange(key string) bool {
	text, err := toml.Marshal(Default())
	if err != nil {
		return false
	}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return false
	}
	var at any = tree
	for _, p := range strings.Split(key, ".") {
		table, ok := at.(map[string]any)
		if !ok {
			return false
		}
		at = table[p]
	}
	_, list := at.([]any)
	return list
}

func parseValue(text string) (any, error) {
	if n, err := strconv.ParseFloat(text, 64); err == nil {
		return n, nil
	}
	var v struct{ X any }
	if err := toml.Unmarshal([]byte("X = "+text), &v); err != nil {
		return nil, err
	}
	return v.X, nil
}
