package operatorconfig

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// The classes of errors. Each error is wrapped in Invalid, and names the path of the field and its valid values.
// Operators see the texts in responses.
var (
	Invalid     = errs.Class("invalid configuration")
	Unreadable  = errs.Class("it can't be read whole")
	Missing     = errs.Class("missing field")
	InvalidType = errs.Class("wrong type")
	OutOfRange  = errs.Class("out of range")
	Unknown     = errs.Class("unknown name")
	Duplicate   = errs.Class("duplicate")
)

// maxProblems is the number of errors that are reported in full. The same mistake is often repeated throughout a
// configuration, so the errors beyond it are only counted.
const maxProblems = 8

// problems collects the errors of a configuration.
type problems struct {
	list []error
	more int // number of errors beyond maxProblems
}

// add adds an error about the field at a path.
func (p *problems) add(class *errs.Class, path, format string, args ...any) {
	if len(p.list) >= maxProblems {
		p.more++
		return
	}
	p.list = append(p.list, class.New("%s: %s", path, fmt.Sprintf(format, args...)))
}

// err returns all errors as one, or nil if there are none.
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
