// Package operator reads and checks what the operator sends: whole configurations.
package operatorconfig

import iradix "github.com/hashicorp/go-immutable-radix/v2"

// Kind tells what may be repeated of a route's requests.
type RouteKind uint8

// The kinds of routes.
const (
	ReadOnly  RouteKind = iota // may run more than once
	Writes                     // at most once for each try
	Streaming                  // a series of events; as Writes unless it may be resumed
	Bulk                       // batch jobs
)

// Config is a whole configuration, checked.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	Raw      []byte // as it was sent

	byPath *iradix.Tree[*Route] // by host, NUL, path_start
}

// Route sends what begins with a prefix under a host to services.
type Route struct {
	Name             string
	Host             string // lower case, without a port
	PathPrefix       string // begins and ends with a slash
	Kind             RouteKind
	TimeoutMs        int // the longest a try may be held; over 0
	LatencyTargetMs  int // an answer within it has its full worth
	EventGapTargetMs int // the longest pause between events; 0: none told
	Priority         int // 0 is highest
	MaxAttempts      int // the most endpoints that one try goes to; at least 1
	Shares           []Share
	Sticky           bool
	Resumable        bool // a stream may go on at another endpoint
	// Of Bulk routes.
	DueMs           int   // results fall due that long after the first send
	MaxWaitMs       int   // an item may be given up that long after it; 0: never
	MaxQueuedTokens int64 // tokens that may wait over all nodes; 0: no limit
}

// Idempotent tells whether a request of this route may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == ReadOnly || r.Kind == Streaming && r.Resumable }

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  float64
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // that an endpoint takes from all callers together; 0: not told
	Engine         *Engine
}

// Engine describes model endpoints.
type Engine struct {
	Capacity       int   // requests that run at once
	CacheTokens    int64 // memory for running requests and kept parts
	TokensPerEvent int   // tokens an event; 0: not told
	Models         []string
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes  int
	MaxBodyBytes    int64
	HeaderTimeoutMs int
	IdleTimeoutMs   int
}
