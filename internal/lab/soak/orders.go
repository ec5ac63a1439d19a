package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dunetide/internal/lab/tier/cluster"
	"dunetide/internal/lab/tier/operator"
	"dunetide/internal/lab/wait"
	"dunetide/internal/lab/world"
)

const (
	orderEvery  = 400 * time.Millisecond
	orderWait   = 5 * time.Second
	readEvery   = 120 * time.Millisecond
	readWait    = 2 * time.Second
	ackedWait   = 4 * time.Second
	raceVersion = 2 // racing operators alternate between using the same version and different ones
)

// document is a configuration that an operator sent.
type document struct {
	version uint64
	text    []byte
}

// orders records the configurations that operators sent, the answers that they got, and the configurations that readers
// observed. It checks that at most one configuration based on a given version is acknowledged, and that no read returns a
// version older than one that was acknowledged or read before.
type orders struct {
	mu         sync.Mutex
	current    document            // the newest version that was acknowledged or read
	successors map[uint64]uint64   // by base version: the version acknowledged on top of it
	sent       map[uint64][][]byte // by version: all texts sent under it
	racing     time.Time           // two operators race until then
	acked      int
	violations []string
	tenancy    *tenancy // nil without tenants
	seed       uint64   // that changes of tenants are drawn from
	reads      int
	refused    int
}

// start records the first configuration before it is sent.
func (o *orders) start(text []byte) error {
	o.current = document{version: 3, text: text}
	o.successors = map[uint64]uint64{0: 3}
	o.sent = map[uint64][][]byte{3: {text}}
	return o.tenancy.send(o.current)
}

// newest returns the newest configuration that was acknowledged or read.
func (o *orders) newest() document {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.current
}

// race makes two operators send configurations concurrently for the given time.
func (o *orders) race(length time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.racing = time.Now().Add(length)
}

// isRacing reports whether two operators currently send configurations concurrently.
func (o *orders) isRacing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Now().Before(o.racing)
}

// violated records a violation of the rules of configurations.
func (o *orders) violated(form string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(form, args...))
}

