package batch

import "dunetide/internal/platform/link"

// recordingPipe records the kinds of messages that are sent over it.
type recordingPipe struct{ kinds []link.Kind }

func (p *recordingPipe) Send(kind link.Kind, _ []byte) error {
	p.kinds = append(p.kinds, kind)
	return nil
}

// encodeNumbers encodes a message between stores, or its beginning: a partition and numbers.
func encodeNumbers(partition int, numbers ...uint64) []byte {
	return encodeTermMessage(0, partition, numbers...).Buf
}

// reservationOf encodes a reservation of tokens of route "b".
func reservationOf(partition int, incarnation, number uint64, tokens, maxTokens int) []byte {
	w := encodeQuotaMessage("b", partition, incarnation, 24)
	w.U64(number)
	w.Int(tokens)
	w.Int(maxTokens)
	return w.Buf
}

// usageReportOf encodes a report of the usage of route "b".
func usageReportOf(partition int, incarnation, epoch, version uint64, tokens int, resolved uint64) []byte {
	w := encodeQuotaMessage("b", partition, incarnation, 32)
	w.U64(epoch)
	w.U64(version)
	w.Int(tokens)
	w.U64(resolved)
	return w.Buf
}

// reservationReplyOf encodes the owner's answer to a reservation of tokens of route "b".
func reservationReplyOf(partition int, incarnation, number uint64, code uint8, owner uint64) []byte {
	w := encodeQuotaMessage("b", partition, incarnation, 17)
	w.U64(number)
	w.U8(code)
	w.U64(owner)
	return w.Buf
}

// testState returns a state of a lead that lists no processes.
func testState(incarnation, sequence uint64) *leadState {
	return &leadState{incarnation: incarnation, sequence: sequence, term: incarnation, state: []byte("state")}
}

// leadStateOf encodes kindLeadState.
func leadStateOf(partition int, term, session, sequence uint64) []byte {
	w := encodeTermMessage(0, partition, term, session)
	s := testState(term, sequence)
	s.processes = []storeProcess{{1, 2}, {3, 4}}
	s.appendTo(&w)
	return w.Buf
}

// leadReportOf encodes kindLeadReport.
func leadReportOf(partition int, term, session uint64) []byte {
	w := encodeTermMessage(0, partition, term, session, 99, 500, term-1)
	w.Bool(true)
	testState(term-1, 7).appendTo(&w)
	return w.Buf
}
