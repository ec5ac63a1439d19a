// Package operator is the lab's operator of a serving tier. It sends configurations and reads them back as docs/control.md
// describes. Packages tier, soak and hollow use it. An Operator is not safe for concurrent use.
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
	callTimeout   = time.Second
	firstPause    = 50 * time.Millisecond
	maxPause      = time.Second
	maxOther      = 3 // answers with an unexpected 4xx status after which a call fails
	maxAnswerSize = 16 << 20
)

// Operator calls the nodes that serve the control API.
type Operator struct {
	Controls func() []string // returns their addresses
	client   http.Client
	next     int // index of the node to call next
}

// Refusal is the error of a call that was answered with a status other than 200.
type Refusal struct{ Status int }

// Error returns the status and its text.
func (r Refusal) Error() string {
	return fmt.Sprintf("status %d %s", r.Status, http.StatusText(r.Status))
}

// New returns an operator that calls the addresses that controls returns.
func New(controls func() []string) *Operator {
	o := &Operator{Controls: controls}
	o.client.Timeout = callTimeout
	o.client.Transport = &http.Transport{DisableKeepAlives: true}
	o.client.CheckRedirect = func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return errors.New("more than two redirects")
		}
		return nil
	}
	return o
}

// Put sends a configuration that is based on a version. It retries with the same text until a node gives a conclusive answer
// or the context ends.
func (o *Operator) Put(ctx context.Context, base uint64, config []byte) error {
	_, err := o.call(ctx, http.MethodPut, "/config", config, "If-Match", strconv.FormatUint(base, 10))
	return err
}

// Config reads the newest configuration back.
func (o *Operator) Config(ctx context.Context) ([]byte, error) {
	return o.call(ctx, http.MethodGet, "/config", nil)
}

// PutCertificates sends a certificate document that is based on a version. It reports whether, according to the node, the
// document is in force at all processes.
func (o *Operator) PutCertificates(ctx context.Context, base uint64, document []byte) (inForce bool, err error) {
	text, err := o.call(ctx, http.MethodPut, "/certificates", document, "If-Match", strconv.FormatUint(base, 10))
	if err != nil {
		return false, err
	}
	var answer struct {
		InForce bool `json:"in_force"`
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return false, fmt.Errorf("decoding the answer to certificates: %w", err)
	}
	return answer.InForce, nil
}

// Certificates reads the newest certificate document back.
func (o *Operator) Certificates(ctx context.Context) ([]byte, error) {
	return o.call(ctx, http.MethodGet, "/certificates", nil)
}

// CertificatesAtProxies returns the newest version of the certificates that any node shows at the attached proxy of each machine.
// A node that does not answer shows none.
func (o *Operator) CertificatesAtProxies(ctx context.Context) (map[string]uint64, error) {
	versions := map[string]uint64{}
	for range o.Controls() {
		status, text, err := o.once(ctx, http.MethodGet, "/status", nil, nil)
		if err != nil || status != http.StatusOK {
			continue
		}
		var answer struct {
			Attached []struct {
				Node, Role string
				Version    uint64 `json:"certificates_version"`
			}
		}
		if err := json.Unmarshal(text, &answer); err != nil {
			return nil, fmt.Errorf("decoding the status of a node: %w", err)
		}
		for _, process := range answer.Attached {
			if process.Role == "proxy" {
				versions[process.Node] = max(versions[process.Node], process.Version)
			}
		}
	}
	return versions, nil
}

// Retire requests that a storage machine is emptied over the given time.
func (o *Operator) Retire(ctx context.Context, node string, over time.Duration) error {
	_, err := o.call(ctx, http.MethodPost, "/retire/"+node, fmt.Appendf(nil, `{"over_s":%g}`, over.Seconds()))
	return err
}

// Retired returns the state of emptying a storage machine: in_progress or finished.
func (o *Operator) Retired(ctx context.Context, node string) (state string, err error) {
	text, err := o.call(ctx, http.MethodGet, "/retire/"+node, nil)
	if err != nil {
		return "", err
	}
	var answer struct{ State string }
	if err := json.Unmarshal(text, &answer); err != nil {
		return "", fmt.Errorf("decoding the state of %s: %w", node, err)
	}
	return answer.State, nil
}

// Same reports whether two configurations are equal as JSON values.
func Same(a, b []byte) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}

// call tries the nodes in turn, with exponential backoff between rounds, until one gives a conclusive answer or the context
// ends. If that answer is not 200, the error is a Refusal.
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
			return nil, fmt.Errorf("%s %s got no conclusive answer, last error: %w", method, path, last)
		}
	}
}

// once makes one call to the next node.
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
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerSize))
	return resp.StatusCode, text, err
}
