package batch

import (
	"bytes"
	"slices"
	"testing"

	"dunetide/internal/platform/link"
)

var (
	rizzo    = Principal{HasTenants: true, Tenant: "rizzo"}
	salvo    = Principal{HasTenants: true, Tenant: "salvo"}
	keyless  = Principal{HasTenants: true} // of a public route
	everyone = Principal{}                 // of a configuration without tenants
)

// jobOf encodes a job of two items that somebody submits.
func jobOf(id string, by Principal) []byte {
	j := &Job{
		ID:              id,
		Route:           "b",
		Host:            "h.example",
		PathPrefix:      "/b/",
		MaxAttempts:     2,
		MaxQueuedTokens: 1 << 40,
		ConfigVersion:   1,
		Items: []JobItem{
			{ID: "item-1", Path: "/b/1", Body: []byte("body"), Tokens: 100},
			{ID: "item-2", Path: "/b/2", Body: []byte("body"), Tokens: 100},
		},
	}
	j.setSubmitter(by)
	return j.encode()
}

// TestWhoMayUseAJob guards against a job that a stranger uses, and against one that is kept from those whose it is: all
// clients of its tenant, all clients where the job has no tenant (a program without tenants stored it), and all clients
// where the configuration has none.
func TestWhoMayUseAJob(t *testing.T) {
	for _, c := range []struct {
		name      string
		submitter Principal
		users     []Principal
		strangers []Principal
	}{
		{"of a tenant", rizzo, []Principal{rizzo, everyone}, []Principal{salvo, keyless}},
		{"of a client without a key", keyless, []Principal{rizzo, salvo, keyless, everyone}, nil},
		{"of a program without tenants", everyone, []Principal{rizzo, salvo, keyless, everyone}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newStoreRig(3, 2, 2, 1000)
			if code := g.call("job", kindAcceptJob, jobOf("job", c.submitter)); code != codeOK {
				t.Fatalf("accept: code %d", code)
			}
			check := func(by Principal, accept, others uint8) {
				t.Helper()
				for _, call := range []struct {
					kind link.Kind
					body []byte
					want uint8
				}{
					{kindAcceptJob, jobOf("job", by), accept},
					{kindReadResults, encodeReadResults("job", 0, 0, by), others},
					{kindReadItemBody, encodeReadItemBody("job", "item-1", by), others},
					{kindEndJob, encodeEndJob("job", by), others},
				} {
					if code := g.call("job", call.kind, call.body); code != call.want {
						t.Errorf("kind %d by %+v: code %d, want %d", call.kind, by, code, call.want)
					}
				}
			}
			for _, stranger := range c.strangers {
				check(stranger, codeOtherTenant, codeOtherTenant)
			}
			c0, p := primaryOfJob(t, g)
			if p.jobs["job"].ended {
				t.Fatal("a stranger has ended the job")
			}
			encoded, err := c0.encodeJobWithResults(p.jobs["job"])
			if err != nil {
				t.Fatal(err)
			}
			moved, _, err := decodeJobWithResults(&link.Reader{Buf: encoded}, int64(len(encoded)))
			if err != nil || moved.submitter != c.submitter {
				t.Errorf("a job sent to another replica belongs to %+v, want %+v (%v)", moved.submitter, c.submitter, err)
			}
			for _, user := range c.users {
				check(user, codeOK, codeOK)
			}
		})
	}
}

// TestStrangersAreToldNothingCertain guards against a replaced primary that tells a stranger that there is no such job, and
// against a refusal for a job of another tenant that may yet not be stored.
func TestStrangersAreToldNothingCertain(t *testing.T) {
	g := newStoreRig(3, 2, 2, 1000)
	if code := g.call("job", kindAcceptJob, jobOf("job", rizzo)); code != codeOK {
		t.Fatalf("accept: code %d", code)
	}
	c, p := primaryOfJob(t, g)
	ask := func(kind link.Kind, body []byte) (codes []uint8) {
		c.handleMessage(nil, callerFunc(func(b []byte) { codes = append(codes, b[0]) }), kind, body)
		return codes
	}
	// The tokens of a new job, or its copies on other disks, are still awaited.
	id := "another"
	for c.table.PartitionOf(id) != p.index {
		id += "x"
	}
	first := &goldenReply{}
	c.handleMessage(nil, first, kindAcceptJob, jobOf(id, rizzo))
	if codes := ask(kindAcceptJob, jobOf(id, salvo)); !slices.Equal(codes, []uint8{codeUnavailable}) || first.body != nil {
		t.Errorf("while the outcome is open a stranger's submission is answered %v, and the first one %v", codes, first.body)
	}
	g.deliverAll()

	c.handleStoreMessage(&recordingPipe{}, kindStaleTerm, encodeNumbers(p.index, p.primary.term+1))
	for kind, body := range map[link.Kind][]byte{
		kindReadResults:  encodeReadResults("job", 0, 0, salvo),
		kindReadItemBody: encodeReadItemBody("job", "item-1", salvo),
		kindEndJob:       encodeEndJob("job", salvo),
	} {
		var code uint8
		c.handleMessage(nil, callerFunc(func(b []byte) { code = b[0] }), kind, body)
		g.step(confirmationWaitMs + 100)
		if code != codeOtherTenant {
			t.Errorf("kind %d at a replaced primary: code %d, want %d", kind, code, codeOtherTenant)
		}
	}
}

