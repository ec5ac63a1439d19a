package keeper

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"dunetide/internal/control/certification"
)

const (
	// maxSmallBody and maxConfigBody bound request bodies, in bytes.
	maxSmallBody  = 64 << 10
	maxConfigBody = 8 << 20
	// proposeTimeout bounds an operation on a register for a caller. It is below the 1 s after which an operator
	// retries at another keeper.
	proposeTimeout = 900 * time.Millisecond
	// retryAfter is the Retry-After value of 503 answers, in seconds. The call may be sent again unchanged.
	retryAfter = "0.2"
)

// Timeouts and limits of the HTTP server.
const (
	readHeaderTimeout = 3 * time.Second
	readTimeout       = 30 * time.Second
	writeTimeout      = time.Minute
	idleTimeout       = 30 * time.Second
	maxHeaderBytes    = 32 << 10
)

// Errors of this keeper that don't depend on the request: another keeper may be able to serve it.
var (
	errShuttingDown = errors.New("this keeper stops: ask another one")
	errNoContact    = errors.New("no contact with a majority: ask another keeper")
	// errNotAtMajority refuses a change that was applied here and sent to the connected keepers, so a repeat is
	// harmless.
	errNotAtMajority = errors.New(
		"a majority has not confirmed in time that the endpoint ends: send it again, or to another keeper")
	errListFull = errors.New("the list of endpoints is full: remove some")
)

// route is an entry in the table of all HTTP calls.
type route struct {
	method  string
	path    string // a path that ends with a slash is followed by a name
	maxBody int64  // in bytes
	serve   func(k *Keeper, w http.ResponseWriter, name string, body []byte, r *http.Request)
}

// routes lists the calls of endpoints, at /instances/, and of operators.
var routes = []route{
	{http.MethodPut, "/instances/", maxSmallBody, (*Keeper).putInstance},
	{http.MethodDelete, "/instances/", maxSmallBody, (*Keeper).deleteInstance},
	{http.MethodPut, "/config", maxConfigBody, (*Keeper).putConfig},
	{http.MethodGet, "/config", 0, (*Keeper).getConfig},
	{http.MethodPut, certificatesPath, certification.MaxDocumentBytes, (*Keeper).putCertificates},
	{http.MethodGet, certificatesPath, 0, (*Keeper).getCertificates},
	{http.MethodPost, "/retire/", maxSmallBody, (*Keeper).postRetire},
	{http.MethodGet, "/retire/", 0, (*Keeper).getRetire},
	{http.MethodGet, "/status", 0, (*Keeper).getStatus},
	{http.MethodGet, "/tenants", 0, (*Keeper).getTenants},
}

func (k *Keeper) newHTTPServer() *http.Server {
	return &http.Server{
		Handler:           k.httpHandler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// httpHandler serves the routes. http.ServeMux isn't used, as it redirects and cleans paths, and answers errors as
// text.
func (k *Keeper) httpHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began, pathFound := time.Now(), false
		for _, route := range routes {
			name, matches := route.match(r.URL.Path)
			if matches && route.method == r.Method {
				k.serveRoute(w, r, route, name, began)
				return
			}
			pathFound = pathFound || matches
		}
		if pathFound {
			refuse(w, http.StatusMethodNotAllowed, "this path is called with another method")
			return
		}
		refuse(w, http.StatusNotFound, "no such call")
	})
}

// match reports whether a path is the route's, and returns the name at its end.
func (route route) match(path string) (name string, ok bool) {
	if !strings.HasSuffix(route.path, "/") {
		return "", path == route.path
	}
	name, ok = strings.CutPrefix(path, route.path)
	return name, ok && name != "" && !strings.Contains(name, "/")
}

// serveRoute reads the body of a call and serves it.
func (k *Keeper) serveRoute(w http.ResponseWriter, r *http.Request, route route, name string, began time.Time) {
	body, release, status := k.readBody(w, r, route)
	if status != 0 {
		refuseBody(w, r, route, status)
		return
	}
	defer release()
	recorder := &statusWriter{w, http.StatusOK}
	route.serve(k, recorder, name, body, r)
	k.recordAnswer(route, name, recorder.status, began)
}

// answerJSON answers a successful call.
func answerJSON(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // fails only if the caller has gone
}

// refuse answers a call that failed. 503 means that this keeper can't decide the request at present, not that the
// request is rejected.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(status)
	b, _ := json.Marshal(map[string]string{"error": reason}) // strings always marshal
	_, _ = w.Write(b)                                        // fails only if the caller has gone
}

// getStatus answers GET /status.
func (k *Keeper) getStatus(w http.ResponseWriter, _ string, _ []byte, _ *http.Request) {
	b, ok := query(k, k.statusJSON)
	if !ok {
		refuse(w, http.StatusServiceUnavailable, errShuttingDown.Error())
		return
	}
	answerJSON(w, b)
}
