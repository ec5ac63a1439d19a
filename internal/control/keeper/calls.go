package keeper

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dunetide/internal/control/certification"
)

const (
	bodyMost   = 64 << 10
	configMost = 8 << 20
	// largeBytes is above what orders have day by day. Reading and parsing one takes several times its bytes, so that no more
	// than largeMost are in hand at once: eight orders of 8 MB would take a keeper over the memory of its machine.
	largeBytes = 1 << 20
	largeMost  = 2
	// proposeWait is below the second after which an operator goes on to another keeper.
	proposeWait = 900 * time.Millisecond
)

// Refusals that say nothing of what was asked: another keeper may answer.
var (
	errStops     = errors.New("this keeper stops: ask another one")
	errNoContact = errors.New("no contact with a majority: ask another keeper")
	// errNotAtMajority is for what was done here, and told to whom it reached: a repeat does no harm.
	errNotAtMajority = errors.New("a majority has not confirmed in time that the endpoint ends: send it again, or to another keeper")
)

// retryAfter is in how many seconds a call that got 503 may be sent again as it is.
const retryAfter = "0.2"

// call is a row of the table of all calls of endpoints and operators.
type call struct {
	method string
	path   string // one that ends with a slash takes a name behind it
	most   int64  // bytes of a body
	serve  func(k *Keeper, w http.ResponseWriter, name string, body []byte, r *http.Request)
}

var calls = []call{
	{http.MethodPut, "/instances/", bodyMost, (*Keeper).heartbeat},
	{http.MethodDelete, "/instances/", bodyMost, (*Keeper).leave},
	{http.MethodPut, "/config", configMost, (*Keeper).putConfig},
	{http.MethodGet, "/config", 0, (*Keeper).getConfig},
	{http.MethodPut, certificatesPath, certification.DocumentMost, (*Keeper).putCertificates},
	{http.MethodGet, certificatesPath, 0, (*Keeper).getCertificates},
	{http.MethodPost, "/retire/", bodyMost, (*Keeper).postRetire},
	{http.MethodGet, "/retire/", 0, (*Keeper).getRetire},
	{http.MethodGet, "/status", 0, (*Keeper).getStatus},
}

func (k *Keeper) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		found, began := false, time.Now()
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
			release, ok := k.admit(c, r)
			if !ok {
				_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, c.most)) // else the answer may be lost with the connection
				refuse(w, http.StatusServiceUnavailable, "too many large bodies are in hand: send it again, or to another keeper")
				return
			}
			defer release()
			body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, max(c.most, 1)))
			if err != nil {
				var long *http.MaxBytesError
				if errors.As(err, &long) {
					refuse(w, http.StatusRequestEntityTooLarge, "the body is over "+strconv.FormatInt(c.most, 10)+" bytes: send less")
					return
				}
				// What came is no order, so it says nothing about the whole one, which may have been taken before.
				refuse(w, http.StatusRequestTimeout, "the body was cut: send it again whole")
				return
			}
			counted := &statusWriter{w, http.StatusOK}
			c.serve(k, counted, name, body, r)
			k.answered(c, name, counted, began)
			return
		}
		if found {
			refuse(w, http.StatusMethodNotAllowed, "this path is called with another method")
			return
		}
		refuse(w, http.StatusNotFound, "no such call")
	})
}

// admit waits until a call's body may be read; not ok: others were in hand for too long. A body of unknown length counts as large
// where it may be.
func (k *Keeper) admit(c call, r *http.Request) (release func(), ok bool) {
	if c.most <= largeBytes || r.ContentLength >= 0 && r.ContentLength <= largeBytes {
		return func() {}, true
	}
	timeout := time.NewTimer(proposeWait)
	defer timeout.Stop()
	select {
	case k.largeBodies <- struct{}{}:
		return func() { <-k.largeBodies }, true
	case <-timeout.C:
	case <-r.Context().Done():
	case <-k.ended:
	}
	return nil, false
}

// refuse answers a call that did not succeed. 503 says that nothing is known, here and now, of what was asked.
func refuse(w http.ResponseWriter, code int, why string) {
	w.Header().Set("Content-Type", "application/json")
	if code == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(code)
	b, _ := json.Marshal(map[string]string{"error": why}) // strings always marshal
	_, _ = w.Write(b)
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
