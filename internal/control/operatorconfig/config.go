package operatorconfig

import iradix "github.com/hashicorp/go-immutable-radix/v2"

// RouteKind determines which requests of a route may run more than once.
type RouteKind uint8

// The kinds of routes. The configuration names them read_only, writes, streaming and bulk.
const (
	ReadOnly  RouteKind = iota // may run more than once
	Writes                     // at most once for each time that a client sends it
	Streaming                  // a stream of events; at most once like Writes, unless the route is resumable
	Bulk                       // batch jobs
)

// Config is a complete, valid configuration. The comments give the keys of the JSON object.
type Config struct {
	Version  uint64              // version: above 0, required; increases with each configuration
	Routes   []Route             // routes: required
	Services map[string]*Service // services by name: required
	Limits   Limits              // limits
	Tenants  []Tenant            // customers; nil: requests need no key
	Raw      []byte              // the JSON as the operator sent it

	byPath *iradix.Tree[*Route] // by host, NUL, path prefix
	byKey  map[string]*Tenant   // by API key
}

// Route maps requests to services by their host and the prefix of their path.
type Route struct {
	Name       string    // name: required
	Host       string    // host: required; lower case, without a port
	PathPrefix string    // path_start: required; begins and ends with a slash
	Kind       RouteKind // kind: required
	// TimeoutMs (timeout_ms) is the maximum time in milliseconds from the arrival of a request to its response; above 0.
	// It is required except for Bulk, whose default is 5,000.
	TimeoutMs        int
	LatencyTargetMs  int     // target_ms: the latency up to which a response has its full value; 0: none
	EventGapTargetMs int     // gap_aim_ms: target for the longest pause between events of a stream; 0: none
	Priority         int     // priority: 0 is the highest, and the default
	MaxAttempts      int     // tries: maximum number of endpoints to which one request is sent; at least 1
	Shares           []Share // shares or, for a single service, service: required
	Sticky           bool    // sticky: requests of one session prefer the same endpoint
	Resumable        bool    // resume: a stream may continue at another endpoint
	Public           bool    // public: requests need no key

	// The fields below apply to Bulk routes only.

	DueMs           int   // due_ms: time from the first submission of a job until its results are due
	MaxWaitMs       int   // max_wait_s: time after its due time when an item may be abandoned; 0: never
	MaxQueuedTokens int64 // max_queued: maximum number of queued tokens in the whole tier; 0: no limit
}

// Idempotent reports whether a request of this route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == ReadOnly || r.Kind == Streaming && r.Resumable
}

// Share is the share of a route's requests that is sent to a service.
type Share struct {
	Service string  // service: required; the name of one of the services
	Weight  float64 // weight: required; from 0 to 1e12, relative to the other shares of the route
}

// Service is a group of equivalent endpoints.
type Service struct {
	Name           string  // name: required
	HealthPath     string  // health_path: path of the health check; default /health
	MaxConnections int     // max_conns: maximum number that an endpoint accepts from all clients together; 0: unknown
	Engine         *Engine // engine; nil: the endpoints serve no models
}

// Engine describes endpoints that serve models.
type Engine struct {
	Capacity       int      // capacity: number of concurrent requests
	CacheTokens    int64    // cache_tokens: memory for running requests and cached prefixes
	TokensPerEvent int      // stride: tokens per event of a stream; 0: unknown
	Models         []string // models: their names
}

// Limits are limits on the requests and connections of clients.
type Limits struct {
	MaxHeaderBytes  int   // max_header_bytes: of a request; default 16 KiB
	MaxBodyBytes    int64 // max_body_bytes: of a request; default 4 MiB
	HeaderTimeoutMs int   // header_wait_ms: time to receive a request's header; default 3,000
	IdleTimeoutMs   int   // idle_ms: time until an idle connection is closed; default 15,000
}
