package forward

import (
	"errors"
	"net/http"
	"testing"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/platform/invariant/invarianttest"
	"dunetide/internal/platform/upstream"
	"dunetide/internal/proxy/attempt"
	"dunetide/internal/proxy/dispatch"
)

func TestRequestsThatMayHaveRunAreRecorded(t *testing.T) {
	once := &operatorconfig.Route{Name: "save", Kind: operatorconfig.Writes}
	request := func() *exchange { return &exchange{request: dispatch.Request{ID: "r1", Route: once}} }
	for name, send := range map[string]struct {
		err        error
		head       attempt.Event
		mayHaveRun bool
	}{
		"the endpoint states that it has not run": {nil, attempt.Rejected, false},
		"it was not written completely":           {&upstream.CallError{Sent: false, Err: errors.New("reset")}, 0, false},
		"it was written and reset":                {&upstream.CallError{Sent: true, Err: errors.New("reset")}, 0, true},
		"another error":                           {errors.New("reset"), 0, true},
		"it was answered":                         {nil, attempt.Answered, true},
		"it failed":                               {nil, attempt.Failed, true},
		"a refusal without proof":                 {nil, attempt.UnprovenRejection, true},
	} {
		t.Run(name, func(t *testing.T) {
			x := request()
			x.checkSend("e1")
			x.recordSent(send.err, send.head)
			if x.mayHaveRun != send.mayHaveRun {
				t.Fatalf("mayHaveRun is %v", x.mayHaveRun)
			}
			if !x.mayHaveRun {
				x.checkSend("e2")
				x.checkRefusal()
				return
			}
			invarianttest.Violates(t, "requests_that_run_once_are_sent_once", func() { x.checkSend("e2") })
			invarianttest.Violates(t, "refused_requests_have_not_run", x.checkRefusal)
		})
	}
	x := request()
	x.response = &http.Response{Header: http.Header{headerID: {"r1"}}}
	x.checkAnswer()
	x.response.Header[headerID] = []string{"r2"}
	invarianttest.Violates(t, "answers_belong_to_their_request", x.checkAnswer)
}
