package main

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dunetide/internal/control/certification"
)

// fakeKeeper serves a keeper's certificates API from memory. The function between runs once, after a GET, to change the document.
type fakeKeeper struct {
	set     *certification.Set
	between func()
	puts    []string // If-Match of each
}

func (k *fakeKeeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != "/certificates":
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet && k.set == nil:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet:
		_, _ = w.Write(k.set.Raw)
		if k.between != nil {
			k.between()
			k.between = nil
		}
	default:
		base := r.Header.Get("If-Match")
		k.puts = append(k.puts, base)
		version := "0"
		if k.set != nil {
			version = jsonNumber(k.set.Version)
		}
		if base != version {
			w.WriteHeader(http.StatusPreconditionFailed)
			_, _ = io.WriteString(w, `{"error":"another version is in place"}`)
			return
		}
		body, _ := io.ReadAll(r.Body) // a truncated body does not parse
		s, err := certification.Parse(body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		k.set = s
		_, _ = io.WriteString(w, `{"version":`+jsonNumber(s.Version)+`,"in_force":true,"within_ms":2000}`)
	}
}

func jsonNumber(n uint64) string {
	b, err := json.Marshal(n)
	if err != nil {
		panic(err)
	}
	return string(b)
}

func serve(t *testing.T) (*fakeKeeper, keeperAddress) {
	t.Helper()
	k := &fakeKeeper{}
	s := httptest.NewServer(k)
	t.Cleanup(s.Close)
	return k, keeperAddress{Control: strings.TrimPrefix(s.URL, "http://")}
}

func write(t *testing.T, version uint64, endpoints ...string) string {
	t.Helper()
	d := certification.Document{Version: version, Routes: []certification.Route{{Name: "q", Regime: "fin"}}}
	for _, e := range endpoints {
		d.Certificates = append(d.Certificates, certification.Certificate{Endpoint: e, Regime: "fin", NotBefore: time.Now(), NotAfter: time.Now().Add(time.Hour), Issuer: "x"})
	}
	b, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "certificates.json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestCertifyPutsGetsAndWithdraws(t *testing.T) {
	k, at := serve(t)
	if err := (certifyGetCmd{at}).Run(); err == nil {
		t.Error("get succeeds without certificates")
	}
	if err := (certifyWithdrawCmd{keeperAddress: at, Endpoint: "e1"}).Run(); err == nil {
		t.Error("withdraw succeeds without certificates")
	}
	if err := (certifyPutCmd{keeperAddress: at, File: write(t, 3, "e1", "e2")}).Run(); err != nil {
		t.Fatal(err)
	}
	base := uint64(2)
	if err := (certifyPutCmd{keeperAddress: at, File: write(t, 4, "e1"), Base: &base}).Run(); !errors.Is(err, errVersionConflict) {
		t.Errorf("%v", err)
	}
	if err := (certifyWithdrawCmd{keeperAddress: at, Endpoint: "e9"}).Run(); err == nil {
		t.Error("withdraw succeeds for an endpoint without certificates")
	}
	other, _, err := readCertificates(write(t, 7, "e1", "e2", "e3"))
	if err != nil {
		t.Fatal(err)
	}
	k.between = func() { k.set = other } // while the withdrawal reads
	if err := (certifyWithdrawCmd{keeperAddress: at, Endpoint: "e2", Regime: "fin"}).Run(); err != nil {
		t.Fatal(err)
	}
	if k.set.Version != 8 || len(k.set.Certificates) != 2 || k.set.Certificates[1].Endpoint != "e3" {
		t.Errorf("%+v", k.set.Document)
	}
	if got := strings.Join(k.puts, " "); got != "0 2 3 7" {
		t.Errorf("%q", got)
	}
	if err := (certifyGetCmd{at}).Run(); err != nil {
		t.Error(err)
	}
}

func TestUsageErrorsMakeNoCall(t *testing.T) {
	k, at := serve(t)
	path := filepath.Join(t.TempDir(), "x")
	if err := os.WriteFile(path, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := (certifyPutCmd{keeperAddress: at, File: path}).Run(); !errUsage.Has(err) {
		t.Errorf("%v", err)
	}
	if err := (checkCertificatesCmd{path}).Run(); !errUsage.Has(err) {
		t.Errorf("%v", err)
	}
	if err := (checkCertificatesCmd{"../../docs/example-certificates.json"}).Run(); err != nil {
		t.Error(err)
	}
	if err := (auditCmd{Files: []string{path}}).Run(); err == nil {
		t.Error("audit accepts a file that is not an audit log")
	}
	if len(k.puts) != 0 {
		t.Error("a call was made")
	}
}
