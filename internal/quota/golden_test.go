package quota

import (
	"reflect"
	"testing"
	"time"

	"dunetide/internal/lab/golden"
)

// TestGoldenMessages guards against a change of the wire: during a rollout, processes of two versions run in one tier.
func TestGoldenMessages(t *testing.T) {
	request := &AdmitRequest{Demands: []Demand{
		{
			Tenant:  "banco",
			Limit:   Limit{ConfigVersion: 7, RatePerSecond: 119, Burst: 120},
			Wanted:  3,
			Refunds: []Refund{{Tokens: 2, Grant: GrantID{Lead: 0x10001, AtMs: 4321}}},
		},
		{Tenant: "sala", Limit: Limit{ConfigVersion: 8, RatePerSecond: 0.5}, Wanted: 1},
	}}
	golden.Compare(t, "admit-request.bin", request.Encode())
	if got, err := ReadAdmitRequest(golden.Read(t, "admit-request.bin")); err != nil || !reflect.DeepEqual(got, request) {
		t.Errorf("read as %+v, %v", got, err)
	}
	reply := &AdmitReply{Answers: []Answer{
		{Outcome: Granted, Granted: 2, RetryAfter: 9 * time.Millisecond, Grant: GrantID{Lead: 0x10001, AtMs: 5000}},
		{Outcome: NotOwner, RetryAfter: 50 * time.Millisecond},
	}}
	golden.Compare(t, "admit-reply.bin", reply.Encode())
	if got, err := ReadAdmitReply(golden.Read(t, "admit-reply.bin")); err != nil || !reflect.DeepEqual(got, reply) {
		t.Errorf("read as %+v, %v", got, err)
	}
}

// TestTruncatedMessagesAreRefused guards against demands that are read from half a message.
func TestTruncatedMessagesAreRefused(t *testing.T) {
	for _, name := range []string{"admit-request.bin", "admit-reply.bin"} {
		whole := golden.Read(t, name)
		for n := range len(whole) {
			_, err := ReadAdmitRequest(whole[:n])
			if name == "admit-reply.bin" {
				_, err = ReadAdmitReply(whole[:n])
			}
			if err == nil {
				t.Errorf("%s: %d of %d bytes are accepted", name, n, len(whole))
			}
		}
	}
}
