package identity

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"dunetide/internal/control/operatorconfig"
)

// Fields of a configuration in these tests.
type (
	customer map[string]any
	aRoute   map[string]any
)

func config(t testing.TB, customers any, routes ...aRoute) *operatorconfig.Config {
	t.Helper()
	for i, r := range routes {
		r["name"], r["service"], r["tries"], r["timeout_ms"] = fmt.Sprint("r", i), "svc", 1, 1000
	}
	fields := map[string]any{"version": 1, "routes": routes, "services": []any{map[string]any{"name": "svc"}}}
	if customers != nil {
		fields["customers"] = customers
	}
	raw, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	c, err := operatorconfig.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func plainRoute(public bool) aRoute {
	return aRoute{"host": "h.example", "path_start": "/r/", "kind": "writes", "public": public}
}

// clubAndGym are two tenants; the second has a key with characters that other schemes use.
func clubAndGym() []customer {
	return []customer{{"name": "club", "api_keys": []string{"k-club", "k-old"}}, {"name": "gym", "api_keys": []string{"k=gym/+~"}}}
}

// readHeader returns the header of a request that was read from the wire, as a server has it.
func readHeader(t testing.TB, lines string) http.Header {
	t.Helper()
	text := "POST /r/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n"
	for line := range strings.SplitSeq(lines, "|") {
		if line != "" {
			text += line + "\r\n"
		}
	}
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text + "\r\n0\r\nAuthorization: Token k-club\r\nX-Dunetide-Tenant: gym\r\n\r\n")))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil { // reads the trailer too
		t.Fatal(err)
	}
	return r.Header
}

// A case that is decided differently in the code than in docs/tenants.md: a proper client is refused, or a key that no
// configuration holds runs.
func TestIdentify(t *testing.T) {
	for _, c := range []struct {
		name   string
		lines  string // of the header, separated by "|"; a trailer always has a key of club
		tenant string
		want   Outcome // on a route that is not public
	}{
		{"known key", "Authorization: Token k-club", "club", Identified},
		{"another key of the tenant", "Authorization: Token k-old", "club", Identified},
		{"key with punctuation", "Authorization: Token k=gym/+~", "gym", Identified},
		{"header name in lower case", "authorization: Token k-club", "club", Identified},
		{"header name in upper case", "AUTHORIZATION: Token k-club", "club", Identified},
		{"scheme in lower case", "Authorization: token k-club", "club", Identified},
		{"spaces around and within", "Authorization:   Token   k-club  ", "club", Identified},
		{"listed in the Connection header", "Connection: authorization|Authorization: Token k-club", "club", Identified},
		{"no key; a key in a trailer", "", "", MissingKey},
		{"a key in an announced trailer", "Trailer: Authorization", "", MissingKey},
		{"key in another header", "Proxy-Authorization: Token k-club", "", MissingKey},
		{"only the tenant's name", "X-Dunetide-Tenant: club", "", MissingKey},
		{"two headers, same key", "Authorization: Token k-club|Authorization: Token k-club", "", MalformedKey},
		{"two headers, two tenants", "Authorization: Token k-club|authorization: Token k=gym/+~", "", MalformedKey},
		{"empty header", "Authorization:", "", MalformedKey},
		{"scheme without key", "Authorization: Token", "", MalformedKey},
		{"scheme with spaces only", "Authorization: Token   ", "", MalformedKey},
		{"key without scheme", "Authorization: k-club", "", MalformedKey},
		{"another scheme", "Authorization: Bearer k-club", "", MalformedKey},
		{"scheme with a tab", "Authorization: Token\tk-club", "", MalformedKey},
		{"unknown key", "Authorization: Token k-nobody", "", UnknownKey},
		{"key in other case", "Authorization: Token K-CLUB", "", UnknownKey},
		{"beginning of a key", "Authorization: Token k-clu", "", UnknownKey},
		{"key and more", "Authorization: Token k-club x", "", UnknownKey},
		{"two keys in one header", "Authorization: Token k-club, Token k-old", "", UnknownKey},
		{"key of 16 KiB", "Authorization: Token " + strings.Repeat("k", 16<<10), "", UnknownKey},
		{"name of a tenant", "Authorization: Token club", "", UnknownKey},
	} {
		t.Run(c.name, func(t *testing.T) {
			header := readHeader(t, c.lines)
			got := OfRequest(restricted(t), &restricted(t).Routes[0], header)
			if got.Outcome != c.want || got.TenantName() != c.tenant {
				t.Errorf("%v for tenant %q, want %v for %q", got.Outcome, got.TenantName(), c.want, c.tenant)
			}
			if got.Refused() != (c.tenant == "") || !got.WithholdsKey() {
				t.Errorf("refused %v, withholds the key %v", got.Refused(), got.WithholdsKey())
			}
			public := OfRequest(restricted(t), &restricted(t).Routes[1], header)
			wantPublic, refused := Anonymous, false
			switch c.want {
			case Identified:
				wantPublic = Identified
			case UnknownKey: // a key that was taken away must not run anything, whatever the route
				wantPublic, refused = UnknownKey, true
			default:
			}
			if public.Outcome != wantPublic || public.TenantName() != c.tenant || public.Refused() != refused || !public.WithholdsKey() {
				t.Errorf("public: %v for tenant %q, want %v for %q", public.Outcome, public.TenantName(), wantPublic, c.tenant)
			}
			without := config(t, nil, plainRoute(false))
			if open := OfRequest(without, &without.Routes[0], header); open.Outcome != NotRequired || open.WithholdsKey() || open.Refused() {
				t.Errorf("without tenants: %+v", open)
			}
			nobody := config(t, []customer{}, plainRoute(false))
			if got := OfRequest(nobody, &nobody.Routes[0], header); !got.Refused() || !got.WithholdsKey() {
				t.Errorf("an empty list of tenants: %+v", got)
			}
		})
	}
}

