package main

import "testing"

func TestHollowSizes(t *testing.T) {
	good := hollowCommand{Proxies: []int{50, 100}, Endpoints: []int{600}, Zones: 3, Keepers: 2, Stores: 3, Changes: 1, Tenants: 1, Models: 1}
	sizes, err := good.sizes()
	if err != nil || len(sizes) != 2 || sizes[1].Proxies != 100 || sizes[1].Endpoints != 600 {
		t.Errorf("%v, %v", sizes, err)
	}
	for name, spoil := range map[string]func(*hollowCommand){
		"endpoints of another length": func(c *hollowCommand) { c.Endpoints = []int{1, 2, 3} },
		"no proxies":                  func(c *hollowCommand) { c.Proxies[0] = 0 },
		"too many endpoints":          func(c *hollowCommand) { c.Endpoints[0] = 5000 },
		"no keeper":                   func(c *hollowCommand) { c.Keepers = 0 },
		"too many processes":          func(c *hollowCommand) { c.Stores = 100 },
		"no change":                   func(c *hollowCommand) { c.Changes = 0 },
	} {
		bad := good
		bad.Proxies, bad.Endpoints = []int{50, 100}, []int{600}
		spoil(&bad)
		if _, err := bad.sizes(); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
