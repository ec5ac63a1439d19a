// Package account runs real proxies, keepers and endpoints, each as a process, under resets, freezes, kills and replacements, and
// compares what clients received with what endpoints ran. It has tests only.
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
	resumableCall callKind = "resumable" // may be resumed at another endpoint
)

var callKinds = []callKind{readCall, writeCall, streamCall, resumableCall}

func (k callKind) repeatable() bool { return k == readCall || k == resumableCall }

func (k callKind) streams() bool { return k == streamCall || k == resumableCall }

// maxAttempts is the number of attempts that the routes allow.
const maxAttempts = 2

// services are the names of the services; the hosts of their routes are named after them.
var services = []string{"alpha", "beta"}

func hostOf(service string) string { return service + ".example" }

// path returns the path of a call, which has its kind and its service.
func path(kind callKind, service string) string { return fmt.Sprintf("/%s/%s", kind, service) }

// lastEvent is the id of the last event of each stream.
const lastEvent = 4

// digest returns a text that is unique to the words.
func digest(words ...string) string {
	sum := sha256.Sum256([]byte(strings.Join(words, "|")))
	return hex.EncodeToString(sum[:])
}

// The lengths of plain answers, in digests of 64 bytes. A long one is forwarded before it has been received completely.
const (
	shortAnswer        = 1
	middleAnswer       = 60
	longAnswer         = 5000
	longAnswerInterval = 50 // one in so many answers is long
)

// answerBody returns the body of the only correct answer of a service to a call. The id of the call determines its content and length.
func answerBody(service, id string) string {
	one := digest(service, id)
	switch sum := sha256.Sum256([]byte(id)); {
	case sum[0]%longAnswerInterval == 0:
		return strings.Repeat(one, longAnswer)
	case sum[0]%2 == 0:
		return strings.Repeat(one, middleAnswer)
	}
	return strings.Repeat(one, shortAnswer)
}

// event returns event n of the stream that answers a call.
func event(service, id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, digest(service, id, fmt.Sprint(n)))
}

// events returns the events after one of them, up to the last.
func events(service, id string, after int) (all []string) {
	for n := after + 1; n <= lastEvent; n++ {
		all = append(all, event(service, id, n))
	}
	return all
}

// seal returns a seal that names the incarnation that ran a call, and the call.
func seal(instance, id string) string { return instance + "/" + id }
