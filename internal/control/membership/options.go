package membership

import (
	"math/rand/v2"
	"time"
)

// Options configures a Core. A zero field other than Self and Send takes its default.
type Options struct {
	Self          Peer          // this process; its Age is ignored
	ViewSize      int           // maximum number of entries of the view; default 12
	ShuffleSize   int           // maximum number of entries in one exchange, the sender's own included; default 6
	RoundInterval time.Duration // between rounds; default 2 s
	KeeperSlots   int           // entries of the view that are reserved for keepers; default 6, at most ViewSize-1
	Rand          *rand.Rand    // default: randomly seeded
	// Send sends a datagram. It is called from Tick and Receive and must not retain msg.
	Send func(addr string, msg []byte)
}

// Defaults of Options.
const (
	defaultViewSize      = 12
	defaultShuffleSize   = 6
	defaultKeeperSlots   = 6
	defaultRoundInterval = 2 * time.Second
)

func (o *Options) setDefaults() {
	if o.ViewSize <= 0 {
		o.ViewSize = defaultViewSize
	}
	if o.ShuffleSize <= 0 {
		o.ShuffleSize = defaultShuffleSize
	}
	if o.KeeperSlots <= 0 {
		o.KeeperSlots = defaultKeeperSlots
	}
	o.KeeperSlots = min(o.KeeperSlots, o.ViewSize-1)
	if o.RoundInterval <= 0 {
		o.RoundInterval = defaultRoundInterval
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
}
