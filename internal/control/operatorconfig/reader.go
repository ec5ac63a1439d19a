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

	"github.com/zeebo/errs"
)

// The kinds of errors. Each one is within Invalid, and names the field's path and what would be right.
var (
	Invalid     = errs.Class("invalid configuration")
	Unreadable  = errs.Class("it can't be read whole")
	Missing     = errs.Class("missing field")
	InvalidType = errs.Class("wrong type")
	OutOfRange  = errs.Class("out of range")
	Unknown     = errs.Class("unknown name")
	Duplicate   = errs.Class("duplicate")
)

const (
	// manyErrors is how many are told of; what is wrong in one place is often wrong in all.
	manyErrors = 8
	// maxWhole is the largest whole number that JSON's readers agree on.
	maxWhole = 1 << 53
)

// problems gathers errors.
type problems struct {
	list []error
	more int
}

func (p *problems) add(kind *errs.Class, path, format string, args ...any) {
	if len(p.list) >= manyErrors {
		p.more++
		return
	}
	p.list = append(p.list, kind.New("%s: %s", path, fmt.Sprintf(format, args...)))
}

func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	all := errors.Join(p.list...)
	if p.more > 0 {
		all = fmt.Errorf("%w\nand %d more", all, p.more)
	}
	return Invalid.Wrap(all)
}

// object reads the fields of an object by their paths within it, such as engine.capacity. What is null
// counts as missing.
type object struct {
	path   string // of itself, such as routes[3]
	fields map[string]any
	*problems
}

// readObject reads a JSON object and nothing behind it.
func readObject(raw []byte, p *problems) (object, bool) {
	in := json.NewDecoder(bytes.NewReader(raw))
	in.UseNumber()
	var fields map[string]any
	err := in.Decode(&fields)
	if err == nil && fields == nil {
		err = errors.New("null instead of an object")
	}
	if err == nil {
		if _, more := in.Token(); more != io.EOF {
			err = errors.New("there is more behind the object")
		}
	}
	if err != nil {
		p.add(&Unreadable, "the whole", "%v; it must be one JSON object", err)
	}
	return object{fields: fields, problems: p}, err == nil
}

// in is the path of a field of this object from the root.
func (o object) in(field string) string {
	if o.path == "" {
		return field
	}
	return o.path + "." + field
}

// get finds a field; ok tells whether it is there.
func (o object) get(field string) (v any, ok bool) {
	fields := o.fields
	for {
		first, rest, more := strings.Cut(field, ".")
		v = fields[first]
		if !more || v == nil {
			return v, v != nil
		}
		fields, _ = v.(map[string]any) // object tells of another type
		field = rest
	}
}

// need is get, for what must be there.
func (o object) need(field, right string) (any, bool) {
	v, ok := o.get(field)
	if !ok {
		o.add(&Missing, o.in(field), "it must be %s", right)
	}
	return v, ok
}

// typed is a field's value if it has the type, else the value that counts where it is missing.
func typed[T any](o object, field, right string, missing T) T {
	v, ok := o.get(field)
	if !ok {
		return missing
	}
	t, ok := v.(T)
	if !ok {
		o.add(&InvalidType, o.in(field), "it must be %s", right)
		return missing
	}
	return t
}

func (o object) flag(field string) bool { return typed(o, field, "true or false", false) }

func (o object) text(field, missing string) string { return typed(o, field, "a string", missing) }

// name is a string that must be there and have characters.
func (o object) name(field string) string {
	const right = "a string that isn't empty"
	if _, ok := o.need(field, right); !ok {
		return ""
	}
	s := typed(o, field, right, "?")
	if s == "" {
		o.add(&OutOfRange, o.in(field), "it must be %s", right)
	}
	return s
}

// number is a number from least to most; missing is what counts where it isn't there.
func (o object) number(field string, least, most, missing float64) float64 {
	right := fmt.Sprintf("a number from %s to %s", short(least), short(most))
	v, ok := o.get(field)
	if !ok {
		return missing
	}
	n, ok := v.(json.Number)
	if !ok {
		o.add(&InvalidType, o.in(field), "it must be %s", right)
		return missing
	}
	f, err := n.Float64()
	if err != nil || f < least || f > most {
		o.add(&OutOfRange, o.in(field), "%s; it must be %s", n, right)
		return missing
	}
	return f
}

// whole is number for what is counted in whole numbers; fractions are rounded up.
func (o object) whole(field string, least, missing int64) int64 {
	return int64(math.Ceil(o.number(field, float64(least), maxWhole, float64(missing))))
}

// small is whole for what a duration in milliseconds or a count has room for.
func (o object) small(field string, least, missing int) int {
	return int(math.Ceil(o.number(field, float64(least), math.MaxInt32, float64(missing))))
}

func (o object) count(field string) int { return o.small(field, 0, 0) }

// version is a whole number over 0 that must be there.
func (o object) version(field string) uint64 {
	const right = "a whole number over 0"
	v, ok := o.need(field, right)
	if !ok {
		return 0
	}
	n, ok := v.(json.Number)
	if !ok {
		o.add(&InvalidType, o.in(field), "it must be %s", right)
		return 0
	}
	u, err := strconv.ParseUint(n.String(), 10, 64)
	if err != nil || u == 0 {
		o.add(&OutOfRange, o.in(field), "%s; it must be %s", n, right)
	}
	return u
}

// object is a field that is an object; there tells whether it is.
func (o object) object(field string) (in object, there bool) {
	fields := typed(o, field, "an object", map[string]any(nil))
	return object{o.in(field), fields, o.problems}, fields != nil
}

// list is a field that is a list of objects; there tells whether it is.
func (o object) list(field string) (all []object, there bool) {
	values := typed(o, field, "a list of objects", []any(nil))
	for i, v := range values {
		path := fmt.Sprintf("%s[%d]", o.in(field), i)
		fields, ok := v.(map[string]any)
		if !ok {
			o.add(&InvalidType, path, "it must be an object")
			continue
		}
		all = append(all, object{path, fields, o.problems})
	}
	return all, values != nil
}

func short(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }
