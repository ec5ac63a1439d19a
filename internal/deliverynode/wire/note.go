package wire

import "dunetide/policy"

// noteSize is the length of a note in bytes: two bits of news, then a tag.
const noteSize = 3

// DecodeNote decodes a note from another sender. It returns false, not an error, if the length is wrong, because the fault is
// the other sender's.
func DecodeNote(b []byte) (policy.NoteReceived, bool) {
	if len(b) != noteSize {
		return policy.NoteReceived{}, false
	}
	v := uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2])
	return policy.NoteReceived{Tag: policy.Tag(v & (1<<policy.TagBits - 1)), News: policy.News(v >> policy.TagBits)}, true
}

// EncodeNote encodes a note for the other senders.
func EncodeNote(a policy.SendNote) []byte {
	v := uint32(a.News)<<policy.TagBits | uint32(a.Tag)
	return []byte{byte(v >> 16), byte(v >> 8), byte(v)}
}