// restricted has clubAndGym, a route that needs a key and a public one.
func restricted(t testing.TB) *operatorconfig.Config {
	t.Helper()
	public := plainRoute(true)
	public["path_start"] = "/p/"
	return config(t, clubAndGym(), plainRoute(false), public)
}

// A call about a job of a route that needs a key passes without one, as its own route is not known.
func TestJobCallsNeedAKeyUnlessAllBulkRoutesOfTheHostArePublic(t *testing.T) {
	bulk := func(host, prefix string, public bool) aRoute {
		return aRoute{"host": host, "path_start": prefix, "kind": "bulk", "public": public}
	}
	c := config(t, clubAndGym(),
		bulk("open.example", "/a/", true), bulk("open.example", "/b/", true),
		bulk("mixed.example", "/a/", true), bulk("mixed.example", "/b/", false),
		bulk("closed.example", "/a/", false),
		aRoute{"host": "none.example", "path_start": "/a/", "kind": "writes", "public": true})
	for host, public := range map[string]bool{
		"open.example": true, "OPEN.example:80": true, "mixed.example": false, "closed.example": false, "none.example": false, "other.example": false, "": false,
	} {
		want := MissingKey
		if public {
			want = Anonymous
		}
		if got := OfJobCall(c, host, http.Header{}); got.Outcome != want {
			t.Errorf("%q: %v without a key, want %v", host, got.Outcome, want)
		}
		header := http.Header{HeaderAuthorization: {"Token k-club"}}
		if got := OfJobCall(c, host, header); got.TenantName() != "club" || got.Outcome != Identified {
			t.Errorf("%q: %+v with a key", host, got)
		}
	}
	if got := OfJobCall(config(t, nil, bulk("a.example", "/a/", false)), "a.example", http.Header{}); got.Outcome != NotRequired {
		t.Errorf("without tenants: %v", got.Outcome)
	}
}

// A header that begins as a key of a tenant and goes on is taken for it.
func FuzzKey(f *testing.F) {
	c := restricted(f)
	f.Add("Token k-club")
	f.Add("token  k-old ")
	f.Add("Token k=gym/+~,")
	f.Fuzz(func(t *testing.T, value string) {
		got := OfRequest(c, &c.Routes[0], http.Header{HeaderAuthorization: {value}})
		fields := strings.Fields(value)
		known := len(fields) == 2 && strings.EqualFold(fields[0], scheme) && c.TenantOfKey(fields[1]) != nil
		if got.Outcome == Identified && (!known || got.Tenant != c.TenantOfKey(fields[1])) {
			t.Errorf("%q is a key of %s", value, got.TenantName())
		}
	})
}
