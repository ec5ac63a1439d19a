package snapshot

// State is the state of one incarnation of an endpoint. It never decreases. Its numbers go over the wire.
type State uint8

// The states of an endpoint.
const (
	Ready    State = iota // accepts requests
	Draining              // finishes what it has, and accepts nothing new
	Removed               // has ended, for good
)

// Endpoint is one incarnation of an endpoint: a new start of the same server is another Endpoint with another ID.
type Endpoint struct {
	ID       string // of the incarnation
	Service  string
	Address  string // host:port
	Zone     string
	Version  string // of its software
	Capacity int    // requests that it runs at once
	State    State
	// RemainingWarmupMs is the time in milliseconds until it has warmed up; 0: it has.
	RemainingWarmupMs int
	Models            []Model
	CallCount         uint64 // sequence number of the newest heartbeat that was accepted
}

// Model is a model that an endpoint serves.
type Model struct {
	Name    string
	Version int
}
