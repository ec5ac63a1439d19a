package keeper

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"dunetide/internal/control/certification"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/link"
)

const certificatesPath = "/certificates"

// putCertificatesAnswer is the body of the answer to PUT /certificates.
type putCertificatesAnswer struct {
	Version uint64 `json:"version"`
	// InForce reports whether all processes attached to any connected keeper have the document in force.
	InForce bool `json:"in_force"`
	// WithinMs is the time after which no other process uses an older document either.
	WithinMs int64 `json:"within_ms"`
}

// putCertificates answers PUT /certificates, see putCertificatesAnswer.
func (k *Keeper) putCertificates(w http.ResponseWriter, _ string, body []byte, r *http.Request) {
	version, ok := k.putDocument(w, r, certificatesDocument, body, parseCertificatesVersion)
	if !ok {
		return
	}
	k.log.Info("certificates put", "version", version, "from", r.RemoteAddr)
	answer := putCertificatesAnswer{
		Version:  version,
		InForce:  k.awaitInForce(version),
		WithinMs: k.options.Settings.Bounds.Drain.Milliseconds(),
	}
	b, _ := json.Marshal(answer) // numbers and booleans always marshal
	answerJSON(w, b)
}

// parseCertificatesVersion checks a certificates document and returns its version.
func parseCertificatesVersion(body []byte) (uint64, error) {
	set, err := certification.Parse(body)
	if err != nil {
		return 0, err
	}
	return set.Version, nil
}

// getCertificates answers GET /certificates with the newest document, as the operator sent it.
func (k *Keeper) getCertificates(w http.ResponseWriter, _ string, _ []byte, _ *http.Request) {
	k.getDocument(w, certificatesRegister, http.StatusNotFound,
		"no certificates were ever put: nothing is regulated")
}

// awaitInForce waits until all processes attached to any connected keeper have a version of the certificates in force.
// It returns false when one of these keepers answers that they don't, or on a timeout.
func (k *Keeper) awaitInForce(version uint64) bool {
	answers := make(chan bool, maxPeers+1)
	expected, _ := query(k, func() int { return k.requestInForce(version, answers) })
	timeout := time.NewTimer(2 * k.options.PushWait)
	defer timeout.Stop()
	for range expected {
		inForce := false
		select {
		case inForce = <-answers:
		case <-timeout.C:
		case <-k.ended:
		}
		if !inForce {
			return false
		}
	}
	return expected > 0
}

// requestInForce asks all connected keepers, and this one, whether their processes have a version in force. It returns
// the number of answers to expect.
func (k *Keeper) requestInForce(version uint64, answers chan<- bool) (expected int) {
	request := link.Writer{}
	request.U64(version)
	for _, p := range k.peers {
		if p.conn == nil {
			continue
		}
		expected++
		reply := p.conn.Go(controlclient.KindCertificatesInForce, request.Buf)
		go func() { // it ends with the link at the latest
			answer := <-reply
			r := link.Reader{Buf: answer.Body}
			answers <- r.Bool() && answer.Err == nil && r.Err == nil
		}()
	}
	k.whenInForce(version, func(inForce bool) { answers <- inForce })
	return expected + 1
}

// handleInForce answers another keeper once the processes attached here have a version in force, or on a timeout.
func (k *Keeper) handleInForce(m *link.Message) {
	r := link.Reader{Buf: m.Body}
	version := r.U64()
	if r.Err != nil {
		m.Fail("%v", r.Err)
		return
	}
	k.whenInForce(version, func(inForce bool) {
		w := link.Writer{}
		w.Bool(inForce)
		m.Reply(w.Buf)
	})
}

// whenInForce calls done, from another goroutine, once all processes attached here have a version of the certificates
// in force, or once the waiter times out.
func (k *Keeper) whenInForce(version uint64, done func(inForce bool)) {
	waiter := newAckWaiter()
	waiter.certificatesVersion = version
	k.addWaiter(waiter)
	go func() { // it ends with the waiter or the keeper
		select {
		case <-waiter.done:
		case <-k.ended:
		}
		inForce, ok := query(k, func() bool { return k.inForceEverywhere(waiter) })
		done(inForce && ok)
	}()
}

// logCertificateChange logs a change of the certificates: a line for the version, and a line for each certificate and
// route that it removes or adds.
func (k *Keeper) logCertificateChange(decided *document, slot uint64) {
	set, err := certification.Parse(decided.raw)
	if err != nil {
		k.log.Error("certificates unreadable", "version", decided.version, "slot", slot, "err", err)
		return
	}
	k.log.Info("certificates in force", "version", decided.version, "before", k.certificates.version, "slot", slot,
		"certificates", len(set.Certificates), "regulated_routes", len(set.Routes))
	if k.certificates.version == 0 {
		return
	}
	old, err := certification.Parse(k.certificates.raw)
	if err != nil {
		return // logged when that version was applied
	}
	k.logCertificates("certificate withdrawn", decided.version, old.Certificates, set.Certificates)
	k.logCertificates("certificate added", decided.version, set.Certificates, old.Certificates)
	k.logRoutes("regulated route removed", decided.version, old.Routes, set.Routes)
	k.logRoutes("regulated route added", decided.version, set.Routes, old.Routes)
}

// logCertificates logs the certificates that aren't among others.
func (k *Keeper) logCertificates(event string, version uint64, certificates, others []certification.Certificate) {
	for _, c := range certificates {
		if !slices.ContainsFunc(others, func(other certification.Certificate) bool { return c.Equal(other) }) {
			k.log.Info(event, "version", version, "endpoint", c.Endpoint, "regime", c.Regime,
				"not_before", c.NotBefore, "not_after", c.NotAfter, "by", c.Issuer)
		}
	}
}

// logRoutes logs the regulated routes that aren't among others.
func (k *Keeper) logRoutes(event string, version uint64, routes, others []certification.Route) {
	for _, route := range routes {
		if !slices.Contains(others, route) {
			k.log.Info(event, "version", version, "route", route.Name, "regime", route.Regime)
		}
	}
}
