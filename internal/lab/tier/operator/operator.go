// Package operator is the lab's operator of a serving tier: it sends configurations and reads them back,
// as docs/control.md says. Packages tier, soak and hollow use it. An Operator is for one goroutine at a time.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strconv"
	"time"
)

const (
	callWait   = time.Second
	firstPause = 50 * time.Millisecond
	maxPause   = time.Second
	maxOther   = 3 // answers of another 4xx after which a call ends
	largest    = 16 << 20
)

// Operator calls the nodes that serve control.
type Operator struct {
	Controls func() []string // their addresses
	client   http.Client
	next     int // the node that is called next
}

// Refusal is an answer that ends a call.
type Refusal struct{ Status int }

// Error returns the status and the text of the refusal.
func (r Refusal) Error() string {
	return fmt.Sprintf("the answer is %d %s", r.Status, http.StatusText(r.Status))
}

// New makes an operator.
func New(controls func() []string) *Operator {
	o := &Operator{Controls: controls}
	o.client.Timeout = callWait
	o.client.Transport = &http.Transport{DisableKeepAlives: true}
	o.client.CheckRedirect = func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return errors.New("more than two redirections")
		}
		return nil
	}
	return o
}

// Put sends a configuration that builds on a version, unchanged again and again, until a node gives a
// clear answer or the context ends.
func (o *Operator) Put(ctx context.Context, base uint64, config []byte) error {
	_, err := o.call(ctx, http.MethodPut, "/config", config, "If-Match", strconv.FormatUint(base, 10))
	return err
}

// Config reads the newest configuration back.
func (o *Operator) Config(ctx context.Context) ([]byte, error) {
	return o.call(ctx, http.MethodGet, "/config", nil)
}

// PutCertificates sends a document of certificates that builds on a version. It reports whether the node says that all
// processes have it in force.
func (o *Operator) PutCertificates(ctx context.Context, base uint64, document []byte) (inForce bool, err error) {
	text, err := o.call(ctx, http.MethodPut, "/certificates", document, "If-Match", strconv.FormatUint(base, 10))
	if err != nil {
		return false, err
	}
	var said struct {
		InForce bool `json:"in_force"`
	}
	if err := json.Unmarshal(text, &said); err != nil {
		return false, fmt.Errorf("the answer to certificates: %w", err)
	}
	return said.InForce, nil
}

// Certificates reads the newest document of certificates back.
func (o *Operator) Certificates(ctx context.Context) ([]byte, error) {
	return o.call(ctx, http.MethodGet, "/certificates", nil)
}

// Retire asks for a storage machine to be emptied.
func (o *Operator) Retire(ctx context.Context, node string, over time.Duration) error {
	_, err := o.call(ctx, http.MethodPost, "/retire/"+node, fmt.Appendf(nil, `{"over_s":%g}`, over.Seconds()))
	return err
}

// Retired tells how far that is: in_progress or finished.
func (o *Operator) Retired(ctx context.Context, node string) (state string, err error) {
	text, err := o.call(ctx, http.MethodGet, "/retire/"+node, nil)
	if err != nil {
		return "", err
	}
	var said struct{ State string }
	if err := json.Unmarshal(text, &said); err != nil {
		return "", fmt.Errorf("the state of %s: %w", node, err)
	}
	return said.State, nil
}

// Same reports whether two configurations say the same.
func Same(a, b []byte) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}

// call repeats a call at the nodes in turn, with growing pauses, until one gives a clear answer or the context ends.
// An answer that ends it otherwise is a Refusal.
func (o *Operator) call(ctx context.Context, method, path string, body []byte, header ...string) ([]byte, error) {
	last := errors.New("no control address")
	others := 0
	for wait := firstPause; ; wait = min(2*wait, maxPause) {
		for range len(o.Controls()) {
			status, text, err := o.once(ctx, method, path, body, header)
			switch {
			case err != nil:
				last = err
			case status == http.StatusOK:
				return text, nil
			case status >= 500, status == http.StatusRequestTimeout, status == http.StatusTooManyRequests:
				last = Refusal{status}
			case status == 400, status == 409, status == 412, status == 413, status == 422:
				return nil, Refusal{status}
			default:
				last = Refusal{status}
				if others++; others >= maxOther {
					return nil, last
				}
			}
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return nil, fmt.Errorf("%s %s got no clear answer, the newest: %w", method, path, last)
		}
	}
}

// once makes one call at the next node.
func (o *Operator) once(ctx context.Context, method, path string, body []byte, header []string) (int, []byte, error) {
	addrs := o.Controls()
	o.next++
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addrs[o.next%len(addrs)]+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, largest))
	return resp.StatusCode, text, err
}
