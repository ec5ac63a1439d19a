package tier

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dunetide/internal/control/certification"
	"dunetide/internal/lab/tier/operator"
)

// certificateKeeper is a control node. A document that is put is in force at all attached processes from the call informedAt on;
// the proxy of machine m2 is attached from attachedAt on.
type certificateKeeper struct {
	informedAt, attachedAt int64
	puts, reads            atomic.Int64
}

func (k *certificateKeeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/certificates" {
		_, _ = fmt.Fprintf(w, `{"version":1,"in_force":%v,"within_ms":2000}`, k.puts.Add(1) >= k.informedAt)
		return
	}
	proxy := func(machine string) string {
		return fmt.Sprintf(`{"node":%q,"role":"proxy","certificates_version":1}`, machine)
	}
	attached := []string{proxy("m1"), `{"node":"m2","role":"store","certificates_version":1}`}
	if k.reads.Add(1) >= k.attachedAt {
		attached = append(attached, proxy("m2"))
	}
	_, _ = fmt.Fprintf(w, `{"attached":[%s]}`, strings.Join(attached, ","))
}

func (k *certificateKeeper) operator(t *testing.T) *operator.Operator {
	t.Helper()
	server := httptest.NewServer(k)
	t.Cleanup(server.Close)
	return operator.New(func() []string { return []string{server.Listener.Addr().String()} })
}

// TestClientsStartOnceTheFirstCertificatesAreInForce: the start of a certification run waits until all processes regulate.
func TestClientsStartOnceTheFirstCertificatesAreInForce(t *testing.T) {
	for name, keeper := range map[string]*certificateKeeper{
		"at once":                    {informedAt: 1, attachedAt: 1},
		"a process was slow":         {informedAt: 3, attachedAt: 1},
		"a proxy was attached later": {informedAt: 2, attachedAt: 3},
	} {
		t.Run(name, func(t *testing.T) {
			n := &certificationRun{document: certification.Document{Version: 1}}
			if err := n.putEverywhere(t.Context(), keeper.operator(t), []string{"m1", "m2"}); err != nil {
				t.Fatal(err)
			}
			if puts, reads := keeper.puts.Load(), keeper.reads.Load(); puts < keeper.informedAt || reads < keeper.attachedAt {
				t.Errorf("it went on after %d calls and %d reads of the status, before %d and %d", puts, reads, keeper.informedAt, keeper.attachedAt)
			}
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	n := &certificationRun{document: certification.Document{Version: 1}}
	if err := n.putEverywhere(ctx, (&certificateKeeper{informedAt: 1 << 30}).operator(t), nil); err == nil {
		t.Error("it went on although the certificates were never in force everywhere")
	}
}
