package quota

import (
	"math"
	"time"

	"dunetide/internal/platform/link"
)

// KindAdmit is a call of a proxy to a store with an AdmitRequest, which is answered with an AdmitReply. The number is
// part of the wire format.
const KindAdmit link.Kind = 190

// Handles reports whether a message kind belongs to this package.
func Handles(kind link.Kind) bool { return kind == KindAdmit }

// Outcome is the answer of a store to a demand. Its values are part of the wire format.
type Outcome uint8

// Outcomes of a demand.
const (
	Granted  Outcome = 1 + iota // Granted tokens, maybe fewer than wanted, because the limit is reached
	NotOwner                    // the store does not count for the tenant, or is not yet certain that it does
)

// Limit is a tenant's limit as a configuration states it.
type Limit struct {
	ConfigVersion uint64  // of the configuration; a store follows the newest that it has seen
	RatePerSecond float64 // above 0
	Burst         float64
}

// Demand asks for tokens of a tenant.
type Demand struct {
	Tenant string
	Limit  Limit
	Wanted uint32
	// Refunds returns tokens that were granted before and not used.
	Refunds []Refund
}

// Refund returns tokens of one grant.
type Refund struct {
	Tokens uint32
	Grant  GrantID
}

// GrantID identifies a grant by the lead under which a store made it and when.
type GrantID struct {
	Lead uint64 // the incarnation of the lead
	AtMs uint64 // on the store's clock
}

// AdmitRequest is the body of KindAdmit.
type AdmitRequest struct{ Demands []Demand }

// Answer answers one demand.
type Answer struct {
	Outcome    Outcome
	Granted    uint32
	RetryAfter time.Duration // until the limit allows another request, or until the store may know more
	Grant      GrantID
}

// AdmitReply has one answer for each demand, in the same order.
type AdmitReply struct{ Answers []Answer }

const (
	// minDemandBytes is the least size of an encoded demand.
	minDemandBytes = 4 + 8 + 8 + 8 + 4 + 4
	refundBytes    = 4 + 8 + 8
	answerBytes    = 1 + 4 + 4 + 8 + 8
)

// Encode returns the encoding of a request.
func (m *AdmitRequest) Encode() []byte {
	size := 4
	for i := range m.Demands {
		size += minDemandBytes + len(m.Demands[i].Tenant) + refundBytes*len(m.Demands[i].Refunds)
	}
	w := link.Writer{Buf: make([]byte, 0, size)}
	w.U32(uint32(len(m.Demands)))
	for i := range m.Demands {
		d := &m.Demands[i]
		w.String(d.Tenant)
		w.U64(d.Limit.ConfigVersion)
		w.U64(math.Float64bits(d.Limit.RatePerSecond))
		w.U64(math.Float64bits(d.Limit.Burst))
		w.U32(d.Wanted)
		w.U32(uint32(len(d.Refunds)))
		for _, refund := range d.Refunds {
			w.U32(refund.Tokens)
			w.U64(refund.Grant.Lead)
			w.U64(refund.Grant.AtMs)
		}
	}
	return w.Buf
}

// ReadAdmitRequest decodes a request. It fails if the message is truncated.
func ReadAdmitRequest(body []byte) (*AdmitRequest, error) {
	r := link.Reader{Buf: body}
	m := &AdmitRequest{}
	for range r.Count(minDemandBytes) {
		d := Demand{Tenant: r.String()}
		d.Limit.ConfigVersion = r.U64()
		d.Limit.RatePerSecond = math.Float64frombits(r.U64())
		d.Limit.Burst = math.Float64frombits(r.U64())
		d.Wanted = r.U32()
		for range r.Count(refundBytes) {
			d.Refunds = append(d.Refunds, Refund{Tokens: r.U32(), Grant: GrantID{Lead: r.U64(), AtMs: r.U64()}})
		}
		m.Demands = append(m.Demands, d)
	}
	return m, r.Err
}

// Encode returns the encoding of a reply.
func (m *AdmitReply) Encode() []byte {
	w := link.Writer{Buf: make([]byte, 0, 4+answerBytes*len(m.Answers))}
	w.U32(uint32(len(m.Answers)))
	for _, a := range m.Answers {
		w.U8(uint8(a.Outcome))
		w.U32(a.Granted)
		w.U32(uint32(a.RetryAfter / time.Millisecond))
		w.U64(a.Grant.Lead)
		w.U64(a.Grant.AtMs)
	}
	return w.Buf
}

// ReadAdmitReply decodes a reply. It fails if the message is truncated.
func ReadAdmitReply(body []byte) (*AdmitReply, error) {
	r := link.Reader{Buf: body}
	m := &AdmitReply{}
	for range r.Count(answerBytes) {
		m.Answers = append(m.Answers, Answer{
			Outcome:    Outcome(r.U8()),
			Granted:    r.U32(),
			RetryAfter: time.Duration(r.U32()) * time.Millisecond,
			Grant:      GrantID{Lead: r.U64(), AtMs: r.U64()},
		})
	}
	return m, r.Err
}
