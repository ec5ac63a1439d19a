package keeper

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/control/certification"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/link"
)

const (
	certificatesPath = "/certificates"
	// confirmRead bounds a read of the certificates' register for those who ask whether theirs are the newest.
	confirmRead = 700 * time.Millisecond
	// confirmEvery is how far such reads are apart, however many ask.
	confirmEvery = 100 * time.Millisecond
)

// tellCertificates writes the lines of a change into the log: one for the version, and one for each certificate and route
// that it takes away or adds.
func (k *Keeper) tellCertificates(v *document, slot uint64) {
	s, err := certification.Parse(v.raw)
	if err != nil {
		k.log.Error("certificates unreadable", "version", v.version, "slot", slot, "err", err)
		return
	}
	k.log.Info("certificates in force", "version", v.version, "before", k.certificates.version, "slot", slot,
		"certificates", len(s.Certificates), "regulated_routes", len(s.Routes))
	if k.certificates.version == 0 {
		return
	}
	old, err := certification.Parse(k.certificates.raw)
	if err != nil {
		return // told when it came
	}
	certificates := func(what string, all, but []certification.Certificate) {
		for _, c := range all {
			if !slices.ContainsFunc(but, func(o certification.Certificate) bool { return c.Same(o) }) {
				k.log.Info(what, "version", v.version, "endpoint", c.Endpoint, "regime", c.Regime, "not_before", c.NotBefore, "not_after", c.NotAfter, "by", c.By)
			}
		}
	}
	certificates("certificate withdrawn", old.Certificates, s.Certificates)
	certificates("certificate added", s.Certificates, old.Certificates)
	routes := func(what string, all, but []certification.Route) {
		for _, r := range all {
			if !slices.Contains(but, r) {
				k.log.Info(what, "version", v.version, "route", r.Name, "regime", r.Regime)
			}
		}
	}
	routes("route no longer regulated so", old.Routes, s.Routes)
	routes("route regulated", s.Routes, old.Routes)
}

// putAnswer tells how far a document has come: whether all processes that are attached to any keeper that is connected have
// it in force, and within which time the others use none any more.
type putAnswer struct {
	Version  uint64 `json:"version"`
	InForce  bool   `json:"in_force"`
	WithinMs int64  `json:"within_ms"`
}

func (k *Keeper) putCertificates(w http.ResponseWriter, _ string, body []byte, r *http.Request) {
	version, ok := k.putDocument(w, r, certificatesDocument, body, func(b []byte) (uint64, error) {
		s, err := certification.Parse(b)
		if err != nil {
			return 0, err
		}
		return s.Version, nil
	})
	if !ok {
		return
	}
	k.log.Info("certificates put", "version", version, "from", r.RemoteAddr)
	out := putAnswer{Version: version, WithinMs: k.o.Settings.Bounds.Drain.Milliseconds()}
	replies := make(chan bool, peersMost+1)
	asked, _ := ask(k, func() int {
		msg := link.Writer{}
		msg.U64(version)
		n := 0
		for _, p := range k.peers {
			if p.conn == nil {
				continue
			}
			n++
			ch := p.conn.Go(controlclient.InForce, msg.B)
			go func() {
				reply := <-ch
				rd := link.Reader{B: reply.Body}
				replies <- rd.Bool() && reply.Err == nil && rd.Err == nil
			}()
		}
		n++
		k.untilInForce(version, func(in bool) { replies <- in })
		return n
	})
	out.InForce = asked > 0
	timeout := time.NewTimer(2 * k.o.PushWait)
	defer timeout.Stop()
	for range asked {
		select {
		case in := <-replies:
			out.InForce = out.InForce && in
		case <-timeout.C:
			out.InForce = false
		case <-k.ended:
			out.InForce = false
		}
		if !out.InForce {
			break
		}
	}
	w.Header().Set("Content-Type", "application/json")
	b, _ := json.Marshal(out) // numbers and a flag always marshal
	_, _ = w.Write(b)
}

// untilInForce calls back, from another goroutine, once all attached processes have a version in force, or the time is over.
func (k *Keeper) untilInForce(version uint64, then func(in bool)) {
	wt := &waiter{certificates: version, done: make(chan struct{})}
	k.wait(wt)
	go func() {
		select {
		case <-wt.done:
		case <-k.ended:
		}
		in, ok := ask(k, func() bool { return k.inForceAt(wt) })
		then(in && ok)
	}()
}

func (k *Keeper) inForceAsked(m *link.Message) {
	r := link.Reader{B: m.Body}
	version := r.U64()
	if r.Err != nil {
		m.Fail("%v", r.Err)
		return
	}
	k.untilInForce(version, func(in bool) {
		w := link.Writer{}
		w.Bool(in)
		m.Reply(w.B)
	})
}

func (k *Keeper) getCertificates(w http.ResponseWriter, _ string, _ []byte, _ *http.Request) {
	k.getDocument(w, certificatesRegister, http.StatusNotFound, "no certificates were ever put: nothing is regulated")
}

// confirmCertificates has a majority say what the newest certificates are, for all who asked before it begins, at most once in
// confirmEvery. They are pushed before those who asked are answered, on the same links.
func (k *Keeper) confirmCertificates() {
	delay, needed := k.certificateReads.Delay(k.since(time.Now()))
	if !needed {
		return
	}
	if delay > 0 {
		time.AfterFunc(delay, func() { k.do(k.confirmCertificates) })
		return
	}
	k.readCertificates()
}

func (k *Keeper) readCertificates() {
	if !k.certificateReads.Begin(k.since(time.Now())) {
		return
	}
	k.agree.read(certificatesRegister, confirmRead, func(s paxos.State, err error) {
		k.post(func() {
			if err == nil {
				k.decided(certificatesRegister, s)
				if k.dirty {
					k.pushAll()
				}
			}
			for _, m := range k.certificateReads.Done() {
				k.confirmFor(m, err == nil)
			}
			k.confirmCertificates()
		})
	})
}

// confirmFor answers one who asked whether the certificates that it was pushed are the newest. One that was not pushed
// them, as it has yet to acknowledge too much or there is no contact, may not take the answer for theirs.
func (k *Keeper) confirmFor(m *link.Message, read bool) {
	p := k.attached[m.Conn]
	if !read || p == nil || !k.contact.MayHandOut(k.since(time.Now()), m.Conn) || p.certificates < k.certificates.version {
		m.Fail("no majority confirms the certificates")
		return
	}
	m.Reply(nil)
}
