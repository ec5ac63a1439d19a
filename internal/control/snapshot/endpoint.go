package snapshot

// State is the state of one incarnation of an endpoint. It never decreases. Its numeric values are part of the wire
// format.
type State uint8

// The states of an endpoint.
const (
	Ready    State = iota // accepts requests
	Draining              // completes its requests and accepts no new ones
	Removed               // stopped permanently
)

// Endpoint is one incarnation of an endpoint: a restart of the same server is another Endpoint with another ID.
type Endpoint struct {
	ID       string // of the incarnation
	Service  string
	Address  string // host:port
	Zone     string
	Version  string // of its software
	Capacity int    // concurrent requests
	State    State
	// RemainingWarmupMs is the time in milliseconds until the warm-up is complete; 0: it is.
	RemainingWarmupMs int
	Models            []Model
	CallCount         uint64 // sequence number of the newest heartbeat that was accepted
}

// Model is a model that an endpoint serves.
type Model struct {
	Name    string
	Version int
}
