package link

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// Encoded fields decode to the same values; a message truncated anywhere yields ErrTruncated.
func TestCodecRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Writer
		var checks []func(r *Reader) bool
		for range rapid.IntRange(0, 20).Draw(t, "fields") {
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				v := rapid.Uint8().Draw(t, "u8")
				w.U8(v)
				checks = append(checks, func(r *Reader) bool { return r.U8() == v })
			case 1:
				v := rapid.Uint32().Draw(t, "u32")
				w.U32(v)
				checks = append(checks, func(r *Reader) bool { return r.U32() == v })
			case 2:
				v := rapid.Int().Draw(t, "int")
				w.Int(v)
				checks = append(checks, func(r *Reader) bool { return r.Int() == v })
			case 3:
				v := rapid.Bool().Draw(t, "bool")
				w.Bool(v)
				checks = append(checks, func(r *Reader) bool { return r.Bool() == v })
			case 4:
				v := rapid.String().Draw(t, "string")
				w.String(v)
				checks = append(checks, func(r *Reader) bool { return r.String() == v })
			case 5:
				v := rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
				w.Bytes(v)
				checks = append(checks, func(r *Reader) bool { return bytes.Equal(r.Bytes(), v) })
			}
		}
		r := Reader{Buf: w.Buf}
		for i, check := range checks {
			if !check(&r) || r.Err != nil {
				t.Fatalf("field %d, %v", i, r.Err)
			}
		}
		if len(r.Buf) != 0 {
			t.Fatalf("%d bytes remain", len(r.Buf))
		}
		if len(w.Buf) > 0 {
			r := Reader{Buf: w.Buf[:rapid.IntRange(0, len(w.Buf)-1).Draw(t, "cut")]}
			for _, check := range checks {
				check(&r)
			}
			if !errors.Is(r.Err, ErrTruncated) {
				t.Fatal(r.Err)
			}
		}
	})
}

// FuzzReader decodes arbitrary bytes as arbitrary fields: it must not panic, return more than the input has, or
// return anything after the first error.
func FuzzReader(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5}, []byte{0, 0, 0, 1, 9})
	f.Add([]byte{6, 4}, []byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, fields, b []byte) {
		r := Reader{Buf: b}
		for _, kind := range fields {
			before, failed := len(r.Buf), r.Err != nil
			got := 0
			switch kind % 7 {
			case 0:
				r.U8()
			case 1:
				r.U32()
			case 2:
				r.U64()
			case 3:
				r.Bool()
			case 4:
				got = len(r.String())
			case 5:
				got = len(r.Bytes())
			case 6:
				got = r.Count(int(kind)) * int(kind)
			}
			if got > before || len(r.Buf) > before || failed && (got > 0 || r.Err == nil) {
				t.Fatalf("kind %d: %d of %d bytes", kind%7, got, before)
			}
		}
	})
}
