package operator

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func node(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func of(addrs ...string) func() []string { return func() []string { return addrs } }

func TestCallRetriesAfterFailuresAndFollowsRedirects(t *testing.T) {
	const config = `{"version":7}`
	owner := node(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.Method != http.MethodPut || r.Header.Get("If-Match") != "5" || string(body) != config {
			t.Errorf("%s, If-Match %q, %q", r.Method, r.Header.Get("If-Match"), body)
		}
	})
	other := node(t, func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "http://"+owner+r.URL.Path, http.StatusTemporaryRedirect)
	})
	broken := node(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	if err := New(of(other, broken, "127.0.0.1:1")).Put(t.Context(), 5, []byte(config)); err != nil {
		t.Error(err)
	}
}

func TestConclusiveAnswersEndACall(t *testing.T) {
	for _, c := range []struct{ status, calls int }{{400, 1}, {412, 1}, {404, 3}} {
		calls := 0
		addr := node(t, func(w http.ResponseWriter, _ *http.Request) { calls++; w.WriteHeader(c.status) })
		err := New(of(addr)).Put(t.Context(), 0, []byte("{}"))
		if want := (Refusal{c.status}); !errors.Is(err, want) || calls != c.calls {
			t.Errorf("%v after %d calls, want %v after %d", err, calls, want, c.calls)
		}
	}
}

func TestACallEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := New(of("127.0.0.1:1")).Config(ctx); err == nil {
		t.Error("no error")
	}
}

func TestSame(t *testing.T) {
	if !Same([]byte(`{"a":1,"b":[2]}`), []byte(`{ "b":[2], "a":1 }`)) || Same([]byte(`{"a":1}`), []byte(`{"a":2}`)) || Same(nil, nil) {
		t.Error("wrong result of comparing configurations")
	}
}
