package audit

import (
	"time"

	"dunetide/internal/platform/link"
)

// The kinds of entries, which are their first byte. Their encodings are in files and messages and must not change.
const (
	entryFileStart    = 1 // chain, number of the file in it, from 1
	entryCertificates = 2 // version, the text of the certificates as submitted
	entryRunStarted   = 3 // key, run
	entryRunEnded     = 4 // key, end time (Unix nanoseconds), outcome
)

func fileStartEntry(chain, number uint64) []byte {
	w := link.Writer{}
	w.U8(entryFileStart)
	w.U64(chain)
	w.U64(number)
	return w.Buf
}

func certificatesEntry(version uint64, text []byte) []byte {
	w := link.Writer{}
	w.U8(entryCertificates)
	w.U64(version)
	w.Bytes(text)
	return w.Buf
}

func runStartedEntry(key runKey, run Run) []byte {
	w := link.Writer{}
	w.U8(entryRunStarted)
	writeKey(&w, key)
	w.String(run.ID)
	w.String(run.Route)
	w.String(run.Regime)
	w.String(run.Endpoint)
	w.U64(run.CertificatesVersion)
	w.Bool(run.BatchItem)
	w.Bool(run.Idempotent)
	w.String(run.ResumeAfter)
	writeTime(&w, run.StartedAt)
	return w.Buf
}

func runEndedEntry(key runKey, at time.Time, outcome Outcome) []byte {
	w := link.Writer{}
	w.U8(entryRunEnded)
	writeKey(&w, key)
	writeTime(&w, at)
	w.U8(uint8(outcome))
	return w.Buf
}

func writeKey(w *link.Writer, key runKey) {
	w.String(key.proxy)
	w.U64(key.incarnation)
	w.U64(key.number)
}

func readKey(r *link.Reader) runKey {
	return runKey{proxy: r.String(), incarnation: r.U64(), number: r.U64()}
}

func readRun(r *link.Reader) Run {
	return Run{
		ID:                  r.String(),
		Route:               r.String(),
		Regime:              r.String(),
		Endpoint:            r.String(),
		CertificatesVersion: r.U64(),
		BatchItem:           r.Bool(),
		Idempotent:          r.Bool(),
		ResumeAfter:         r.String(),
		StartedAt:           readTime(r),
	}
}

func writeTime(w *link.Writer, at time.Time) { w.Int(int(at.UnixNano())) }

func readTime(r *link.Reader) time.Time { return time.Unix(0, int64(r.Int())).UTC() }
