package wire

import (
	"bytes"
	"encoding/binary"
	"math"
	"reflect"
	"testing"

	"dunetide/internal/lab/golden"
	"dunetide/policy"
)

// goldenEvents returns one event of each code, with every field nonzero.
func goldenEvents() []Event {
	report := Report{Count: 3, Values: [4]float32{1.5, 2.25, 3.125, 4.0625}}
	const endpoint = 0x0a124a07_2bc3
	return []Event{
		{Code: CodeFirst, Tid: 0x0102030405060708, Attempt: 9, TimeTakenUs: 0x0a0b0c0d, Endpoint: endpoint},
		{Code: CodePage, List: 7, Entries: []Entry{
			{Zone: 0x0102, Endpoint: endpoint, Kind: 0x0304, Destination: 0x0506, State: 1, Share: 7.5, ReadyAtUs: 0x08090a0b0c0d0e0f},
			{Zone: 0x1112, Endpoint: endpoint + 1, Kind: 0x1314, Destination: 0x1516, State: 2, Share: 8.5, ReadyAtUs: 0x18191a1b1c1d1e1f},
		}},
		{Code: CodeStop},
		{Code: CodeAborted, Tid: 0x1112131415161718},
		{Code: CodeSelect, Instance: 0x2122},
		{Code: CodeFromPeer, Peer: 0x31323334, Data: []byte("from a peer")},
		{Code: CodeDone, Tid: 0x4142434445464748, HoldMs: 0x494a4b4c, Result: ResultTimeout, Attempt: 0x4d, Endpoint: endpoint, Final: true,
			TimeTakenUs: 0x4e4f5051, Report: report},
		{Code: CodeIngress, Tid: 0x5152535455565758, Destination: 57, Class: 0x59, Key: 0x5a5b5c5d5e5f6061, Marks: 0x62,
			GiveUpAtUs: 0x636465666768696a, WeightHintUs: 0x6b6c6d6e, Tenant: 0x6f707172},
		{Code: CodeBorn, Seed: 0x7172737475767778, Data: []byte("{settings}")},
		{Code: CodeWakeup, Token: 0x8182838485868788},
		{Code: CodeFleet, Kind: FleetFailed, Version: 0x9192939495969798, List: 5},
		{Code: CodePingResult, Endpoint: endpoint, Result: ResultReset, TimeTakenUs: 0xa1a2a3a4, Report: report},
	}
}

// appendBatch encodes a batch as the simulator does. The package itself only decodes batches.
func appendBatch(b Batch) []byte {
	le := binary.LittleEndian
	var records, tail []byte
	span := func(rec, data []byte, n int) []byte {
		rec = le.AppendUint32(le.AppendUint32(rec, uint32(len(tail))), uint32(n))
		tail = append(tail, data...)
		return rec
	}
	report := func(rec []byte, r Report) []byte {
		rec = append(rec, r.Count)
		for _, v := range r.Values {
			rec = le.AppendUint32(rec, math.Float32bits(v))
		}
		return rec
	}
	for _, e := range b.Events {
		rec := []byte{e.Code}
		switch e.Code {
		case CodeFirst:
			rec = appendEndpoint(le.AppendUint32(append(le.AppendUint64(rec, e.Tid), e.Attempt), e.TimeTakenUs), e.Endpoint)
		case CodePage:
			var entries []byte
			for _, x := range e.Entries {
				entries = appendEndpoint(le.AppendUint16(entries, x.Zone), x.Endpoint)
				entries = append(le.AppendUint16(le.AppendUint16(entries, x.Kind), x.Destination), x.State)
				entries = le.AppendUint64(le.AppendUint32(entries, math.Float32bits(x.Share)), x.ReadyAtUs)
			}
			rec = span(le.AppendUint32(rec, e.List), entries, len(e.Entries))
		case CodeAborted:
			rec = le.AppendUint64(rec, e.Tid)
		case CodeSelect:
			rec = le.AppendUint16(rec, e.Instance)
		case CodeFromPeer:
			rec = span(le.AppendUint32(rec, e.Peer), e.Data, len(e.Data))
		case CodeDone:
			rec = append(le.AppendUint16(le.AppendUint32(le.AppendUint64(rec, e.Tid), e.HoldMs), e.Result), e.Attempt)
			rec = append(appendEndpoint(rec, e.Endpoint), 1)
			rec = report(le.AppendUint32(rec, e.TimeTakenUs), e.Report)
		case CodeIngress:
			rec = append(le.AppendUint32(le.AppendUint64(rec, e.Tid), math.Float32bits(e.Destination)), e.Class)
			rec = le.AppendUint64(append(le.AppendUint64(rec, e.Key), e.Marks), e.GiveUpAtUs)
			rec = le.AppendUint32(le.AppendUint32(rec, e.WeightHintUs), e.Tenant)
		case CodeBorn:
			rec = span(le.AppendUint64(rec, e.Seed), e.Data, len(e.Data))
		case CodeWakeup:
			rec = le.AppendUint64(rec, e.Token)
		case CodeFleet:
			rec = le.AppendUint32(le.AppendUint64(append(rec, e.Kind), e.Version), e.List)
		case CodePingResult:
			rec = le.AppendUint32(le.AppendUint16(appendEndpoint(rec, e.Endpoint), e.Result), e.TimeTakenUs)
			rec = report(rec, e.Report)
		}
		records = append(records, append(rec, make([]byte, eventSize-len(rec))...)...)
	}
	head := le.AppendUint32(nil, b.Number)
	head = le.AppendUint32(head, uint32(batchHeader-8+len(records)+len(tail)))
	head = le.AppendUint32(le.AppendUint64(head, b.NowUs), uint32(len(b.Events)))
	return append(append(head, records...), tail...)
}

