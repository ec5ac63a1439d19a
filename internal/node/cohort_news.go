package node

import (
	"time"

	"dunetide/internal/group"
	"dunetide/internal/journal"
	"dunetide/policy"
)

// What members tell and ask each other.
const (
	newsList    = "list"
	newsWait    = "wait"
	newsVerdict = "verdict"
	askState    = "state"
	askOrder    = "order"
	askHave     = "have"
	askReady    = "ready"
)

// toldWait, verdictTold and so on are the bodies of these.
type (
	waitNews    struct{ Until time.Duration } // by the machine's clock
	verdictNews struct{ News policy.News }
	orderAsk    struct {
		Host string
		Out  bool
	}
	orderAnswer struct {
		Status int
		Text   string
	}
	yesNo struct{ Yes bool }
	// memberState is what a member that joins has to know.
	memberState struct {
		Starting bool // this one knows nothing yet itself
		ListAt   time.Duration
		Revision int64 // of the list; -1 where none is known yet
		Members  []member
		Orders   []string
		Waits    []waitState
	}
	waitState struct {
		Endpoint string
		Until    time.Duration
	}
)

// What comes from other members on its way through the loop.
type (
	heardNews struct {
		message group.Message
	}
	stateAsk struct{ reply chan memberState }
	// newcomers are members that have not heard what was told before.
	newcomers struct{}
	// inheritance is a dead member's journal.
	inheritance struct {
		journal *journal.Journal
		owed    []*journal.Message
		alone   bool // no other member lives: what it says of endpoints is the newest there is
	}
)
