package journal

import (
	"fmt"
	"io"
	"time"

	"dunetide/policy"
)

// apply takes one record into the state. In doubt, an outcome proves nothing: the
// attempt that it belongs to may not be the one on record.
func (j *Journal) apply(segment uint64, payload []byte, doubt bool) error {
	r := reader{b: payload}
	kind, seq := r.u8(), policy.MessageID(r.uvarint())
	j.next = max(j.next, seq+1)
	m := j.live[seq]
	switch kind {
	case recTaken:
		m = &Message{Seq: seq, home: j}
		m.ID, m.Key = string(r.bytes()), string(r.bytes())
		m.Class, m.Dest = int(r.uvarint()), int(r.uvarint())
		m.Deadline = time.UnixMicro(int64(r.uvarint()))
		m.Past.Attempts, m.Past.RanZone = int(r.uvarint()), int(r.uvarint())
		flags := r.u8()
		m.Past.Settled, m.Past.Out, m.Past.MayRun = flags&1 != 0, flags&2 != 0, flags&4 != 0
		if at := r.uvarint(); m.Past.MayRun {
			m.Past.RanAt = time.UnixMicro(int64(at))
		}
		if flags&8 != 0 {
			m.Notice = r.notice(m.ID)
		}
		m.Body = append([]byte(nil), r.bytes()...)
		if r.bad {
			return io.ErrUnexpectedEOF
		}
		j.live[seq], j.home[seq] = m, segment
	case recAttempt:
		name, zone, at := string(r.bytes()), int(r.uvarint()), time.UnixMicro(int64(r.uvarint()))
		if r.bad {
			break
		}
		if e := j.remember(name); len(e.Sent) == 0 || !e.Sent[len(e.Sent)-1].Equal(at) {
			e.Sent = append(e.Sent, at)
		}
		if m != nil {
			m.Past.attempt(name, zone, at)
		}
	case recOutcome:
		outcome, name, at := policy.Outcome(r.u8()), string(r.bytes()), time.UnixMicro(int64(r.uvarint()))
		if r.bad {
			break
		}
		if m != nil {
			m.Past.outcome(neverRan(outcome) && !doubt)
		}
		if failed(outcome) {
			j.remember(name).fail(outcome, at)
		}
	case recEnded:
		if m != nil {
			m.Notice = r.notice(m.ID)
		}
	case recClosed:
		name, at := string(r.bytes()), time.UnixMicro(int64(r.uvarint()))
		if e := j.remember(name); name != "" && !r.bad {
			e.back(at)
		}
		if m != nil {
			j.Over.Add(m.ID)
		}
		delete(j.live, seq)
		delete(j.home, seq)
	case recOrder:
		out, name, at := r.u8() == 1, string(r.bytes()), time.UnixMicro(int64(r.uvarint()))
		if r.bad {
			break
		}
		if out {
			j.orders[name] = segment
			break
		}
		delete(j.orders, name)
		j.remember(name).restarted(at)
	case recOver:
		for _, id := range r.ids() {
			j.Over.Add(id)
		}
	case recNext, recEnd: // its number counts already
	default:
		return fmt.Errorf("unknown kind %d", kind)
	}
	if r.bad {
		return io.ErrUnexpectedEOF
	}
	return nil
}
