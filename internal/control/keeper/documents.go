package keeper

import (
	"net/http"
	"strconv"
	"strings"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/operatorconfig"
)

// putDocument has an order decided and tells its version. Not ok: it was not confirmed, and the answer is given.
func (k *Keeper) putDocument(w http.ResponseWriter, r *http.Request, of documentKind, body []byte, parse func([]byte) (uint64, error)) (uint64, bool) {
	base, err := strconv.ParseUint(strings.Trim(strings.TrimSpace(r.Header.Get("If-Match")), `"`), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "If-Match: must be the number of the version that this builds on, 0 for the first")
		return 0, false
	}
	version, err := parse(body)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return 0, false
	}
	order := documentOrder{version: version, base: base, raw: body}
	if err := k.proposeOrder(order, of); err != nil {
		k.log.Info("document refused", "register", of.register, "version", version, "base", base, "err", err)
		refuse(w, statusOf(err), err.Error())
		return 0, false
	}
	return version, true
}

// proposeOrder has an order decided; nil: it is in force, or was before its successors.
func (k *Keeper) proposeOrder(order documentOrder, of documentKind) error {
	done := make(chan error, 1)
	k.agree.propose(of.register, proposeWait, order.change(of), func(s paxos.State, err error) {
		if err == nil {
			k.spread(of.register, s)
		}
		done <- err
	})
	return k.await(done)
}

// await waits for what the registers' goroutine makes of a proposal.
func (k *Keeper) await(done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-k.ended:
		return errStops
	}
}

// readRegister gives the newest State of a register, as a majority confirms it.
func (k *Keeper) readRegister(register string) (paxos.State, error) {
	var state paxos.State
	done := make(chan error, 1)
	k.agree.read(register, proposeWait, func(s paxos.State, err error) {
		state = s
		done <- err
	})
	if err := k.await(done); err != nil {
		return paxos.State{}, err
	}
	return state, nil
}

// readNewest gives the newest document of a register.
func (k *Keeper) readNewest(register string) (*document, error) {
	s, err := k.readRegister(register)
	if err != nil {
		return nil, err
	}
	return readDocument(s.Value)
}

func (k *Keeper) putConfig(w http.ResponseWriter, _ string, body []byte, r *http.Request) {
	version, ok := k.putDocument(w, r, configDocument, body, func(b []byte) (uint64, error) {
		c, err := operatorconfig.Parse(b)
		if err != nil {
			return 0, err
		}
		return c.Version, nil
	})
	if !ok {
		return
	}
	wt := &waiter{config: version, done: make(chan struct{})}
	k.do(func() { k.wait(wt) })
	select {
	case <-wt.done:
	case <-k.ended: // it is decided all the same
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte("{}"))
}

// spread tells all other keepers of a decided state, also those who have no vote.
func (k *Keeper) spread(name string, s paxos.State) {
	body := learnBody(name, s)
	for _, l := range k.links() {
		if l.conn != nil {
			_ = l.conn.Send(controlclient.Learn, body)
		}
	}
}

// getDocument answers with the newest document of a register.
func (k *Keeper) getDocument(w http.ResponseWriter, register string, none int, why string) {
	known := k.agree.knownVersion(register)
	v, err := k.readNewest(register)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	checkRead(register, known, v.version)
	if v.version == 0 {
		refuse(w, none, why)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(v.raw)
}

func (k *Keeper) getConfig(w http.ResponseWriter, _ string, _ []byte, _ *http.Request) {
	k.getDocument(w, configRegister, http.StatusServiceUnavailable, "no configuration was taken yet: put one first")
}
