package node

import (
	"time"

	"dunetide/internal/deliverynode/group"
	"dunetide/internal/deliverynode/journal"
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
	waitNews struct {
		Until time.Duration `json:"Until"` // by the machine's clock
	}
	verdictNews struct {
		News policy.News `json:"News"`
	}
	orderAsk struct {
		Host string `json:"Host"`
		Out  bool   `json:"Out"`
	}
	orderAnswer struct {
		Status int    `json:"Status"`
		Text   string `json:"Text"`
	}
	yesNo struct {
		Yes bool `json:"Yes"`
	}
	// memberState is what a member that joins has to know.
	memberState struct {
		Starting bool          `json:"Starting"` // this one knows nothing yet itself
		ListAt   time.Duration `json:"ListAt"`
		Revision int64         `json:"Revision"` // of the list; -1 where none is known yet
		Members  []member      `json:"Members"`
		Orders   []string      `json:"Orders"`
		Waits    []waitState   `json:"Waits"`
	}
	waitState struct {
		Endpoint string        `json:"Endpoint"`
		Until    time.Duration `json:"Until"`
	}
)

// What comes from other members on its way through the loop.
type (
	groupMessage struct {
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
