package clientbody

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

func TestRead(t *testing.T) {
	whole := strings.Repeat("x", 3000)
	full := NewBudget(4000)
	full.reserve(2000)
	for name, c := range map[string]struct {
		body   io.Reader
		length int64 // the Content-Length; -1: none
		limits Limits
		status int
		read   string
	}{
		"complete":                         {strings.NewReader(whole), 3000, Limits{}, 0, whole},
		"complete, without Content-Length": {strings.NewReader(whole), -1, Limits{Budget: NewBudget(3000)}, 0, whole},
		"byte by byte":                     {iotest.OneByteReader(strings.NewReader(whole)), -1, Limits{}, 0, whole},
		"empty":                            {strings.NewReader(""), -1, Limits{}, 0, ""},
		"Content-Length too large":         {strings.NewReader(whole), 3000, Limits{MaxBytes: 2999}, http.StatusRequestEntityTooLarge, ""},
		"too long":                         {strings.NewReader(whole), -1, Limits{MaxBytes: 2999}, http.StatusRequestEntityTooLarge, ""},
		"incomplete":                       {io.MultiReader(strings.NewReader("half"), iotest.ErrReader(io.ErrUnexpectedEOF)), 3000, Limits{}, http.StatusBadRequest, ""},
		"too late":                         {io.MultiReader(strings.NewReader("half"), iotest.ErrReader(os.ErrDeadlineExceeded)), 3000, Limits{}, http.StatusRequestTimeout, ""},
		"exceeds the remaining budget":     {strings.NewReader(whole), 3000, Limits{Budget: full}, http.StatusServiceUnavailable, ""},
		"only the received bytes count":    {strings.NewReader("short"), 3000, Limits{Budget: full}, 0, "short"},
	} {
		t.Run(name, func(t *testing.T) {
			before := c.limits.Budget.Reserved()
			c.limits.Deadline = time.Now().Add(time.Minute)
			r := httptest.NewRequest(http.MethodPost, "/", c.body)
			r.ContentLength = c.length
			body := make([]byte, 0, 8)
			status := Read(http.NewResponseController(httptest.NewRecorder()), r, c.limits, &body)
			if status != c.status {
				t.Fatalf("the status is %d", status)
			}
			if string(body) != c.read {
				t.Fatalf("the body is %q", body)
			}
			if c.limits.Budget != nil && c.limits.Budget.Reserved() != before+int64(len(body)) {
				t.Fatalf("%d bytes are reserved, %d before, the body has %d", c.limits.Budget.Reserved(), before, len(body))
			}
			c.limits.Budget.Release(len(body))
		})
	}
}
