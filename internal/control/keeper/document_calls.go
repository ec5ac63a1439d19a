package keeper

import (
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/control/operatorconfig"
)

// putConfig answers PUT /config: 200 once a majority of the voters has the configuration on disk and the attached
// processes have it in force. It waits for the processes for Options.PushWait at most.
func (k *Keeper) putConfig(w http.ResponseWriter, _ string, body []byte, r *http.Request) {
	version, ok := k.putDocument(w, r, configDocument, body, parseConfigVersion)
	if !ok {
		return
	}
	waiter := newAckWaiter()
	waiter.configVersion = version
	k.submit(func() { k.addWaiter(waiter) })
	select {
	case <-waiter.done:
	case <-k.ended: // the configuration is decided nevertheless
	}
	answerJSON(w, []byte("{}"))
}

// parseConfigVersion checks a configuration and returns its version.
func parseConfigVersion(body []byte) (uint64, error) {
	config, err := operatorconfig.Parse(body)
	if err != nil {
		return 0, err
	}
	return config.Version, nil
}

// getConfig answers GET /config with the newest configuration, as the operator sent it.
func (k *Keeper) getConfig(w http.ResponseWriter, _ string, _ []byte, _ *http.Request) {
	k.getDocument(w, configRegister, http.StatusServiceUnavailable, "no configuration was taken yet: put one first")
}

// putDocument proposes a document and returns its version once it is decided. If !ok, it has answered the call with an
// error.
func (k *Keeper) putDocument(
	w http.ResponseWriter, r *http.Request, kind documentKind, body []byte, parse func([]byte) (uint64, error),
) (version uint64, ok bool) {
	base, err := parseIfMatch(r.Header.Get("If-Match"))
	if err != nil {
		refuse(w, http.StatusBadRequest,
			"If-Match: must be the number of the version that this builds on, 0 for the first")
		return 0, false
	}
	if version, err = parse(body); err != nil {
		return k.putInvalid(w, kind, body, err)
	}
	request := documentPut{version: version, base: base, raw: body}
	if err := k.proposeDocument(request, kind); err != nil {
		k.log.Info("document refused", "register", kind.register, "version", version, "base", base, "err", err)
		refuse(w, putStatus(err), err.Error())
		return 0, false
	}
	return version, true
}

// putInvalid handles a put of a document that the parser of this program version rejects. An earlier program version
// with a less strict parser may have accepted it: then this is a repeat, which is never refused, and putInvalid returns
// the accepted version. A keeper that can't read the newest document rejects only what isn't JSON, as no program
// version has ever accepted that.
func (k *Keeper) putInvalid(
	w http.ResponseWriter, kind documentKind, body []byte, invalid error,
) (version uint64, ok bool) {
	if !json.Valid(body) {
		refuse(w, http.StatusBadRequest, invalid.Error())
		return 0, false
	}
	newest, err := k.readNewestDocument(kind.register)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, err.Error())
		return 0, false
	}
	if version, ok = newest.acceptedAs(sha256.Sum256(body)); ok {
		return version, true
	}
	refuse(w, http.StatusBadRequest, invalid.Error())
	return 0, false
}

// parseIfMatch reads the version in an If-Match header, with or without quotes.
func parseIfMatch(header string) (uint64, error) {
	return strconv.ParseUint(strings.Trim(strings.TrimSpace(header), `"`), 10, 64)
}

// proposeDocument proposes a document to the voters. If the error is nil, the document is in force, or was in force and
// has been superseded.
func (k *Keeper) proposeDocument(request documentPut, kind documentKind) error {
	done := make(chan error, 1)
	k.registers.propose(kind.register, proposeTimeout, request.change(kind), func(decided paxos.State, err error) {
		if err == nil {
			k.broadcastDecided(kind.register, decided)
		}
		done <- err
	})
	return k.awaitResult(done)
}

// awaitResult waits for the result of an operation on a register.
func (k *Keeper) awaitResult(done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-k.ended:
		return errShuttingDown
	}
}

// getDocument answers with the newest document of a register, or with noneStatus and noneReason if none has been put.
func (k *Keeper) getDocument(w http.ResponseWriter, register string, noneStatus int, noneReason string) {
	known := k.registers.knownDocumentVersion(register)
	newest, err := k.readNewestDocument(register)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	checkReadNotOlder(register, known, newest.version)
	if newest.version == 0 {
		refuse(w, noneStatus, noneReason)
		return
	}
	answerJSON(w, newest.raw)
}

// readNewestDocument returns the newest document of a register, as a majority confirms it.
func (k *Keeper) readNewestDocument(register string) (*document, error) {
	state, err := k.readRegister(register)
	if err != nil {
		return nil, err
	}
	return decodeDocument(state.Value)
}

// readRegister returns the newest state of a register, as a majority confirms it.
func (k *Keeper) readRegister(register string) (paxos.State, error) {
	var state paxos.State
	done := make(chan error, 1)
	k.registers.read(register, proposeTimeout, func(newest paxos.State, err error) {
		state = newest
		done <- err
	})
	if err := k.awaitResult(done); err != nil {
		return paxos.State{}, err
	}
	return state, nil
}
