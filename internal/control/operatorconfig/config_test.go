package operatorconfig

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

const services = `[{"name":"a","health_path":"/health","max_conns":320,"protocol":"h1","tls":false},{"name":"b"}]`

// TestParse runs the files of testdata/configs. Three commands parse a configuration: whole takes all of it, with takes
// fields of the root object that are added to a minimal configuration or override its fields, and routes takes routes
// to the services a and b. The command match matches requests against the configuration parsed last.
func TestParse(t *testing.T) {
	datadriven.Walk(t, "testdata/configs", func(t *testing.T, path string) {
		t.Helper()
		var c *Config
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			t.Helper()
			raw := d.Input
			switch d.Cmd {
			case "whole":
			case "with":
				raw = `{"version":7,"routes":[],"services":` + services + `,` + d.Input + `}`
			case "routes":
				raw = `{"version":7,"services":` + services + `,"routes":[` + d.Input + `]}`
			case "match":
				return matchRequests(c, d.Input)
			default:
				d.Fatalf(t, "unknown command")
			}
			got, err := Parse([]byte(raw))
			if err != nil {
				if !Invalid.Has(err) || got != nil {
					t.Errorf("%v, %v", got, err)
				}
				return strings.TrimPrefix(err.Error(), "invalid configuration: ") + "\n"
			}
			if string(got.Raw) != raw {
				t.Errorf("raw is %q", got.Raw)
			}
			c = got
			return formatConfig(c)
		})
	})
}

// matchRequests returns the name of the route of each request. A request is a line with a host and a path.
func matchRequests(c *Config, requests string) string {
	var out strings.Builder
	for line := range strings.Lines(requests) {
		host, path, _ := strings.Cut(strings.TrimSpace(line), " ")
		if route := c.Match(host, path); route != nil {
			fmt.Fprintln(&out, route.Name)
		} else {
			fmt.Fprintln(&out, "none")
		}
	}
	return out.String()
}

// formatConfig returns a configuration as text: the routes in order, and the services sorted by name.
func formatConfig(c *Config) string {
	var out strings.Builder
	fmt.Fprintf(&out, "version %d, limits %+v\n", c.Version, c.Limits)
	for _, r := range c.Routes {
		fmt.Fprintf(&out, "%+v\n", r)
	}
	for _, tenant := range c.Tenants {
		fmt.Fprintf(&out, "%+v\n", tenant)
	}
	var names []string
	for name := range c.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		s := *c.Services[name]
		e := s.Engine
		s.Engine = nil
		fmt.Fprintf(&out, "%+v", s)
		if e != nil {
			fmt.Fprintf(&out, " %+v", *e)
		}
		out.WriteByte('\n')
	}
	return out.String()
}

// Guards against a key that is found under another customer, or without any.
func TestTenantOfKey(t *testing.T) {
	parse := func(customers string) *Config {
		c, err := Parse([]byte(`{"version":7,"routes":[],"services":` + services + customers + `}`))
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	c := parse(`,"customers":[{"name":"one","api_keys":["k1","k2"]},{"name":"two","api_keys":["k3"],"rate_per_s":1}]`)
	for key, want := range map[string]string{"k1": "one", "k2": "one", "k3": "two", "K1": "", "": "", "k": ""} {
		got := ""
		if tenant := c.TenantOfKey(key); tenant != nil {
			got = tenant.Name
		}
		if got != want {
			t.Errorf("key %q belongs to %q, want %q", key, got, want)
		}
	}
	if one, two := c.Tenant("one"), c.Tenant("two"); one.Limited() || !two.Limited() || c.Tenant("k1") != nil {
		t.Errorf("%+v, %+v, %+v", one, two, c.Tenant("k1"))
	}
	for customers, want := range map[string]bool{"": false, `,"customers":null`: false, `,"customers":[]`: true} {
		if c := parse(customers); c.HasTenants() != want || c.TenantOfKey("k1") != nil {
			t.Errorf("%q: %v", customers, c.HasTenants())
		}
	}
	var none *Config
	if none.HasTenants() || none.TenantOfKey("k1") != nil || none.Tenant("one") != nil {
		t.Error("no configuration has tenants")
	}
}

func TestMatchOfEmptyConfigIsNil(t *testing.T) {
	if r := new(Config).Match("h", "/"); r != nil {
		t.Error(r)
	}
}

func TestTruncatedConfigurationIsUnreadable(t *testing.T) {
	whole := `{"version":7,"services":` + services + `,"routes":[{"name":"r","host":"h","path_start":"/","kind":"writes","timeout_ms":1,"service":"a"}]}`
	if _, err := Parse([]byte(whole)); err != nil {
		t.Fatal(err)
	}
	for n := range len(whole) {
		if _, err := Parse([]byte(whole[:n])); !Unreadable.Has(err) {
			t.Errorf("truncated to %d bytes: %v", n, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"version":7,"services":` + services + `,"routes":[{"name":"r","host":"h:80","path_start":"/x/","kind":"bulk","shares":[{"service":"a","weight":9e1},{"service":"b","weight":0}],"max_wait_s":1.5}],"limits":{}}`))
	f.Add([]byte(`{"version":0,"services":[null],"routes":[3,{"service":{}}]} x`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, err := Parse(raw)
		if err != nil {
			if !Invalid.Has(err) || c != nil {
				t.Fatalf("%v, %v", c, err)
			}
			return
		}
		for i := range c.Routes {
			r := &c.Routes[i]
			sum := 0.0
			for _, s := range r.Shares {
				sum += s.Weight
				if c.Services[s.Service] == nil || s.Weight < 0 {
					t.Errorf("invalid share accepted: %+v", s)
				}
			}
			if sum <= 0 || r.TimeoutMs <= 0 || r.MaxAttempts < 1 || c.Version == 0 {
				t.Errorf("invalid route accepted: %+v", r)
			}
			if got := c.Match(r.Host, r.PathPrefix); got != r && !strings.ContainsRune(r.PathPrefix, '?') && normalizeHost(r.Host) == r.Host {
				t.Errorf("%+v matches %+v", r, got)
			}
		}
	})
}
