// Package tiertest has a trivial tier for the lab's own tests: one handler that forwards requests and runs batch jobs in
// memory, correctly or with faults that a test selects.
package tiertest

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"dunetide/internal/lab/tier/engine"
)

// Result is the result of an item.
type Result struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	Message string `json:"message"`
}

// Proxy forwards each request to one endpoint. Paths under /bulk/ submit jobs.
type Proxy struct {
	Endpoint func(path string) (addr string) // returns the endpoint for a path, or "" if none is known

	// The following fields inject faults.
	Repeat  bool                                            // sends each request twice
	Invent  bool                                            // sends an additional request that no client sent after each one
	Change  func(body []byte) []byte                        // changes the body of a request
	Rewrite func(status int, body []byte) (int, []byte)     // changes an answer
	Results func(listed []Result) []Result                  // changes the results of a read
	Refuse  func(r *http.Request) (status int, wait string) // refuses a request before it is forwarded; status 0 means no

	once   sync.Once
	client http.Client
	mu     sync.Mutex
	jobs   map[string]*job
}

type job struct {
	items  map[string][]byte
	listed []Result
	ended  bool
}

type item struct {
	ID      string
	Path    string
	Headers map[string]string
	Body    []byte
}

// send forwards a request with a body to the endpoint of its path.
func (p *Proxy) send(r *http.Request, body []byte) (*http.Response, error) {
	url := "http://" + p.Endpoint(r.URL.Path) + r.URL.RequestURI()
	out, err := http.NewRequestWithContext(r.Context(), r.Method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	out.GetBody = nil // prevents the transport from sending the request again
	out.Header = r.Header.Clone()
	return p.client.Do(out)
}

// drain forwards a request and discards its answer.
func (p *Proxy) drain(r *http.Request, body []byte) {
	if resp, err := p.send(r, body); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// ServeHTTP serves clients.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.once.Do(func() {
		p.client.Transport = &http.Transport{DisableCompression: true}
		p.jobs = map[string]*job{}
	})
	if p.Refuse != nil {
		if status, wait := p.Refuse(r); status != 0 {
			w.Header().Set("Retry-After", wait)
			w.WriteHeader(status)
			return
		}
	}
	body, err := io.ReadAll(r.Body)
	switch {
	case err != nil:
		panic(http.ErrAbortHandler)
	case strings.HasPrefix(r.URL.Path, "/lots/"), strings.HasPrefix(r.URL.Path, "/items/"):
		p.read(w, r)
		return
	case strings.HasPrefix(r.URL.Path, "/bulk/"):
		p.submit(w, r, body)
		return
	case p.Endpoint(r.URL.Path) == "":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if p.Change != nil {
		body = p.Change(body)
	}
	if p.Repeat {
		p.drain(r, body)
	}
	resp, err := p.send(r, body)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	if p.Invent {
		other := r.Clone(r.Context())
		other.Header.Set(engine.HeaderRequest, "invented-"+r.Header.Get(engine.HeaderRequest))
		p.drain(other, body)
	}
	p.answer(w, resp)
}

// answer forwards an answer as it arrives, or as changed by Rewrite.
func (p *Proxy) answer(w http.ResponseWriter, resp *http.Response) {
	for k, v := range resp.Header {
		w.Header()[k] = v
	}
	if p.Rewrite != nil {
		got, _ := io.ReadAll(resp.Body)
		status, got := p.Rewrite(resp.StatusCode, got)
		w.Header().Del("Content-Length")
		w.WriteHeader(status)
		_, _ = w.Write(got)
		return
	}
	w.WriteHeader(resp.StatusCode)
	flush := http.NewResponseController(w)
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		_, _ = w.Write(buf[:n])
		_ = flush.Flush()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// submit accepts a job and runs it. A job that was submitted before is only acknowledged again.
func (p *Proxy) submit(w http.ResponseWriter, r *http.Request, body []byte) {
	var submitted struct{ Requests []item }
	if err := json.Unmarshal(body, &submitted); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id := r.Header.Get(engine.HeaderRequest)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.jobs[id] == nil {
		l := &job{items: map[string][]byte{}}
		for _, it := range submitted.Requests {
			l.items[it.ID] = it.Body
		}
		p.jobs[id] = l
		go p.run(l, submitted.Requests)
	}
	w.WriteHeader(http.StatusAccepted)
}

// run runs a job's items one after another.
func (p *Proxy) run(l *job, items []item) {
	for _, it := range items {
		p.mu.Lock()
		ended := l.ended
		p.mu.Unlock()
		if ended {
			return
		}
		req, err := http.NewRequest(http.MethodPost, it.Path, nil)
		if err != nil {
			return
		}
		for k, v := range it.Headers {
			req.Header.Set(k, v)
		}
		req.Header.Set(engine.HeaderRequest, it.ID)
		all := p.sendUntilComplete(req, it.Body)
		var text []string
		for line := range strings.Lines(string(all)) {
			if data, ok := strings.CutPrefix(line, "data: "); ok {
				text = append(text, strings.TrimSuffix(data, "\n"))
			}
		}
		p.mu.Lock()
		l.listed = append(l.listed, Result{it.ID, "finished", strings.Join(text, "\n")})
		p.mu.Unlock()
	}
}

// sendUntilComplete sends an item until an endpoint answers it completely.
func (p *Proxy) sendUntilComplete(req *http.Request, body []byte) []byte {
	for {
		if resp, err := p.send(req, body); err == nil {
			all, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err == nil && resp.StatusCode == http.StatusOK {
				return all
			}
		}
		time.Sleep(retryPause)
	}
}

const retryPause = 10 * time.Millisecond

// read answers reads of results and of item bodies, and requests to end a job.
func (p *Proxy) read(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.jobs[r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]]
	switch {
	case l == nil:
		w.WriteHeader(http.StatusNotFound)
	case strings.HasPrefix(r.URL.Path, "/items/"):
		_, _ = w.Write(l.items[r.URL.Query().Get("id")])
	case r.Method == http.MethodDelete:
		l.ended = true
	default:
		listed := append([]Result(nil), l.listed...)
		if p.Results != nil {
			listed = p.Results(listed)
		}
		from, _ := strconv.Atoi(r.URL.Query().Get("start_after"))
		listed = listed[min(from, len(listed)):]
		answer := map[string]any{"total": len(l.items), "results": listed, "next_token": from + len(listed)}
		_ = json.NewEncoder(w).Encode(answer) // the caller may have closed the connection
	}
}
