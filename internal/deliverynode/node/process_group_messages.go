package node

import (
	"time"

	"dunetide/internal/deliverynode/group"
	"dunetide/internal/deliverynode/journal"
	"dunetide/policy"
)

// Kinds of notifications and requests between members.
const (
	notifyList    = "list"
	notifyWait    = "wait"
	notifyVerdict = "verdict"
	requestState  = "state"
	requestOrder  = "order"
	requestHas    = "have"
	requestReady  = "ready"
)

// Bodies of the messages between members.
type (
	waitMessage struct {
		Until time.Duration `json:"Until"` // by the machine's clock
	}
	verdictMessage struct {
		News policy.News `json:"News"`
	}
	orderRequest struct {
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
	// memberState is the state that a joining member needs.
	memberState struct {
		Starting bool          `json:"Starting"` // this member has no state yet itself
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

// Events of the group that are posted to the loop.
type (
	groupMessage struct {
		message group.Message
	}
	stateRequest struct{ reply chan memberState }
	// membersJoined reports new members, which have not received earlier notifications.
	membersJoined struct{}
	// adoptedJournal is the journal of a former member, or a log that was taken over from another node.
	adoptedJournal struct {
		journal *journal.Journal
		pending []*journal.Message
		alone   bool // no other member runs: its records of endpoints are the newest
	}
)
