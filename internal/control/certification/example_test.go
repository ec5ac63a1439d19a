package certification

import (
	"os"
	"testing"
)

func TestDocumentationExampleIsValid(t *testing.T) {
	b, err := os.ReadFile("../../../docs/example-certificates.json")
	if err != nil {
		t.Fatal(err)
	}
	if s, err := Parse(b); err != nil || len(s.Routes) != 4 || len(s.Certificates) != 3 {
		t.Errorf("%v", err)
	}
}
