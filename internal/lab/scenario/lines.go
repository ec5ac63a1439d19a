package scenario

import (
	"fmt"
	"strings"
)

// lines maps keys to line numbers of a file. It recognizes table headers and keys at the start of a line, which is all that
// scenarios use.
type lines map[string]int

func newLines(text []byte) lines {
	at := lines{}
	table, seen := "", map[string]int{}
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "[["):
			name := strings.Trim(strings.SplitN(line, "]]", 2)[0], "[ ")
			table = fmt.Sprintf("%s[%d].", name, seen[name])
			seen[name]++
			at[strings.TrimSuffix(table, ".")] = i + 1
		case strings.HasPrefix(line, "["):
			table = strings.Trim(strings.SplitN(line, "]", 2)[0], "[ ") + "."
		default:
			if key, _, ok := strings.Cut(line, "="); ok && !strings.HasPrefix(line, "#") {
				at[table+strings.TrimSpace(key)] = i + 1
			}
		}
	}
	return at
}

// of returns a prefix for an error message: the line of the key, or else of its table, or "" if neither is known.
func (l lines) of(key string) string {
	for key != "" {
		if n := l[key]; n > 0 {
			return fmt.Sprintf("line %d: ", n)
		}
		cut := strings.LastIndex(key, ".")
		if cut < 0 {
			break
		}
		key = key[:cut]
	}
	return ""
}
