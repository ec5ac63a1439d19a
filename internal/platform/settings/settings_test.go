package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestParse has two commands: parse for a complete file, and with, which appends lines to the required ones.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, d *datadriven.TestData) string {
		t.Helper()
		text := d.Input
		switch d.Cmd {
		case "parse":
		case "with":
			text = "node_name=n\nip=10.0.0.7\ninternal_ports=7000,7015\n" + d.Input
		default:
			d.Fatalf(t, "unknown command")
		}
		s, err := Parse([]byte(text), "boot.conf")
		if err != nil {
			if !Invalid.Has(err) || s != nil {
				t.Errorf("%v, %v", s, err)
			}
			return err.Error() + "\n"
		}
		bounds, limits := s.Bounds, s.Limits
		s.Bounds, s.Limits = Bounds{}, Limits{}
		out := fmt.Sprintf("%+v\n", *s)
		out = strings.ReplaceAll(out, fmt.Sprintf(" Limits:%+v", Limits{}), "")
		out = strings.ReplaceAll(out, fmt.Sprintf(" Bounds:%+v", Bounds{}), "")
		return out + fmt.Sprintf("%+v\n%+v\n", limits, bounds)
	})
}

func TestReadErrorsNameTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.conf")
	if _, err := Read(path); !Invalid.Has(err) || !strings.Contains(err.Error(), path) {
		t.Errorf("absent file: %v", err)
	}
	if err := os.WriteFile(path, []byte("node_name=n\nip=x\ninternal_ports=1,2\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(path); !Invalid.Has(err) || !strings.Contains(err.Error(), path+", line 2: ip=x") {
		t.Error(err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("node_name=n\nip=10.0.0.7\ninternal_ports=7000,7015\nbounds.drain_ms=1.5\nzones.a=b\nx=${y}\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Parse(b, "f")
		if err == nil && (s.NodeName == "" || s.IP == "" || s.FirstInternalPort < 1 || s.LastInternalPort < s.FirstInternalPort || s.Limits.CPUShare <= 0) {
			t.Errorf("accepted: %+v", s)
		}
		if err != nil && !Invalid.Has(err) {
			t.Error(err)
		}
	})
}
