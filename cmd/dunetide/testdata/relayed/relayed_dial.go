package main

import (
	"os"
	"strings"
)

// relaysVar holds pairs of a keeper's link address and the address at which it is dialled instead, as "to=relay,to=relay".
const relaysVar = "DUNETIDE_TEST_KEEPER_RELAYS"

// relayedDial tells where another keeper's link address is dialled.
func relayedDial(addr string) string {
	for pair := range strings.SplitSeq(os.Getenv(relaysVar), ",") {
		if to, relay, ok := strings.Cut(pair, "="); ok && to == addr {
			return relay
		}
	}
	return addr
}
