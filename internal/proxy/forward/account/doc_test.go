// Package account plays real proxies, keepers and endpoints, each a process of its own, under resets, freezes, kills and replacements, and
// holds what clients received against what endpoints ran. It has tests only.
package account

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// The headers of calls and answers.
const (
	headerID             = "X-Dunetide-Request-Id"
	headerSeal           = "X-Dunetide-Server-Seal"
	headerNotRun         = "X-Dunetide-Not-Run"
	headerTargetInstance = "X-Dunetide-Target-Instance"
	headerTimeLeft       = "X-Dunetide-Time-Left-Ms"
	headerLastEvent      = "Last-Event-Id"
)

// callKind is a kind of route.
type callKind string

const (
	readCall      callKind = "read"      // may run more than once
	writeCall     callKind = "write"     // may run once
	streamCall    callKind = "stream"    // may run once
	resumableCall callKind = "resumable" // may be taken up at another endpoint
)

var callKinds = []callKind{readCall, writeCall, streamCall, resumableCall}

func (k callKind) repeatable() bool { return k == readCall || k == resumableCall }

func (k callKind) streams() bool { return k == streamCall || k == resumableCall }

// tries is what the routes allow.
const tries = 2

// services are the names of the services; the hosts of their routes are named after them.
var services = []string{"alpha", "beta"}

func hostOf(service string) string { return service + ".example" }

// path is where a call goes: its kind and its service.
func path(kind callKind, service string) string { return fmt.Sprintf("/%s/%s", kind, service) }

// lastEvent is the id of the last event of each stream.
const lastEvent = 4

// digest is a text that no other words have.
func digest(words ...string) string {
	sum := sha256.Sum256([]byte(strings.Join(words, "|")))
	return hex.EncodeToString(sum[:])
}

// The lengths of plain answers, in digests of 64 bytes. A long one is passed on before it is whole.
const (
	shortAnswer   = 1
	middleAnswer  = 60
	longAnswer    = 5000
	oneLongAnswer = 50 // so many answers, of which one is long
)

// answerBody is the body of the one right answer of a service to a call: it tells the call, and its length is the call's too.
func answerBody(service, id string) string {
	one := digest(service, id)
	switch sum := sha256.Sum256([]byte(id)); {
	case sum[0]%oneLongAnswer == 0:
		return strings.Repeat(one, longAnswer)
	case sum[0]%2 == 0:
		return strings.Repeat(one, middleAnswer)
	}
	return strings.Repeat(one, shortAnswer)
}

// event is event n of the stream that answers a call.
func event(service, id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, digest(service, id, fmt.Sprint(n)))
}

// events are those behind one of them, to the last.
func events(service, id string, after int) (all []string) {
	for n := after + 1; n <= lastEvent; n++ {
		all = append(all, event(service, id, n))
	}
	return all
}

// seal names the incarnation that ran a call, and the call.
func seal(instance, id string) string { return instance + "/" + id }