// A recorded batch with each kind of event is decoded to the same events.
func TestGoldenBatch(t *testing.T) {
	want := Batch{Number: 0x01020304, NowUs: 0x05060708090a0b0c, Events: goldenEvents()}
	golden.Compare(t, "batch", appendBatch(want))
	got, err := ReadBatch(bytes.NewReader(golden.Read(t, "batch")))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read\n%+v\nwant\n%+v", got, want)
	}
	golden.Compare(t, "batch", appendBatch(got))
}

// A reply with each kind of action has the same encoding as in an earlier version.
func TestGoldenReplyOfAllActions(t *testing.T) {
	var actions []Action
	for code := uint8(CodeRetract); code <= CodeFail; code++ {
		if code == CodeSubscribe {
			actions = append(actions, Action{Code: code})
		}
		a := golden.Filled[Action]()
		a.Code = code
		actions = append(actions, a)
	}
	got, err := AppendReply(nil, 0x01020304, actions)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "reply", got)
}

// A recorded note to the other senders is decoded to the same values and encoded to the same bytes.
func TestGoldenNote(t *testing.T) {
	want := policy.SendNote{News: 2, Tag: 0x1234}
	golden.Compare(t, "note", EncodeNote(want))
	got, ok := DecodeNote(golden.Read(t, "note"))
	if !ok || got.News != want.News || got.Tag != want.Tag {
		t.Errorf("read %+v, %v", got, ok)
	}
}

// Recorded settings with every key that is used are decoded to the same values.
func TestGoldenSettings(t *testing.T) {
	got, err := DecodeSettings(golden.Read(t, "settings.json"))
	if err != nil {
		t.Fatal(err)
	}
	if want := goldenSettings(); !reflect.DeepEqual(got, want) {
		t.Errorf("read\n%+v\nwant\n%+v", got, want)
	}
}

// goldenSettings returns the content of testdata/golden/settings.json.
func goldenSettings() policy.Settings {
	return policy.Settings{
		Senders: 2,
		Classes: []policy.Class{
			{Repeat: policy.Deduplicated, GroupZone: true, Window: us(15000003), Ordered: true, Aim: us(2500001), Deadline: us(24000002),
				Worth: 2.5, LateWorth: 0.25},
			{Repeat: policy.AtMostOnce, GroupAll: true, Window: us(15000006), Aim: us(2500004), Deadline: us(24000005), Worth: 3.5, LateWorth: 0.125},
			{Repeat: policy.Idempotent},
		},
		Kinds:          []policy.Kind{{RoutesApart: true, BundleMax: 5}, {BundleMax: 7}, {BundleMax: 1}},
		MustSubscribe:  true,
		ZoneFee:        []float64{0.0625, 0.5},
		Listing:        policy.RateRough,
		Reported:       []string{"x0", "x1"},
		HalvesLate:     true,
		Slots:          8,
		MaxHeld:        4,
		MaxAttempts:    6,
		MayTell:        true,
		MaxWait:        us(2000007),
		AdviseWait:     true,
		ConnectTimeout: us(1000008),
		Tick:           us(5013),
		DrainGrace:     us(1000009),
		ColdShare:      0.21,
		WarmUp:         us(14000010),
		FallMultiple:   2.5,
		FallWindow:     us(1500011),
		TurnGap:        us(1200012),
	}
}
