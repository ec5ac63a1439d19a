package operatorconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
)

// maxInteger is the limit up to which all JSON parsers represent integers exactly (RFC 8259, section 6).
const maxInteger = 1 << 53

// object reads the fields of a JSON object by their paths within it, such as engine.capacity, and adds an error to the
// problems for each invalid field. A null field counts as missing.
type object struct {
	path   string // of the object itself, such as routes[3]; empty for the root
	fields map[string]any
	*problems
}

// readObject decodes a single JSON object. Trailing data is an error.
func readObject(raw []byte, p *problems) (root object, ok bool) {
	fields, err := decodeObject(raw)
	if err != nil {
		p.add(&Unreadable, "the whole", "%v; it must be one JSON object", err)
	}
	return object{fields: fields, problems: p}, err == nil
}

func decodeObject(raw []byte) (fields map[string]any, err error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	if err := decoder.Decode(&fields); err != nil {
		return nil, err
	}
	if fields == nil {
		return nil, errors.New("null instead of an object")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("there is more behind the object")
	}
	return fields, nil
}

// pathOf returns the path of a field of this object from the root.
func (o object) pathOf(field string) string {
	if o.path == "" {
		return field
	}
	return o.path + "." + field
}

// get returns a field's value and whether it is present.
func (o object) get(field string) (value any, present bool) {
	fields := o.fields
	for {
		first, rest, nested := strings.Cut(field, ".")
		value = fields[first]
		if !nested || value == nil {
			return value, value != nil
		}
		fields, _ = value.(map[string]any) // the method object reports a value that is not an object
		field = rest
	}
}

// require is like get for a required field; expected describes the valid values.
func (o object) require(field, expected string) (value any, present bool) {
	value, present = o.get(field)
	if !present {
		o.add(&Missing, o.pathOf(field), "it must be %s", expected)
	}
	return value, present
}

// typed returns a field's value if it has type T, or else the default.
func typed[T any](o object, field, expected string, defaultValue T) T {
	value, present := o.get(field)
	if !present {
		return defaultValue
	}
	typedValue, ok := value.(T)
	if !ok {
		o.add(&InvalidType, o.pathOf(field), "it must be %s", expected)
		return defaultValue
	}
	return typedValue
}

// flag returns a boolean; default false.
func (o object) flag(field string) bool { return typed(o, field, "true or false", false) }

// text returns a string.
func (o object) text(field, defaultValue string) string {
	return typed(o, field, "a string", defaultValue)
}

// name returns a required, non-empty string.
func (o object) name(field string) string {
	const expected = "a string that isn't empty"
	if _, present := o.require(field, expected); !present {
		return ""
	}
	name := typed(o, field, expected, "?")
	if name == "" {
		o.add(&OutOfRange, o.pathOf(field), "it must be %s", expected)
	}
	return name
}

// number returns a number in the range from least to most.
func (o object) number(field string, least, most, defaultValue float64) float64 {
	expected := fmt.Sprintf("a number from %s to %s", formatNumber(least), formatNumber(most))
	value, present := o.get(field)
	if !present {
		return defaultValue
	}
	number, ok := value.(json.Number)
	if !ok {
		o.add(&InvalidType, o.pathOf(field), "it must be %s", expected)
		return defaultValue
	}
	float, err := number.Float64()
	if err != nil || float < least || float > most {
		o.add(&OutOfRange, o.pathOf(field), "%s; it must be %s", number, expected)
		return defaultValue
	}
	return float
}

// integer returns a number in the range from least to maxInteger; fractions are rounded up.
func (o object) integer(field string, least, defaultValue int64) int64 {
	return int64(math.Ceil(o.number(field, float64(least), maxInteger, float64(defaultValue))))
}

// int32 is like integer for values that must fit into 32 bits, such as durations in milliseconds.
func (o object) int32(field string, least, defaultValue int) int {
	return int(math.Ceil(o.number(field, float64(least), math.MaxInt32, float64(defaultValue))))
}

// count returns an int32 that is at least 0; default 0.
func (o object) count(field string) int { return o.int32(field, 0, 0) }

// version returns a required integer above 0, in the full range of 64 bits.
func (o object) version(field string) uint64 {
	const expected = "a whole number over 0"
	value, present := o.require(field, expected)
	if !present {
		return 0
	}
	number, ok := value.(json.Number)
	if !ok {
		o.add(&InvalidType, o.pathOf(field), "it must be %s", expected)
		return 0
	}
	version, err := strconv.ParseUint(number.String(), 10, 64)
	if err != nil || version == 0 {
		o.add(&OutOfRange, o.pathOf(field), "%s; it must be %s", number, expected)
	}
	return version
}

// object returns an object field, and whether it is present.
func (o object) object(field string) (value object, present bool) {
	fields := typed(o, field, "an object", map[string]any(nil))
	return object{o.pathOf(field), fields, o.problems}, fields != nil
}

// list returns a field whose value is a list of objects, and whether it is present.
func (o object) list(field string) (objects []object, present bool) {
	values := typed(o, field, "a list of objects", []any(nil))
	for i, value := range values {
		path := fmt.Sprintf("%s[%d]", o.pathOf(field), i)
		fields, ok := value.(map[string]any)
		if !ok {
			o.add(&InvalidType, path, "it must be an object")
			continue
		}
		objects = append(objects, object{path, fields, o.problems})
	}
	return objects, values != nil
}

// strings returns a field whose value is a list of non-empty strings. Problems name places, not values, because the
// values may be secret.
func (o object) strings(field string) (texts []string) {
	for i, value := range typed(o, field, "a list of strings", []any(nil)) {
		path := fmt.Sprintf("%s[%d]", o.pathOf(field), i)
		text, ok := value.(string)
		if !ok {
			o.add(&InvalidType, path, "it must be a string that isn't empty")
			continue
		}
		if text == "" {
			o.add(&OutOfRange, path, "it must be a string that isn't empty")
			continue
		}
		texts = append(texts, text)
	}
	return texts
}

func formatNumber(number float64) string { return strconv.FormatFloat(number, 'f', -1, 64) }
