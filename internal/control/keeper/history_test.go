package keeper

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// history is what operators observed of one register: each call from when it was sent to when its answer came.
type history struct {
	clock      int64
	operations []porcupine.Operation
	puts       []documentPut // by the numbers in their bytes
}

func newHistory() *history { return &history{} }

// unanswered is the status of a call whose answer did not come.
const unanswered = 0

// registerCall is a call of an operator: a put, or a read if it is negative.
type registerCall struct {
	put     int
	version uint64
	base    uint64
}

const (
	readCall = -1 - iota
	endCall  // marks the end of the history
	noPut    // what a read found before the first put
)

// registerAnswer is a status, and what a read found.
type registerAnswer struct {
	status int
	found  int
}

// clear reports whether the answer tells the operator what became of the call.
func (a registerAnswer) clear() bool {
	return a.status != unanswered && a.status != http.StatusServiceUnavailable
}

func (h *history) tick() int64 {
	h.clock++
	return h.clock
}

// newPut makes a put whose bytes no other one has.
func (h *history) newPut(version, base uint64) int {
	h.puts = append(h.puts, documentPut{version: version, base: base, raw: fmt.Appendf(nil, "order %d", len(h.puts))})
	return len(h.puts) - 1
}

// putOf is the number of the put that a document came with.
func putOf(v *document) int {
	if v.version == 0 {
		return noPut
	}
	var number int
	if _, err := fmt.Sscanf(string(v.raw), "order %d", &number); err != nil {
		panic(err) // all bytes are made by newPut
	}
	return number
}

// begin records a call; the result takes its answer. Without a clear answer the call may take effect at any later time.
func (h *history) begin(order int) (answered func(registerAnswer)) {
	call := registerCall{put: order}
	if order >= 0 {
		call.version, call.base = h.puts[order].version, h.puts[order].base
	}
	i := len(h.operations)
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: i,
		Input:    call,
		Call:     h.tick(),
		Output:   registerAnswer{},
		Return:   math.MaxInt64,
	})
	return func(a registerAnswer) {
		h.operations[i].Output = a
		if a.clear() {
			h.operations[i].Return = h.tick()
		}
	}
}

// registerState is the register as operators know it: one document at a time, and all that were ever in force.
type registerState struct {
	version  uint64
	newest   int
	accepted string // the puts that were in force, each as a character
	ended    bool
}

func (s registerState) hasAccepted(order int) bool {
	return strings.ContainsRune(s.accepted, rune(order))
}

// applyPut is a conditional write; false: it is none on this state.
func (s registerState) applyPut(c registerCall) (registerState, bool) {
	if c.base != s.version || c.version <= s.version {
		return s, false
	}
	s.version, s.newest, s.accepted = c.version, c.put, s.accepted+string(rune(c.put))
	return s, true
}

// registerModel is one register with conditional writes and conditional repeats: 200 says that the order is in force
// or was, 412 that it never was and that another version is in place, 400 that it never was and its number is too
// low. Without an answer it takes effect once, at any later time, or not at all.
var registerModel = porcupine.Model{
	Init: func() any { return registerState{newest: noPut} },
	Step: func(state, input, output any) (bool, any) {
		return state.(registerState).step(input.(registerCall), output.(registerAnswer))
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
	DescribeState:     func(state any) string { return fmt.Sprintf("%+v", state) },
}

func (s registerState) step(c registerCall, a registerAnswer) (bool, registerState) {
	switch {
	case c.put == endCall:
		s.ended = true
		return true, s
	case c.put == readCall:
		return s.newest == a.found, s
	}
	next, applies := s.applyPut(c)
	switch a.status {
	case http.StatusOK:
		return applies || s.hasAccepted(c.put), next
	case http.StatusPreconditionFailed:
		return !s.hasAccepted(c.put) && c.base != s.version, s
	case http.StatusBadRequest:
		return !s.hasAccepted(c.put) && c.base == s.version && c.version <= s.version, s
	default: // it has its effect where it can have one; those that have none are left for the end
		if s.ended {
			return true, s
		}
		return applies, next
	}
}

// checkWait bounds the check of one history.
const checkWait = 20 * time.Second

// check checks that some order of the calls explains all that was observed.
func (h *history) check() error {
	var all []porcupine.Operation
	for _, o := range h.operations {
		if o.Input.(registerCall).put == readCall && o.Output.(registerAnswer).status != http.StatusOK {
			continue // it says nothing
		}
		all = append(all, o)
	}
	now := h.tick()
	all = append(all, porcupine.Operation{
		ClientId: len(h.operations),
		Input:    registerCall{put: endCall},
		Call:     now,
		Output:   registerAnswer{},
		Return:   h.tick(),
	})
	switch porcupine.CheckOperationsTimeout(registerModel, all, checkWait) {
	case porcupine.Ok:
		return nil
	case porcupine.Unknown:
		return fmt.Errorf("not decided within %v: %d calls", checkWait, len(all))
	}
	return fmt.Errorf("not linearizable:\n%s", h)
}

func (h *history) String() string {
	var b strings.Builder
	for _, o := range h.operations {
		call, a := o.Input.(registerCall), o.Output.(registerAnswer)
		until := fmt.Sprint(o.Return)
		if o.Return == math.MaxInt64 {
			until = "-"
		}
		if call.put == readCall {
			fmt.Fprintf(&b, "%5d %5s read: %d, order %d\n", o.Call, until, a.status, a.found)
			continue
		}
		fmt.Fprintf(&b, "%5d %5s put order %d (version %d on %d): %d\n", o.Call, until, call.put, call.version, call.base, a.status)
	}
	return b.String()
}
