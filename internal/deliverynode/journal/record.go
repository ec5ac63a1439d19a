package journal

import (
	"encoding/binary"
	"time"

	"dunetide/policy"
)

// Kinds of record.
const (
	recAccepted = 1 // a message with the history of its attempts; it replaces the earlier records of the message
	recAttempt  = 2 // written before the first byte of an attempt is sent
	recOutcome  = 3 // how the last attempt ended
	recEnded    = 4 // the message ended undelivered, and its notice has yet to be delivered
	recClosed   = 5 // nothing is left to do for the message; an endpoint that is named here accepted the message
	recOrder    = 6 // an operator's order for an endpoint; it replaces the previous one
	// The following are written to segments with a header, and when a damaged folder is repaired.
	recEndedIDs      = 7 // ids of messages that have ended
	recNextNumber    = 8 // the lowest message number that is not yet assigned
	recCheckpointEnd = 9 // the end of a checkpoint
)

// Flags of a recAccepted.
const (
	flagSettled = 1 << iota
	flagOut
	flagMayRun
	flagNotice
)

// orderRecord returns the encoding of a recOrder.
func orderRecord(endpoint string, out bool, at time.Time) []byte {
	flag := byte(0)
	if out {
		flag = 1
	}
	return binary.AppendUvarint(appendBytes(append(record(recOrder, 0), flag), []byte(endpoint)), uint64(at.UnixMicro()))
}

// record returns the prefix that all records have: the kind and the number of the message, 0 if there is none.
func record(kind byte, seq policy.MessageID) []byte {
	return binary.AppendUvarint([]byte{kind}, uint64(seq))
}

// appendBytes appends data, prefixed with its length.
func appendBytes(b, data []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(data))), data...)
}

// acceptedRecord returns the encoding of a recAccepted: a message with the history of its attempts, and its notice if it has one.
func acceptedRecord(m *Message) []byte {
	b := record(recAccepted, m.Seq)
	b = appendBytes(appendBytes(b, []byte(m.ID)), []byte(m.Key))
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(m.Class)), uint64(m.Dest))
	b = binary.AppendUvarint(b, uint64(m.Deadline.UnixMicro()))
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(m.Past.Attempts)), uint64(m.Past.RanZone))
	ranAt := uint64(0)
	if m.Past.MayRun {
		ranAt = uint64(m.Past.RanAt.UnixMicro())
	}
	b = binary.AppendUvarint(append(b, acceptedFlags(m)), ranAt)
	if m.Notice != nil {
		b = appendNotice(b, m.Notice)
	}
	return appendBytes(b, m.Body)
}

// acceptedFlags returns the flags of a recAccepted.
func acceptedFlags(m *Message) byte {
	flags := byte(0)
	if m.Past.Settled {
		flags |= flagSettled
	}
	if m.Past.Out {
		flags |= flagOut
	}
	if m.Past.MayRun {
		flags |= flagMayRun
	}
	if m.Notice != nil {
		flags |= flagNotice
	}
	return flags
}

// attemptRecord returns the encoding of a recAttempt.
func attemptRecord(seq policy.MessageID, endpoint string, zone int, at time.Time) []byte {
	b := appendBytes(record(recAttempt, seq), []byte(endpoint))
	return binary.AppendUvarint(binary.AppendUvarint(b, uint64(zone)), uint64(at.UnixMicro()))
}

// outcomeRecord returns the encoding of a recOutcome.
func outcomeRecord(seq policy.MessageID, o policy.Outcome, endpoint string, at time.Time) []byte {
	b := appendBytes(append(record(recOutcome, seq), byte(o)), []byte(endpoint))
	return binary.AppendUvarint(b, uint64(at.UnixMicro()))
}

// closedRecord returns the encoding of a recClosed.
func closedRecord(seq policy.MessageID, endpoint string, at time.Time) []byte {
	return binary.AppendUvarint(appendBytes(record(recClosed, seq), []byte(endpoint)), uint64(at.UnixMicro()))
}

// endedIDsRecord returns the encoding of a recEndedIDs.
func endedIDsRecord(ids []string) []byte {
	b := record(recEndedIDs, 0)
	for _, id := range ids {
		b = appendBytes(b, []byte(id))
	}
	return b
}

// appendNotice appends the encoding of a notice without the message's id.
func appendNotice(b []byte, n *Notice) []byte {
	kind := byte(0)
	if n.HandedBack() {
		kind = 1
	}
	return binary.AppendUvarint(append(b, kind), uint64(n.RetryInMs))
}

// reader decodes the fields of a record in order. After a field that cannot be decoded, bad is set and all further fields
// are zero.
type reader struct {
	rest []byte
	bad  bool
}

// u8 reads one byte.
func (r *reader) u8() byte {
	if len(r.rest) == 0 {
		r.bad = true
		return 0
	}
	v := r.rest[0]
	r.rest = r.rest[1:]
	return v
}

// time reads a time that is stored as microseconds since the Unix epoch.
func (r *reader) time() time.Time { return time.UnixMicro(int64(r.uvarint())) }

// uvarint reads an unsigned varint.
func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.bad, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

// bytes reads length-prefixed bytes. The result shares memory with the record.
func (r *reader) bytes() []byte {
	n := r.uvarint()
	if n > uint64(len(r.rest)) {
		r.bad, r.rest = true, nil
		return nil
	}
	v := r.rest[:n]
	r.rest = r.rest[n:]
	return v
}

// ids reads the rest of the record as a list of ids.
func (r *reader) ids() []string {
	var ids []string
	for len(r.rest) > 0 {
		if id := r.bytes(); !r.bad {
			ids = append(ids, string(id))
		}
	}
	return ids
}

// notice reads the notice of the message with the given id.
func (r *reader) notice(id string) *Notice {
	handedBack, retry := r.u8() == 1, r.uvarint()
	return NewNotice(id, handedBack, time.Duration(retry)*time.Millisecond)
}

// failed reports whether an outcome counts as a failure of the endpoint.
func failed(o policy.Outcome) bool {
	return o == policy.Failed || o == policy.TimedOut || o == policy.Unreachable || o == policy.Reset
}

// neverRan reports whether an outcome proves that the endpoint has not run the message.
func neverRan(o policy.Outcome) bool {
	return o == policy.Full || o == policy.Unreachable || o == policy.Moot
}
