package wire

import (
	"testing"

	"dunetide/policy"
)

func TestNotesKeepTheirContent(t *testing.T) {
	want := policy.SendNote{Tag: 1<<policy.TagBits - 3, News: policy.Jam}
	data := EncodeNote(want)
	if len(data) != noteSize {
		t.Fatalf("a note of %d bytes, want %d", len(data), noteSize)
	}
	if got, ok := DecodeNote(data); !ok || got != policy.NoteReceived(want) {
		t.Errorf("note %+v came back as %+v, %v", want, got, ok)
	}
	if got, ok := DecodeNote([]byte("what?")); ok {
		t.Errorf("a note of the wrong size was decoded as %+v", got)
	}
}
