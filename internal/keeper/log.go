package keeper

import (
	"errors"
	"time"

	"dunetide/internal/link"
)

func (a *agreement) identity() []byte {
	w := link.Writer{}
	w.U8(recordIdentity)
	w.U64(a.id)
	return w.B
}

func registerRecord(name string, payload []byte) []byte {
	w := link.Writer{}
	w.U8(recordRegister)
	w.String(name)
	w.Bytes(payload)
	return w.B
}

func (a *agreement) replay(b []byte) error {
	r := link.Reader{B: append([]byte(nil), b...)}
	switch r.U8() {
	case recordIdentity:
		a.id = r.U64()
	case recordRegister:
		name := r.String()
		a.saved[name] = append(a.saved[name], r.Bytes())
	}
	return r.Err
}

func (a *agreement) append(b []byte) error {
	if a.log == nil {
		return errors.New("no disk")
	}
	if _, err := a.log.Append(b); err != nil {
		return err
	}
	return a.log.Sync()
}

func (a *agreement) rewrite() {
	if a.log == nil || a.log.Size() < max(rewriteAbove, 4*a.grown) || time.Now().Before(a.later) {
		return
	}
	err := a.log.Rewrite(func(add func([]byte) (int64, error)) error {
		if _, err := add(a.identity()); err != nil {
			return err
		}
		for _, name := range registerNames {
			for _, p := range a.regs[name].Snapshot() {
				if _, err := add(registerRecord(name, p)); err != nil {
					return err
				}
			}
		}
		return nil
	})
	if err != nil {
		a.k.log.Error("log not rewritten", "err", err)
		a.later = time.Now().Add(rewriteAgain)
		return
	}
	a.grown = a.log.Size()
}