// successor creates a configuration based on a document. The rival's number makes the texts of two rivals differ even if
// both use the same version.
func (o *orders) successor(base document, rival int) (document, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(base.text, &fields); err != nil {
		return document{}, err
	}
	version := base.version + 1
	if rival > 0 {
		version += (base.version % raceVersion) * uint64(rival)
	}
	fields["version"] = fmt.Append(nil, version)
	const limits = `{"max_header_bytes":16384,"max_body_bytes":4194304,"header_wait_ms":%d,"idle_ms":15000}`
	fields["limits"] = fmt.Appendf(nil, limits, 3000+2*int(version%500)+rival)
	text, err := json.Marshal(fields)
	if err == nil && o.tenancy != nil {
		text, err = o.changeTenants(text, version, rival)
	}
	if err != nil {
		return document{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent[version] = append(o.sent[version], text)
	created := document{version, text}
	return created, o.tenancy.send(created)
}

// changeTenants returns a configuration with its tenants' keys and limits changed at random.
func (o *orders) changeTenants(text []byte, version uint64, rival int) ([]byte, error) {
	customers, err := customersOf(text)
	if err != nil {
		return nil, err
	}
	changeCustomers(customers, world.Random(o.seed, "soak tenants", version, uint64(rival)))
	return withCustomers(text, customers)
}

// acknowledged records the acknowledgement of a configuration. Two different ones with the same base version are a
// violation.
func (o *orders) acknowledged(base uint64, d document) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acked++
	if other, there := o.successors[base]; there && other != d.version {
		o.violations = append(o.violations,
			fmt.Sprintf("versions %d and %d are both acknowledged with base version %d", other, d.version, base))
	}
	o.successors[base] = d.version
	o.tenancy.acknowledge(d)
	if d.version > o.current.version {
		o.current = d
	}
}

// putConfigs sends configurations as one operator, and as a second one concurrently during a race.
func (p *soakRun) putConfigs(ctx context.Context) {
	first, second := operator.New(p.cluster.Controls), operator.New(p.cluster.Controls)
	for wait.For(ctx, orderEvery) {
		base := p.orders.newest()
		rivals := []*operator.Operator{first}
		if p.orders.isRacing() {
			rivals = append(rivals, second)
		}
		var sending sync.WaitGroup
		results := make([]error, len(rivals))
		for i, rival := range rivals {
			order, err := p.orders.successor(base, i)
			if err != nil {
				p.orders.violated("cannot create a configuration: %v", err)
				return
			}
			sending.Go(func() {
				results[i] = wait.Within(ctx, orderWait, func(ctx context.Context) error {
					return rival.Put(ctx, base.version, order.text)
				})
				if results[i] == nil {
					p.orders.acknowledged(base.version, order)
				}
			})
		}
		sending.Wait()
		p.orders.resolve(ctx, first, results)
	}
}

// resolve reads which configuration is in force after one got no conclusive answer or a version conflict.
func (o *orders) resolve(ctx context.Context, operator *operator.Operator, results []error) {
	for _, err := range results {
		if err == nil {
			continue
		}
		var text []byte
		err := wait.Within(ctx, orderWait, func(ctx context.Context) (err error) {
			text, err = operator.Config(ctx)
			return err
		})
		if err != nil {
			return // the next configuration is based on the newest known one
		}
		if d, err := o.identify(text); err == nil {
			o.mu.Lock()
			if d.version > o.current.version {
				o.current = d
			}
			o.mu.Unlock()
		}
		return
	}
}

// identify returns the sent document that a configuration equals. A configuration that was never sent is a violation.
func (o *orders) identify(text []byte) (document, error) {
	var head struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(text, &head); err != nil {
		return document{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, sent := range o.sent[head.Version] {
		if operator.Same(sent, text) {
			return document{head.Version, sent}, nil
		}
	}
	o.violations = append(o.violations, fmt.Sprintf("version %d was read with a text that no operator sent", head.Version))
	return document{}, errors.New("no operator sent it")
}

// readConfig reads the configuration at one keeper repeatedly. No answer may be older than a version that was acknowledged
// to any operator, or returned to any reader, before the read was sent.
func (p *soakRun) readConfig(ctx context.Context, keeper *cluster.Process) {
	client := &http.Client{Timeout: readWait, Transport: &http.Transport{DisableKeepAlives: true}}
	for wait.For(ctx, readEvery) {
		floor := p.orders.newest().version
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+keeper.ReachedControl()+"/config", nil)
		if err != nil {
			return
		}
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			continue
		}
		p.orders.checkRead(keeper, floor, resp.StatusCode, text)
	}
}

// checkRead checks the answer to a read; floor is the newest version known before the read was sent.
func (o *orders) checkRead(keeper *cluster.Process, floor uint64, status int, text []byte) {
	if status != http.StatusOK {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.refused++
		if status < http.StatusInternalServerError {
			o.violations = append(o.violations, fmt.Sprintf("a read at %v is answered with status %s", keeper, strconv.Itoa(status)))
		}
		return
	}
	d, err := o.identify(text)
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reads++
	if d.version < floor {
		o.violations = append(o.violations, fmt.Sprintf(
			"%v answers version %d to a read that was sent after %d was acknowledged or read", keeper, d.version, floor))
	}
	if d.version > o.current.version {
		o.current = d
	}
}

// awaitAcknowledged waits until one more configuration is acknowledged, for at most ackedWait.
func (o *orders) awaitAcknowledged(ctx context.Context) {
	count := func() int {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.acked
	}
	before := count()
	until := time.Now().Add(ackedWait)
	for count() == before && time.Now().Before(until) && wait.For(ctx, time.Millisecond) {
		continue
	}
}
