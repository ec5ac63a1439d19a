package keeper

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"dunetide/internal/platform/clientbody"
)

const (
	// largeBodyBytes is above the size of typical documents. Parsing and deciding a larger one takes several times its
	// size in memory, so at most maxLargeBodies are processed at once: eight documents of 8 MB would exceed the memory
	// of a keeper's machine.
	largeBodyBytes = 1 << 20
	maxLargeBodies = 2
	// maxReceivedBytes bounds the memory for received bytes of large bodies. A sender that stalls occupies only as
	// much as it has sent.
	maxReceivedBytes = maxLargeBodies * maxConfigBody
	// minBodyRate is the minimum rate of a large body in bytes per second: a hundredth of the slowest machine's link.
	// A request that is slower is aborted after two seconds, and its sender retries.
	minBodyRate = 32 << 10
	// discardTimeout bounds reading the rest of a refused body.
	discardTimeout = time.Second
)

// readBody reads the body of a call. The caller must call release when it is done with the body. A status other than 0
// is a refusal, see refuseBody. A body of unknown length counts as large if the route allows large ones.
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

// acquireLargeBodySlot waits until a large body may be parsed; false: no slot became free in time.
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

// refuseBody answers a call whose body could not be read, with the status that clientbody.Read returned.
func refuseBody(w http.ResponseWriter, r *http.Request, route route, status int) {
	switch status {
	case http.StatusRequestEntityTooLarge:
		discardBody(w, r, route)
		refuse(w, status, fmt.Sprintf("the body is over %d bytes: send less", route.maxBody))
	case http.StatusServiceUnavailable:
		discardBody(w, r, route)
		refuse(w, status, "too many large bodies are in hand: send it again, or to another keeper")
	default:
		// A truncated request must not be rejected permanently: the complete one may have been accepted before.
		refuse(w, http.StatusRequestTimeout, "the body was cut or came too slowly: send it again whole")
	}
}

// discardBody reads the rest of a body: while it is unread, the answer may be lost with the connection.
func discardBody(w http.ResponseWriter, r *http.Request, route route) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout)) // fails in tests without a connection
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, max(route.maxBody, 1))) // bounded by the deadline
}
