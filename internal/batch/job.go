package batch

import "dunetide/internal/platform/link"

// Job is a batch job as a proxy submits it. Its encoding is on the wire and on disk.
type Job struct {
	ID         string
	Route      string // name of the bulk route by which it was submitted
	Host       string // of the route
	PathPrefix string // of the route
	// SentMs is the wall clock time, in ms since 1970, at which a proxy accepted the request. It
	// only orders jobs that became known at the same moment, as the clocks of machines may be
	// stepped.
	SentMs int64
	// DueMs is how long after the submission its results are due.
	DueMs int64
	// MaxAttempts is how many runs of an item may fail at an endpoint (with a 500) before it is
	// abandoned.
	MaxAttempts int
	// MaxWaitMs is the age at which items without a result are abandoned; 0: never.
	MaxWaitMs int64
	// MaxQueuedTokens is the quota of each tenant on the route: the maximum number of tokens of items
	// without a result, over all its jobs; 0: no limit.
	MaxQueuedTokens int64
	// ConfigVersion is the version of the configuration under which the proxy accepted it.
	ConfigVersion uint64
	Items         []JobItem
	// Submitter is who submitted it. The job belongs to its tenant.
	Submitter Principal
}

// JobItem is one request of a batch job.
type JobItem struct {
	ID      string
	Path    string
	Headers [][2]string // name and value
	Body    []byte
	Tokens  int64 // that count against the quota of its tenant on the route
}

// setSubmitter makes the job, and the requests of its items, those of whoever submitted it.
func (j *Job) setSubmitter(by Principal) {
	j.Submitter = by
	for i := range j.Items {
		j.Items[i].Headers = by.identify(j.Items[i].Headers)
	}
}

func (j *Job) encode() []byte {
	const perItem = 200 // typical size in bytes of an item's ID, path and headers
	capacity := perItem
	for i := range j.Items {
		capacity += perItem + len(j.Items[i].Body)
	}
	w := &link.Writer{Buf: make([]byte, 0, capacity)}
	w.String(j.ID)
	w.String(j.Route)
	w.String(j.Host)
	w.String(j.PathPrefix)
	w.Int(int(j.SentMs))
	w.Int(int(j.DueMs))
	w.Int(j.MaxAttempts)
	w.Int(int(j.MaxWaitMs))
	w.Int(int(j.MaxQueuedTokens))
	w.U64(j.ConfigVersion)
	w.U32(uint32(len(j.Items)))
	for i := range j.Items {
		it := &j.Items[i]
		w.String(it.ID)
		w.Int(int(it.Tokens))
		w.Bytes(encodeRequest(it.Path, it.Headers, it.Body))
	}
	j.Submitter.appendTo(w)
	return w.Buf
}

// encodeRequest encodes the request of an item, which a worker sends to an endpoint.
func encodeRequest(path string, headers [][2]string, body []byte) []byte {
	var w link.Writer
	w.String(path)
	w.U32(uint32(len(headers)))
	for _, h := range headers {
		w.String(h[0])
		w.String(h[1])
	}
	w.Bytes(body)
	return w.Buf
}

func decodeRequest(b []byte) (path string, headers [][2]string, body []byte, err error) {
	r := link.Reader{Buf: b}
	path = r.String()
	for n := r.Count(8); n > 0; n-- {
		headers = append(headers, [2]string{r.String(), r.String()})
	}
	body = r.Bytes()
	return path, headers, body, r.Err
}