// TestAccountsOfTenants guards against tenants, or routes, whose tokens count on one account.
func TestAccountsOfTenants(t *testing.T) {
	keys := map[string]bool{}
	for _, route := range []string{"a", "b", "ab"} {
		for _, tenant := range []string{"", "a", "b", "ab"} {
			keys[accountKey(route, tenant)] = true
		}
	}
	if len(keys) != 12 {
		t.Errorf("12 pairs of route and tenant have %d accounts", len(keys))
	}
	if key := accountKey("nightly", ""); key != "nightly" {
		t.Errorf("the account without a tenant is %q; versions without tenants call it by the route", key)
	}
}

// TestGoldenTenants fixes the bytes of calls and records with a tenant, and that they begin with those of versions without
// tenants, which read no further.
func TestGoldenTenants(t *testing.T) {
	job := goldenJob()
	job.Submitter = rizzo
	for _, m := range []struct {
		name    string
		written []byte
		old     []byte
	}{
		{"tenant-call-accept.bin", job.encode(), goldenJob().encode()},
		{"tenant-call-read.bin", encodeReadResults(goldenJobID, 0, 77, rizzo), encodeReadResults(goldenJobID, 0, 77, everyone)},
		{"tenant-call-body.bin", encodeReadItemBody(goldenJobID, "item-b", rizzo), encodeReadItemBody(goldenJobID, "item-b", everyone)},
		{"tenant-call-end.bin", encodeEndJob(goldenJobID, rizzo), encodeEndJob(goldenJobID, everyone)},
		{"tenant-call-end-keyless.bin", encodeEndJob(goldenJobID, keyless), encodeEndJob(goldenJobID, everyone)},
		{"tenant-account.bin", []byte(accountKey("nightly", "rizzo")), []byte("nightly")},
	} {
		b := golden(t, m.name, m.written)
		if !bytes.HasPrefix(b, m.old) || len(b) == len(m.old) {
			t.Errorf("%s does not begin with the bytes of versions without tenants", m.name)
		}
	}
	stored, err := decodeJob(readGolden(t, "tenant-call-accept.bin"), 0)
	if err != nil {
		t.Fatal(err)
	}
	wantValue(t, "tenant-call-accept", []any{stored.submitter, stored.account}, []any{rizzo, accountKey("nightly", "rizzo")})
	old, err := decodeJob(readGolden(t, "call-accept.bin"), 0)
	if err != nil {
		t.Fatal(err)
	}
	wantValue(t, "call-accept", []any{old.submitter, old.account}, []any{everyone, "nightly"})
	codes := []uint8{codeOtherTenant}
	wantValue(t, "code", codes, []uint8{7})
}

// TestTenantCallsThatEndEarly guards against a truncated call that is taken for one of another tenant, or that ends a job.
func TestTenantCallsThatEndEarly(t *testing.T) {
	g := newStoreRig(3, 2, 2, 1000)
	if code := g.call("job", kindAcceptJob, jobOf("job", rizzo)); code != codeOK {
		t.Fatalf("accept: code %d", code)
	}
	for _, m := range []struct {
		kind      link.Kind
		body, old []byte
	}{
		{kindAcceptJob, jobOf("job", rizzo), jobOf("job", everyone)},
		{kindReadResults, encodeReadResults("job", 0, 0, rizzo), encodeReadResults("job", 0, 0, everyone)},
		{kindReadItemBody, encodeReadItemBody("job", "item-1", rizzo), encodeReadItemBody("job", "item-1", everyone)},
		{kindEndJob, encodeEndJob("job", rizzo), encodeEndJob("job", everyone)},
	} {
		begin := len(m.old) + 1
		if m.kind == kindAcceptJob { // its items have headers that say who submitted it
			begin = len(m.body) - 4 - len(rizzo.Tenant) + 1
		}
		for length := begin; length < len(m.body); length++ {
			if code := g.call("job", m.kind, m.body[:length]); code != codeUnavailable {
				t.Errorf("kind %d: %d of %d bytes were answered %d", m.kind, length, len(m.body), code)
			}
		}
	}
}

// TestIdentityOfItems guards against an item that keeps what its client wrote about itself.
func TestIdentityOfItems(t *testing.T) {
	own := [][2]string{
		{"A", "1"}, {"authorization", "Token k"}, {"X-dunetide-TENANT", "salvo"}, {" Authorization", "Token k"}, {"B", "2"},
	}
	for _, c := range []struct {
		by   Principal
		want [][2]string
	}{
		{rizzo, [][2]string{{"A", "1"}, {"B", "2"}, {headerTenant, "rizzo"}}},
		{keyless, [][2]string{{"A", "1"}, {"B", "2"}}},
		{everyone, [][2]string{{"A", "1"}, {"authorization", "Token k"}, {" Authorization", "Token k"}, {"B", "2"}}},
	} {
		if got := c.by.identify(own); !slices.Equal(got, c.want) {
			t.Errorf("%+v: %q, want %q", c.by, got, c.want)
		}
	}
}
