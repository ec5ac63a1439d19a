package keeper

import (
	"time"

	"dunetide/internal/agree"
)

// confirm makes the keeper fresh once a majority has confirmed the newest configuration and certificates.
func (k *Keeper) confirm() {
	var try func(name string)
	try = func(name string) {
		k.agree.read(name, time.Second, func(_ agree.State, err error) {
			k.post(func() {
				if err != nil && time.Since(k.life) < confirmWait {
					time.AfterFunc(100*time.Millisecond, func() { try(name) })
					return
				}
				if name == configRegister && time.Since(k.life) < confirmWait {
					try(certificatesRegister)
					return
				}
				k.fresh, k.dirty = true, true
				k.log.Info("ready to push", "confirmed", err == nil)
			})
		})
	}
	try(configRegister)
}
