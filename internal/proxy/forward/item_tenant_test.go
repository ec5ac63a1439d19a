package forward

import (
	"slices"
	"testing"

	"dunetide/internal/control/operatorconfig"
)

// TestItemKeepsItsTenant guards against an item that reaches an endpoint without the tenant that is stored with it, also
// where the headers that its client chose name that header as one of the connection.
func TestItemKeepsItsTenant(t *testing.T) {
	for name, own := range map[string]string{"plain": "", "listed as hop-by-hop": "X-Dunetide-Tenant"} {
		t.Run(name, func(t *testing.T) {
			endpoint := newEndpoint(t, "e1", answers(sealed, "fine"))
			g := newRig(t, route(operatorconfig.Bulk, 2), endpoint)
			it := item(&g.config.Routes[0])
			it.Header["X-Dunetide-Tenant"] = "rizzo"
			if own != "" {
				it.Header["Connection"] = own
			}
			if res := g.p.RunItem(t.Context(), it, "", func(string, []byte) {}); res.State != ItemDone {
				t.Fatalf("%+v", res)
			}
			header := endpoint.got()[0].Header
			if got := header.Values("X-Dunetide-Tenant"); !slices.Equal(got, []string{"rizzo"}) {
				t.Errorf("the endpoint got tenants %q", got)
			}
		})
	}
}
