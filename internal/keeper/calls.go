package keeper

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dunetide/internal/agree"
	"dunetide/internal/certify"
	"dunetide/internal/control"
	"dunetide/internal/operator"
)

const (
	beatMost   = 64 << 10
	configMost = 8 << 20
	// proposeWait is below the second after which an operator goes on to another keeper.
	proposeWait = 900 * time.Millisecond
)

// Refusals that say nothing of what was asked: another keeper may answer.
var (
	errStops     = errors.New("this keeper stops: ask another one")
	errNoContact = errors.New("no contact with a majority: ask another keeper")
)

// retryAfter is how long a caller that gets 503 waits before it asks the same keeper again, in seconds.
const retryAfter = "1"

// call is a row of the table of all calls of endpoints and operators.
type call struct {
	method string
	path   string // one that ends with a slash takes a name behind it
	most   int64  // bytes of a body
	serve  func(k *Keeper, w http.ResponseWriter, name string, body []byte, r *http.Request)
}

var calls = []call{
	{http.MethodPut, "/instances/", beatMost, (*Keeper).beat},
	{http.MethodDelete, "/instances/", beatMost, (*Keeper).leave},
	{http.MethodPut, "/config", configMost, (*Keeper).putConfig},
	{http.MethodGet, "/config", 0, (*Keeper).getConfig},
	{http.MethodPut, certificatesPath, certify.DocumentMost, (*Keeper).putCertificates},
	{http.MethodGet, certificatesPath, 0, (*Keeper).getCertificates},
	{http.MethodPost, "/retire/", beatMost, (*Keeper).postRetire},
	{http.MethodGet, "/retire/", 0, (*Keeper).getRetire},
	{http.MethodGet, "/status", 0, (*Keeper).getStatus},
}

func (k *Keeper) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		found := false
		for _, c := range calls {
			name, under := "", r.URL.Path == c.path
			if strings.HasSuffix(c.path, "/") {
				name, under = strings.CutPrefix(r.URL.Path, c.path)
				under = under && name != "" && !strings.Contains(name, "/")
			}
			if !under {
				continue
			}
			found = true
			if c.method != r.Method {
				continue
			}
			body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, max(c.most, 1)))
			if err != nil {
				var long *http.MaxBytesError
				if errors.As(err, &long) {
					refuse(w, http.StatusRequestEntityTooLarge, "the body is over "+strconv.FormatInt(c.most, 10)+" bytes: send less")
					return
				}
				refuse(w, http.StatusBadRequest, "the body was cut: send it again whole")
				return
			}
			c.serve(k, w, name, body, r)
			return
		}
		if found {
			refuse(w, http.StatusMethodNotAllowed, "this path is called with another method")
			return
		}
		refuse(w, http.StatusNotFound, "no such call")
	})
}

func refuse(w http.ResponseWriter, code int, why string) {
	w.Header().Set("Content-Type", "application/json")
	if code == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(code)
	b, _ := json.Marshal(map[string]string{"error": why}) // strings always marshal
	_, _ = w.Write(b)
}

// putDocument makes a document the newest value of its register, and tells its slot. On an error it has answered.
func (k *Keeper) putDocument(w http.ResponseWriter, r *http.Request, of documentKind, body []byte, parse func([]byte) (uint64, error)) (uint64, bool) {
	base, err := strconv.ParseUint(strings.Trim(strings.TrimSpace(r.Header.Get("If-Match")), `"`), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "If-Match: must be the number of the version that this builds on, 0 for the first")
		return 0, false
	}
	version, err := parse(body)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return 0, false
	}
	done := make(chan error, 1)
	k.agree.propose(of.register, proposeWait, func(cur agree.State) (agree.State, error) {
		v, err := readDocument(cur.Value)
		if err != nil {
			return cur, err
		}
		next, err := v.put(body, version, base, of)
		if err != nil {
			return cur, err
		}
		if next == nil {
			return cur, agree.ErrUnchanged
		}
		cur.Value = next.encode()
		return cur, nil
	}, func(s agree.State, err error) {
		if err == agree.ErrUnchanged {
			err = nil
		}
		if err == nil {
			k.spread(of.register, s)
		}
		done <- err
	})
	select {
	case err = <-done:
	case <-k.ended:
		err = errStops
	}
	if err != nil {
		k.log.Info("document refused", "register", of.register, "version", version, "base", base, "err", err)
		refuse(w, statusOf(err), err.Error())
		return 0, false
	}
	return version, true
}

func (k *Keeper) putConfig(w http.ResponseWriter, _ string, body []byte, r *http.Request) {
	version, ok := k.putDocument(w, r, configDocument, body, func(b []byte) (uint64, error) {
		c, err := operator.Parse(b)
		if err != nil {
			return 0, err
		}
		return c.Version, nil
	})
	if !ok {
		return
	}
	wt := &waiter{config: version, done: make(chan struct{})}
	k.do(func() { k.wait(wt) })
	select {
	case <-wt.done:
	case <-k.ended: // it is decided all the same
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte("{}"))
}

// spread tells all other keepers of a decided state, also those who have no vote.
func (k *Keeper) spread(name string, s agree.State) {
	body := learnBody(name, s)
	for _, l := range k.links() {
		if l.conn != nil {
			_ = l.conn.Send(control.Learn, body)
		}
	}
}

// getDocument answers with the newest document of a register.
func (k *Keeper) getDocument(w http.ResponseWriter, register string, none int, why string) {
	type result struct {
		s   agree.State
		err error
	}
	done := make(chan result, 1)
	k.agree.read(register, proposeWait, func(s agree.State, err error) { done <- result{s, err} })
	var res result
	select {
	case res = <-done:
	case <-k.ended:
		res.err = errStops
	}
	v, err := readDocument(res.s.Value)
	if res.err != nil {
		err = res.err
	}
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	if v.version == 0 {
		refuse(w, none, why)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(v.raw)
}

func (k *Keeper) getConfig(w http.ResponseWriter, _ string, _ []byte, _ *http.Request) {
	k.getDocument(w, configRegister, http.StatusServiceUnavailable, "no configuration was taken yet: put one first")
}

func (k *Keeper) getStatus(w http.ResponseWriter, _ string, _ []byte, _ *http.Request) {
	b, ok := ask(k, k.statusJSON)
	if !ok {
		refuse(w, http.StatusServiceUnavailable, errStops.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}
