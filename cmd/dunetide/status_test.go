package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestPrintView guards against operators who get a success, or no reason, for a page that a keeper refused.
func TestPrintView(t *testing.T) {
	keeper := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.RequestURI() {
		case "/tenants?name=a+b":
			_, _ = w.Write([]byte("{}\n"))
		case "/tenants?name=nobody":
			w.WriteHeader(http.StatusNotFound)
			_, _ = w.Write([]byte(`{"error":"configuration 3 has no tenant \"nobody\""}`))
		case "/status":
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer keeper.Close()
	control := keeper.Listener.Addr().String()
	for _, c := range []struct{ page, printed, failure string }{
		{"/tenants?name=a+b", "{}\n", ""},
		{"/tenants?name=nobody", "", `configuration 3 has no tenant "nobody"`},
		{"/status", "", "try another one"},
		{"/unknown", "", "answered: 404"},
	} {
		var out strings.Builder
		err := printView(control, c.page, &out)
		if out.String() != c.printed || (err != nil) != (c.failure != "") || err != nil && !strings.Contains(err.Error(), c.failure) {
			t.Errorf("%s: %q, %v; want %q, %q", c.page, out.String(), err, c.printed, c.failure)
		}
	}
}
