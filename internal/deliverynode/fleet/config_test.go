package fleet

import (
	"strings"
	"testing"
)

func TestParseReportsEachMistake(t *testing.T) {
	const two = `{"name":"a","address":"127.0.0.1:1","seed":true},{"name":"b","address":"127.0.0.2:1"}`
	for _, c := range []struct{ name, text, wants string }{
		{"good", `{"fleet":"f","nodes":[` + two + `]}`, ""},
		{"separate listen address", `{"fleet":"f","nodes":[` + two + `,{"name":"c","address":"127.0.0.3:1","listen":"127.0.0.4:1"}]}`, ""},
		{"no JSON", `fleet = "f"`, "invalid character"},
		{"unknown key", `{"fleet":"f","nodes":[` + two + `],"quorum":3}`, `unknown field "quorum"`},
		{"unknown key of a node", `{"fleet":"f","nodes":[{"name":"a","addr":"127.0.0.1:1"}]}`, `unknown field "addr"`},
		{"two values", `{"fleet":"f","nodes":[` + two + `]} {}`, "more than one value"},
		{"no fleet", `{"nodes":[` + two + `]}`, "invalid fleet name"},
		{"own name missing", `{"fleet":"f","nodes":[{"name":"b","address":"127.0.0.2:1","seed":true}]}`, `this node, "a", is not in it`},
		{"no seed", `{"fleet":"f","nodes":[{"name":"a","address":"127.0.0.1:1"}]}`, "no node is a seed"},
		{"two at one address", `{"fleet":"f","nodes":[` + two + `,{"name":"c","address":"127.0.0.2:1"}]}`, "b and c are both at 127.0.0.2:1"},
		{"one listens where another is", `{"fleet":"f","nodes":[` + two + `,{"name":"c","address":"127.0.0.3:1","listen":"127.0.0.2:1"}]}`, "b and c are both at"},
		{"two of one name", `{"fleet":"f","nodes":[` + two + `,{"name":"b","address":"127.0.0.3:1"}]}`, `two nodes are named "b"`},
		{"a name with a blank", `{"fleet":"f","nodes":[` + two + `,{"name":"c d","address":"127.0.0.3:1"}]}`, "invalid node name"},
		{"no port", `{"fleet":"f","nodes":[` + two + `,{"name":"c","address":"127.0.0.3"}]}`, "is not an IPv4 address with a port"},
		{"a host's name", `{"fleet":"f","nodes":[` + two + `,{"name":"c","address":"host:1"}]}`, "is not an IPv4 address with a port"},
		{"leases", `{"fleet":"f","nodes":[` + two + `],"leases":{"voters":["a"],"longest_s":3600,"most":10000}}`, ""},
		{"two voters", `{"fleet":"f","nodes":[` + two + `],"leases":{"voters":["a","b"]}}`, "2 voters: 1, 3 or 5"},
		{"a voter that is no node", `{"fleet":"f","nodes":[` + two + `],"leases":{"voters":["c"]}}`, `voter "c" is not a node of the fleet`},
		{"a lease too short", `{"fleet":"f","nodes":[` + two + `],"leases":{"voters":["a"],"longest_s":0.5}}`, "longest_s of 0.5"},
		{"a lease too long", `{"fleet":"f","nodes":[` + two + `],"leases":{"voters":["a"],"longest_s":3601}}`, "longest_s of 3601"},
		{"too many leases", `{"fleet":"f","nodes":[` + two + `],"leases":{"voters":["a"],"most":10001}}`, "most of 10001"},
		{"copies without leases", `{"fleet":"f","nodes":[` + two + `],"copies":{}}`, "copies need leases"},
		{"too long", `{"fleet":"` + strings.Repeat("f", maxFile) + `"}`, "longer than"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.text), "a")
			switch {
			case c.wants == "" && err != nil:
				t.Error(err)
			case c.wants != "" && (err == nil || !strings.Contains(err.Error(), c.wants) || strings.Contains(err.Error(), "\n")):
				t.Errorf("%v, wanted one line with %q", err, c.wants)
			}
		})
	}
}

func TestExampleFileInDocs(t *testing.T) {
	if _, err := ReadFile("../../../docs/example-fleet.json", "n0"); err != nil {
		t.Error(err)
	}
}
