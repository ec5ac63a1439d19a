package certification

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"dunetide/internal/lab/golden"
)

// goldenDocument returns the content of the golden files, which commit faf8ea2 wrote.
func goldenDocument() Document {
	at := func(day, nanos int) time.Time { return time.Date(2026, 6, day, 12, 13, 14, nanos, time.UTC) }
	return Document{
		Version: 71,
		Routes:  []Route{{"quotes", "solvency"}, {"gate", "border"}},
		Certificates: []Certificate{
			{"i-7f3a91c2", "solvency", at(1, 0), at(2, 500), "audit office"},
			{"i-0b", "border", at(3, 1), at(4, 0), "customs \"north\""},
		},
	}
}

// TestGoldenDocument pins the compact JSON in which documents are put and pushed, and the indented JSON that
// "dunetide certify withdraw" sends.
func TestGoldenDocument(t *testing.T) {
	encode := map[string]func(Document) ([]byte, error){
		"document.json":          func(d Document) ([]byte, error) { return json.Marshal(d) },
		"document-indented.json": func(d Document) ([]byte, error) { return json.MarshalIndent(d, "", "  ") },
	}
	for file, encode := range encode {
		written := func(d Document) []byte {
			b, err := encode(d)
			if err != nil {
				t.Fatal(err)
			}
			return b
		}
		b := golden.Read(t, file)
		s, err := Parse(b)
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		if !reflect.DeepEqual(s.Document, goldenDocument()) {
			t.Errorf("%s: %+v", file, s.Document)
		}
		if !bytes.Equal(s.Raw, b) {
			t.Errorf("%s: the text of the document was changed", file)
		}
		if got := written(s.Document); !bytes.Equal(got, b) {
			t.Errorf("%s: re-encoded as %s", file, got)
		}
	}
}

func TestGoldenDocumentWithout(t *testing.T) {
	b := golden.Read(t, "without.json")
	next, n := goldenDocument().Without("i-0b", "border")
	got, err := json.MarshalIndent(next, "", "  ")
	if err != nil || n != 1 || !bytes.Equal(got, b) {
		t.Errorf("%d certificates removed, %v: %s", n, err, got)
	}
	s, err := Parse(b)
	if err != nil || s.Version != 72 || len(s.Certificates) != 1 || len(s.Routes) != 2 {
		t.Errorf("%+v, %v", s, err)
	}
}
