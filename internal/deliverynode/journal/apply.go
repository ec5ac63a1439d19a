package journal

import (
	"fmt"
	"io"

	"dunetide/policy"
)

// apply applies one record of a segment to the state. With doubt, an outcome does not prove that the message has not run:
// the record of the attempt that it belongs to may be missing.
func (j *Journal) apply(segment uint64, payload []byte, doubt bool) error {
	r := reader{rest: payload}
	kind, seq := r.u8(), policy.MessageID(r.uvarint())
	j.next = max(j.next, seq+1)
	message := j.live[seq]
	switch kind {
	case recAccepted:
		j.applyAccepted(&r, seq, segment)
	case recAttempt:
		j.applyAttempt(&r, message)
	case recOutcome:
		j.applyOutcome(&r, message, doubt)
	case recEnded:
		if message != nil {
			message.Notice = r.notice(message.ID)
		}
	case recClosed:
		j.applyClosed(&r, seq, message)
	case recOrder:
		j.applyOrder(&r, segment)
	case recEndedIDs:
		for _, id := range r.ids() {
			j.EndedSet.Add(id)
		}
	case recNextNumber, recCheckpointEnd: // the number of recNextNumber has been applied above
	default:
		return fmt.Errorf("unknown kind %d", kind)
	}
	if r.bad {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// applyAccepted adds a message with the history of its attempts, and replaces the state from its earlier records.
func (j *Journal) applyAccepted(r *reader, seq policy.MessageID, segment uint64) {
	message := &Message{Seq: seq, holder: j}
	message.ID, message.Key = string(r.bytes()), string(r.bytes())
	message.Class, message.Dest = int(r.uvarint()), int(r.uvarint())
	message.Deadline = r.time()
	past := &message.Past
	past.Attempts, past.RanZone = int(r.uvarint()), int(r.uvarint())
	flags := r.u8()
	past.Settled, past.Out, past.MayRun = flags&flagSettled != 0, flags&flagOut != 0, flags&flagMayRun != 0
	if ranAt := r.time(); past.MayRun {
		past.RanAt = ranAt
	}
	if flags&flagNotice != 0 {
		message.Notice = r.notice(message.ID)
	}
	message.Body = append([]byte(nil), r.bytes()...)
	if !r.bad {
		j.live[seq], j.holder[seq] = message, segment
	}
}

// applyAttempt adds an attempt to a message, if the message is known, and to the memory of the endpoint.
func (j *Journal) applyAttempt(r *reader, message *Message) {
	endpoint, zone, at := string(r.bytes()), int(r.uvarint()), r.time()
	if r.bad {
		return
	}
	// Each message of a bundle has a record of its own for the same call.
	if memory := j.memoryOf(endpoint); len(memory.Sent) == 0 || !memory.Sent[len(memory.Sent)-1].Equal(at) {
		memory.Sent = append(memory.Sent, at)
	}
	if message != nil {
		message.Past.attempt(endpoint, zone, at)
	}
}

// applyOutcome ends the last attempt at a message, if the message is known, and adds a failure to the memory of the endpoint.
func (j *Journal) applyOutcome(r *reader, message *Message, doubt bool) {
	outcome, endpoint, at := policy.Outcome(r.u8()), string(r.bytes()), r.time()
	if r.bad {
		return
	}
	if message != nil {
		message.Past.outcome(neverRan(outcome) && !doubt)
	}
	if failed(outcome) {
		j.memoryOf(endpoint).addFailure(outcome, at)
	}
}

// applyClosed removes a message, and adds a success to the memory of the endpoint if the record names one.
func (j *Journal) applyClosed(r *reader, seq policy.MessageID, message *Message) {
	endpoint, at := string(r.bytes()), r.time()
	if memory := j.memoryOf(endpoint); endpoint != "" && !r.bad {
		memory.addSuccess(at)
	}
	if message != nil {
		j.EndedSet.Add(message.ID)
	}
	delete(j.live, seq)
	delete(j.holder, seq)
}

// applyOrder adds or removes an order for an endpoint. An endpoint that may serve again counts as restarted.
func (j *Journal) applyOrder(r *reader, segment uint64) {
	out, endpoint, at := r.u8() == 1, string(r.bytes()), r.time()
	if r.bad {
		return
	}
	if out {
		j.orders[endpoint] = segment
		return
	}
	delete(j.orders, endpoint)
	j.memoryOf(endpoint).restarted(at)
}
