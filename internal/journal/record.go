package journal

import (
	"encoding/binary"
	"time"

	"dunetide/policy"
)

// Kinds of record.
const (
	recTaken   = 1 // a message with all that lies behind it; replaces what came before
	recAttempt = 2 // written before the first byte of an attempt
	recOutcome = 3 // how the last attempt ended
	recEnded   = 4 // ended undelivered; the notice is owed
	recClosed  = 5 // nothing is owed any more; delivered where it names an endpoint
	recOrder   = 6 // the staff's order for an endpoint, in place of the one before
	// These come in segments with a header, and when a folder was mended.
	recOver = 7 // ids of messages that are over
	recNext = 8 // the next number of a message; those below it are taken
	recEnd  = 9 // the end of a checkpoint
)

func orderRecord(endpoint string, out bool, at time.Time) []byte {
	flag := byte(0)
	if out {
		flag = 1
	}
	return binary.AppendUvarint(appendBytes(append(record(recOrder, 0), flag), []byte(endpoint)), uint64(at.UnixMicro()))
}

func record(kind byte, seq policy.MessageID) []byte {
	return binary.AppendUvarint([]byte{kind}, uint64(seq))
}

func appendBytes(b, data []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(data))), data...)
}

// takenRecord holds a message with all that lies behind it.
func takenRecord(m *Message) []byte {
	b := record(recTaken, m.Seq)
	b = appendBytes(appendBytes(b, []byte(m.ID)), []byte(m.Key))
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(m.Class)), uint64(m.Dest))
	b = binary.AppendUvarint(b, uint64(m.Deadline.UnixMicro()))
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(m.Past.Attempts)), uint64(m.Past.RanZone))
	flags := byte(0)
	for i, set := range []bool{m.Past.Settled, m.Past.Out, m.Past.MayRun, m.Notice != nil} {
		if set {
			flags |= 1 << i
		}
	}
	ranAt := uint64(0)
	if m.Past.MayRun {
		ranAt = uint64(m.Past.RanAt.UnixMicro())
	}
	b = binary.AppendUvarint(append(b, flags), ranAt)
	if m.Notice != nil {
		b = appendNotice(b, m.Notice)
	}
	return appendBytes(b, m.Body)
}

func attemptRecord(seq policy.MessageID, endpoint string, zone int, at time.Time) []byte {
	b := appendBytes(record(recAttempt, seq), []byte(endpoint))
	return binary.AppendUvarint(binary.AppendUvarint(b, uint64(zone)), uint64(at.UnixMicro()))
}

func outcomeRecord(seq policy.MessageID, o policy.Outcome, endpoint string, at time.Time) []byte {
	b := appendBytes(append(record(recOutcome, seq), byte(o)), []byte(endpoint))
	return binary.AppendUvarint(b, uint64(at.UnixMicro()))
}

func closedRecord(seq policy.MessageID, endpoint string, at time.Time) []byte {
	return binary.AppendUvarint(appendBytes(record(recClosed, seq), []byte(endpoint)), uint64(at.UnixMicro()))
}

func overRecord(ids []string) []byte {
	b := record(recOver, 0)
	for _, id := range ids {
		b = appendBytes(b, []byte(id))
	}
	return b
}

func appendNotice(b []byte, n *Notice) []byte {
	kind := byte(0)
	if n.HandedBack() {
		kind = 1
	}
	return binary.AppendUvarint(append(b, kind), uint64(n.RetryInMs))
}

// reader reads the fields of a record in turn.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) u8() byte {
	if len(r.b) == 0 {
		r.bad = true
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.bad, r.b = true, nil
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) bytes() []byte {
	n := r.uvarint()
	if n > uint64(len(r.b)) {
		r.bad, r.b = true, nil
		return nil
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

// ids reads what is left as ids.
func (r *reader) ids() []string {
	var ids []string
	for len(r.b) > 0 {
		if id := r.bytes(); !r.bad {
			ids = append(ids, string(id))
		}
	}
	return ids
}

func (r *reader) notice(id string) *Notice {
	handedBack, retry := r.u8() == 1, r.uvarint()
	return NewNotice(id, handedBack, time.Duration(retry)*time.Millisecond)
}

// failed tells which outcomes say that the endpoint is not well.
func failed(o policy.Outcome) bool {
	return o == policy.Failed || o == policy.TimedOut || o == policy.Unreachable || o == policy.Reset
}

// neverRan tells which outcomes prove that an attempt has not run.
func neverRan(o policy.Outcome) bool {
	return o == policy.Full || o == policy.Unreachable || o == policy.Moot
}
