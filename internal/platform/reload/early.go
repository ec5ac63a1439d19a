//go:build cgo

package reload

/*
#include <signal.h>

// Runs before the Go runtime starts, which keeps SIGHUP ignored until signal.Notify enables it.
__attribute__((constructor)) static void ignore_sighup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
