package paxos

import (
	"encoding/hex"
	"reflect"
	"strings"
	"testing"

	"dunetide/internal/lab/golden"
	"dunetide/internal/platform/link"
)

// testGolden compares the encoding of a value with the bytes of a file, and checks that the decoded bytes encode to the
// same bytes again. The files never change: they are the formats that running nodes send and have on their disks.
func testGolden(t *testing.T, name string, encode func() []byte, again func(b []byte) []byte) {
	t.Helper()
	file := name + ".hex"
	golden.Compare(t, file, hexLine(encode()))
	want, err := hex.DecodeString(strings.TrimSpace(string(golden.Read(t, file))))
	if err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	golden.Compare(t, file, hexLine(again(want)))
}

func hexLine(b []byte) []byte { return []byte(hex.EncodeToString(b) + "\n") }

// goldenState has a distinct value in each field.
func goldenState() State {
	return State{
		Slot: 0x0102030405060708,
		Voters: []Voter{
			{ID: 0x1112131415161718, Name: "machine-1", Addr: "10.0.0.1:7101"},
			{ID: 0x2122232425262728, Name: "machine-2", Addr: "10.0.0.2:7102"},
			{ID: 0x3132333435363738, Name: "machine-3", Addr: "10.0.0.3:7103"},
		},
		Value:            []byte("the value\x00\xff"),
		recentOperations: []operationID{{0x4142434445464748, 0x5152535455565758}, {0x6162636465666768, 0x7172737475767778}},
	}
}

// TestGoldenState pins the encoding of a State within messages, saved records and the keeper's files.
func TestGoldenState(t *testing.T) {
	encode := func(s State) []byte {
		w := &link.Writer{}
		s.Append(w)
		return w.Buf
	}
	testGolden(t, "state", func() []byte { return encode(goldenState()) }, func(b []byte) []byte {
		r := &link.Reader{Buf: b}
		s := ReadState(r)
		if r.Err != nil || len(r.Buf) != 0 || !reflect.DeepEqual(s, goldenState()) {
			t.Errorf("read as %+v, %v, %d bytes left", s, r.Err, len(r.Buf))
		}
		return encode(s)
	})
}

// TestGoldenMessages pins the encoding of each kind of message between registers.
func TestGoldenMessages(t *testing.T) {
	files := map[messageKind]string{
		messageQuery:      "query",
		messageQueryReply: "told",
		messagePrepare:    "prepare",
		messagePromise:    "promise",
		messageAccept:     "accept",
		messageAccepted:   "accepted",
		messageReject:     "reject",
		messageDecided:    "decided",
		messageProgress:   "have",
	}
	for kind, file := range files {
		m := message{
			kind:     kind,
			sender:   0x8182838485868788,
			slot:     0x9192939495969798,
			number:   ProposalNumber{0xa1a2a3a4a5a6a7a8, 0xb1b2b3b4b5b6b7b8},
			reported: ProposalNumber{0xc1c2c3c4c5c6c7c8, 0xd1d2d3d4d5d6d7d8},
		}
		if kind == messageAccept || kind == messageDecided || kind == messagePromise {
			m.state = goldenState()
		}
		testGoldenMessage(t, "message-"+file, m)
	}
	testGoldenMessage(t, "message-promise-nothing-accepted", message{
		kind:   messagePromise,
		sender: 0x8182838485868788,
		slot:   0x9192939495969798,
		number: ProposalNumber{0xa1a2a3a4a5a6a7a8, 0xb1b2b3b4b5b6b7b8},
	})
}

func testGoldenMessage(t *testing.T, file string, m message) {
	t.Helper()
	const register = "config"
	testGolden(t, file, func() []byte { return m.encode(register) }, func(b []byte) []byte {
		name, got, err := decodeMessage(b)
		if err != nil || name != register || !reflect.DeepEqual(got, m) {
			t.Errorf("%s: read as %q, %+v, %v", file, name, got, err)
		}
		if name, ok := RegisterName(b); !ok || name != register {
			t.Errorf("%s: for register %q, %v", file, name, ok)
		}
		return got.encode(name)
	})
}

// TestGoldenRecords pins the encoding of each kind of saved record, and loads it as a node does at its start.
func TestGoldenRecords(t *testing.T) {
	low := ProposalNumber{0xa1a2a3a4a5a6a7a8, 0xb1b2b3b4b5b6b7b8}
	high := ProposalNumber{0xc1c2c3c4c5c6c7c8, 0xd1d2d3d4d5d6d7d8}
	next := goldenState()
	next.Slot++
	next.Value = []byte("the next value")
	load := func(t *testing.T, saved ...[]byte) *Register {
		t.Helper()
		r, err := New(Options{
			Name:       "config",
			ID:         goldenState().Voters[0].ID,
			ProposerID: 1,
			Send:       func(Voter, []byte) {},
		}, saved)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	start := encodeDecided(goldenState())
	testGolden(t, "saved-decided", func() []byte { return encodeDecided(goldenState()) }, func(b []byte) []byte {
		r := load(t, b)
		if s, known := r.State(); !known || !reflect.DeepEqual(s, goldenState()) {
			t.Errorf("decided: %+v, %v", s, known)
		}
		return r.Snapshot()[0]
	})
	testGolden(t, "saved-accepted", func() []byte { return encodeAccepted(low, next) }, func(b []byte) []byte {
		r := load(t, start, b)
		if r.acceptedNumber != low || r.promised != low || !reflect.DeepEqual(r.acceptedState, next) {
			t.Errorf("accepted: %v, promised %v, %+v", r.acceptedNumber, r.promised, r.acceptedState)
		}
		return r.Snapshot()[1]
	})
	testGolden(t, "saved-promise", func() []byte { return encodePromise(next.Slot, high) }, func(b []byte) []byte {
		r := load(t, start, b)
		if r.acceptedNumber != (ProposalNumber{}) || r.promised != high {
			t.Errorf("promise: accepted %v, promised %v", r.acceptedNumber, r.promised)
		}
		return r.Snapshot()[1]
	})
	testGolden(t, "saved-chosen", func() []byte { return encodeChosen(next.Slot, low) }, func(b []byte) []byte {
		accepted := load(t, start, encodeAccepted(low, next))
		short := accepted.decidedRecord(next)
		r := load(t, start, encodeAccepted(low, next), b)
		if s, known := r.State(); !known || !reflect.DeepEqual(s, next) {
			t.Errorf("chosen: %+v, %v", s, known)
		}
		return short
	})
}
