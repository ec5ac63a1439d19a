package keeper

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"dunetide/internal/platform/clientbody"
)

const (
	// largeBodyBytes is above the size of everyday documents. Parsing and deciding a larger one takes several times
	// its size, so that is done with no more than maxLargeBodies of them at once: eight documents of 8 MB would take
	// a keeper over the memory of its machine.
	largeBodyBytes = 1 << 20
	maxLargeBodies = 2
	// maxReceivedBytes bounds the parts of large bodies that have been received. A sender that stalls holds no more
	// than what it has sent.
	maxReceivedBytes = maxLargeBodies * maxConfigBody
	// minBodyRate is how many bytes a second of a large body have to come: a hundredth of the slowest machine's link.
	// A sender that is slower is given up after two seconds, and sends its request again.
	minBodyRate = 32 << 10
	// discardTimeout bounds the reading of a body that is refused.
	discardTimeout = time.Second
)

// readBody reads the body of a call, which release gives back. A status other than 0 is that of a refusal, see
// refuseBody. A body of unknown length counts as large where it may be.
func (k *Keeper) readBody(
	w http.ResponseWriter, r *http.Request, route route,
) (body []byte, release func(), status int) {
	limits := clientbody.Limits{MaxBytes: max(route.maxBody, 1), Deadline: time.Now().Add(readTimeout)}
	mayBeLarge := route.maxBody > largeBodyBytes && (r.ContentLength < 0 || r.ContentLength > largeBodyBytes)
	if mayBeLarge {
		limits.MinRate, limits.Budget = minBodyRate, k.receivedBodies
	}
	if status := clientbody.Read(http.NewResponseController(w), r, limits, &body); status != 0 {
		return nil, nil, status
	}
	releaseBytes := func() { limits.Budget.Release(len(body)) }
	if len(body) <= largeBodyBytes {
		return body, releaseBytes, 0
	}
	if !k.acquireLargeBodySlot(r) {
		releaseBytes()
		return nil, nil, http.StatusServiceUnavailable
	}
	releaseSlot := func() {
		<-k.largeBodySlots
		releaseBytes()
	}
	return body, releaseSlot, 0
}

// acquireLargeBodySlot waits until a large body may be parsed; false: others were for too long.
func (k *Keeper) acquireLargeBodySlot(r *http.Request) bool {
	timeout := time.NewTimer(proposeTimeout)
	defer timeout.Stop()
	select {
	case k.largeBodySlots <- struct{}{}:
		return true
	case <-timeout.C:
	case <-r.Context().Done():
	case <-k.ended:
	}
	return false
}

// refuseBody answers a call whose body could not be had, with a status of clientbody.Read.
func refuseBody(w http.ResponseWriter, r *http.Request, route route, status int) {
	switch status {
	case http.StatusRequestEntityTooLarge:
		discardBody(w, r, route)
		refuse(w, status, fmt.Sprintf("the body is over %d bytes: send less", route.maxBody))
	case http.StatusServiceUnavailable:
		discardBody(w, r, route)
		refuse(w, status, "too many large bodies are in hand: send it again, or to another keeper")
	default:
		// A part of a request says nothing about the whole one, which may have been accepted before.
		refuse(w, http.StatusRequestTimeout, "the body was cut or came too slowly: send it again whole")
	}
}

// discardBody reads what is left of a body: unless it is read, the answer may be lost with the connection.
func discardBody(w http.ResponseWriter, r *http.Request, route route) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout)) // fails in tests without a connection
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, max(route.maxBody, 1))) // the rest is not waited for
}
