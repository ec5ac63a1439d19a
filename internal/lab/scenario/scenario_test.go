package scenario

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestErrorsNameTheLine(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"name = \"x\"\nlenght_s = [1, 2]\n", `line 2: unknown key "lenght_s"`}, //nolint:misspell // an unknown key
		{"[load]\nlevel = [2, 1]\n", "line 2: load.level: range [2 1]: the minimum exceeds the maximum"},
		{"length_s = [9, 9]\n\n[[fault]]\nwhat = \"flood\"\n", `line 4: fault[0].what: "flood" is not a known fault`},
		{"length_s = [9, 9]\n[[fault]]\nwhat = \"down\"\nat_s = [3, 20]\nfor_s = [1, 1]\n", "line 4: fault[0].at_s: range [3 20] must lie between 0 and 9"},
		{"length_s = [9, 9]\n[[fault]]\nwhat = \"hang\"\nat_s = [3, 3]\n", "line 2: fault[0].for_s: range [0 0] must lie between"},
		{"[[class]]\nname = \"a\"\nrepeat = \"maybe\"\nwork_ms = [1, 1]\ndeadline_s = 1\n", `line 3: class[0].repeat: "maybe" must be`},
		{"length_s = \"long\"\n", "line 1: "},
	} {
		_, err := Parse([]byte(c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got %v, want %q", c.text, err, c.want)
		}
	}
	_, err := Parse([]byte("[nodes]\ncount = 0\n[load]\nlevel = [2, 1]\n"))
	if err == nil || !strings.Contains(err.Error(), "nodes.count") || !strings.Contains(err.Error(), "load.level") {
		t.Errorf("not all errors are reported at once: %v", err)
	}
}

func TestAllScenarioFilesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../scenarios/*.toml")
	fleets, err2 := filepath.Glob("../../../scenarios/fleet/*.toml")
	if err != nil || err2 != nil || len(files) == 0 || len(fleets) == 0 {
		t.Fatal("no scenarios", err, err2)
	}
	for _, f := range append(files, fleets...) {
		s, err := Read(f)
		if err != nil {
			t.Error(err)
			continue
		}
		if s.Page == "" || s.About == "" || s.Name+".toml" != filepath.Base(f) && s.Name+".toml" != "fleet-"+filepath.Base(f) {
			t.Errorf("%s: page or about is missing, or the name differs from the file's: %q", f, s.Name)
		}
	}
	if _, err := Read(filepath.Join(t.TempDir(), "none")); !os.IsNotExist(unwrapAll(err)) {
		t.Error(err)
	}
}

func unwrapAll(err error) error {
	for {
		u, ok := err.(interface{ Unwrap() error })
		if !ok {
			return err
		}
		err = u.Unwrap()
	}
}

func TestFleetErrors(t *testing.T) {
	for text, wants := range map[string]string{
		"[nodes]\ncount = 3\n[fleet]\nseeds = 4":                                                         "4 seeds, but only 3 nodes",
		"[nodes]\ncount = 200\n[fleet]\nseeds = 1":                                                       "at most 120",
		"[nodes]\ncount = 3\n[fleet]\nseeds = 1\n[[fleet.fault]]\nwhat = \"half\"":                       "is not a known pattern",
		"[nodes]\ncount = 3\n[fleet]\nseeds = 1\n[[fleet.fault]]\nwhat = \"deaf\"\nnodes = [3]":          "node 3 does not exist: there are 3 nodes",
		"[nodes]\ncount = 3\n[fleet]\nseeds = 1\n[[fleet.fault]]\nwhat = \"remove\"\nnodes = [1, 1]":     "the one that is notified",
		"[nodes]\ncount = 3\n[fleet]\nseeds = 1\n[[fleet.fault]]\nwhat = \"split\"\nat_s = [900, 901]":   "at_s",
		"[nodes]\ncount = 3\n[fleet]\nseeds = 1\n[[fleet.fault]]\nwhat = \"split\"\nparts = 2\nsize = 1": "unknown key",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), wants) {
			t.Errorf("%s\n%v, want %q", text, err, wants)
		}
	}
}
