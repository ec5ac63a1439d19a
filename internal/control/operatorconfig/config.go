package operatorconfig

import iradix "github.com/hashicorp/go-immutable-radix/v2"

// RouteKind says which requests of a route may run more than once.
type RouteKind uint8

// The kinds of routes. The configuration names them read_only, writes, streaming and bulk.
const (
	ReadOnly  RouteKind = iota // may run more than once
	Writes                     // at most once for each time that a client sends it
	Streaming                  // a series of events; as Writes unless the route is resumable
	Bulk                       // batch jobs
)

// Config is a whole configuration that is valid. The comments give the keys of the JSON object.
type Config struct {
	Version  uint64              // version: over 0, required; grows with each configuration
	Routes   []Route             // routes: required
	Services map[string]*Service // services by name: required
	Limits   Limits              // limits
	Raw      []byte              // the JSON as it was sent

	byPath *iradix.Tree[*Route] // by host, NUL, path prefix
}

// Route sends the requests to a host whose paths begin with a prefix to services.
type Route struct {
	Name       string    // name: required
	Host       string    // host: required; lower case, without a port
	PathPrefix string    // path_start: required; begins and ends with a slash
	Kind       RouteKind // kind: required
	// TimeoutMs (timeout_ms) is the longest time in milliseconds that a request may be pending, from its arrival to its
	// answer; over 0. It is required but for Bulk, whose default is 5,000.
	TimeoutMs        int
	LatencyTargetMs  int     // target_ms: a response within it has its full value; 0: none
	EventGapTargetMs int     // gap_aim_ms: the longest pause between events of a stream; 0: none
	Priority         int     // priority: 0 is the highest, and the default
	MaxAttempts      int     // tries: endpoints that one request is sent to at most; at least 1
	Shares           []Share // shares, or service alone: required
	Sticky           bool    // sticky: requests of one session prefer one endpoint
	Resumable        bool    // resume: a stream may go on at another endpoint

	// The rest is of Bulk routes.

	DueMs           int   // due_ms: results are due that long after the job was submitted first
	MaxWaitMs       int   // max_wait_s: an item may be abandoned that long after its due time; 0: never
	MaxQueuedTokens int64 // max_queued: tokens that may wait in the whole tier; 0: no limit
}

// Idempotent reports whether a request of this route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == ReadOnly || r.Kind == Streaming && r.Resumable
}

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string  // service: required; the name of one of the services
	Weight  float64 // weight: required; from 0 to 1e12, relative to the other shares of the route
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Name           string  // name: required
	HealthPath     string  // health_path: path of the health check; default /health
	MaxConnections int     // max_conns: that an endpoint accepts from all clients together; 0: unknown
	Engine         *Engine // engine; nil: the endpoints serve no models
}

// Engine describes endpoints that serve models.
type Engine struct {
	Capacity       int      // capacity: requests that run at once
	CacheTokens    int64    // cache_tokens: memory for running requests and cached prefixes
	TokensPerEvent int      // stride: tokens of one event of a stream; 0: unknown
	Models         []string // models: their names
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes  int   // max_header_bytes: of a request; default 16 KiB
	MaxBodyBytes    int64 // max_body_bytes: of a request; default 4 MiB
	HeaderTimeoutMs int   // header_wait_ms: until a request's header is complete; default 3,000
	IdleTimeoutMs   int   // idle_ms: until an idle connection is closed; default 15,000
}
