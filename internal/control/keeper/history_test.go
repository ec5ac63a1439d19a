package keeper

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// history records the operators' calls to one register, each with the times of its request and its answer.
type history struct {
	clock      int64
	operations []porcupine.Operation
	puts       []documentPut // by index, which is part of their bytes
}

func newHistory() *history { return &history{} }

// unanswered is the status of a call that got no answer.
const unanswered = 0

// registerCall is a call of an operator: put is the index of a put, or one of the negative constants below.
type registerCall struct {
	put     int
	version uint64
	base    uint64
}

const (
	readCall = -1 - iota
	endCall  // marks the end of the history
	noPut    // the result of a read before the first put
)

// registerAnswer is the status of an answer, and the put that a read found.
type registerAnswer struct {
	status int
	found  int
}

// clear reports whether the answer is conclusive, that is, determines the outcome of the call.
func (a registerAnswer) clear() bool {
	return a.status != unanswered && a.status != http.StatusServiceUnavailable
}

func (h *history) tick() int64 {
	h.clock++
	return h.clock
}

// newPut adds a put with unique bytes, and returns its index.
func (h *history) newPut(version, base uint64) int {
	h.puts = append(h.puts, documentPut{version: version, base: base, raw: fmt.Appendf(nil, "put %d", len(h.puts))})
	return len(h.puts) - 1
}

// putOf returns the index of the put that created a document.
func putOf(v *document) int {
	if v.version == 0 {
		return noPut
	}
	var number int
	if _, err := fmt.Sscanf(string(v.raw), "put %d", &number); err != nil {
		panic(err) // can't happen: newPut created the bytes
	}
	return number
}

// begin records a call and returns the callback for its answer. Without a conclusive answer the call may take effect at
// any later time.
func (h *history) begin(index int) (answered func(registerAnswer)) {
	call := registerCall{put: index}
	if index >= 0 {
		call.version, call.base = h.puts[index].version, h.puts[index].base
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

// registerState is the register as operators observe it: the document in force, and all that were ever in force.
type registerState struct {
	version  uint64
	newest   int
	accepted string // the puts that are or were in force, each encoded as a rune
	ended    bool
}

func (s registerState) hasAccepted(put int) bool {
	return strings.ContainsRune(s.accepted, rune(put))
}

// applyPut applies a conditional write; false: its condition doesn't hold in this state.
func (s registerState) applyPut(c registerCall) (registerState, bool) {
	if c.base != s.version || c.version <= s.version {
		return s, false
	}
	s.version, s.newest, s.accepted = c.version, c.put, s.accepted+string(rune(c.put))
	return s, true
}

// registerModel is one register with conditional writes and idempotent repeats: 200 means that the put is or was in
// force, 412 that it never was and that another version is in force, 400 that it never was and that its version is too
// low. An unanswered put takes effect once, at any later time, or not at all.
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
	default: // no answer: the put takes effect at a point where it applies, or has no effect after the end
		if s.ended {
			return true, s
		}
		return applies, next
	}
}

// checkWait bounds the check of one history.
const checkWait = 20 * time.Second

// check checks that the history is linearizable.
func (h *history) check() error {
	var all []porcupine.Operation
	for _, o := range h.operations {
		if o.Input.(registerCall).put == readCall && o.Output.(registerAnswer).status != http.StatusOK {
			continue // a failed read has no effect
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
		return fmt.Errorf("check of %[2]d calls not finished within %[1]v", checkWait, len(all))
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
			fmt.Fprintf(&b, "%5d %5s read: %d, put %d\n", o.Call, until, a.status, a.found)
			continue
		}
		fmt.Fprintf(&b, "%5d %5s put %d (version %d on %d): %d\n", o.Call, until, call.put, call.version, call.base, a.status)
	}
	return b.String()
}
