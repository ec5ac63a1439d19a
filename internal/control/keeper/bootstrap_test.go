package keeper

import (
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/platform/settings"
	"dunetide/internal/platform/vfs"
)

// TestKeeperConnectedBeforeBootstrapLearnsRegisters: a keeper that connects to the initial voters before they have
// bootstrapped learns all registers, with a disk and without. Keepers need them to hold roles and to serve calls.
func TestKeeperConnectedBeforeBootstrapLearnsRegisters(t *testing.T) {
	const first = "127.0.40.1"
	l, err := net.Listen("tcp4", first+":0")
	if err != nil {
		t.Fatal(err)
	}
	port := l.Addr().(*net.TCPAddr).Port
	_ = l.Close()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 3)
	started := 0
	defer func() {
		cancel()
		for range started {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
	}()
	start := func(name, ip string, disk bool) *Keeper {
		controlPort := strconv.Itoa(port + 1)
		o := Options{
			Settings: &settings.Settings{
				NodeName:          name,
				IP:                ip,
				Zone:              "z",
				ControlAddr:       net.JoinHostPort(ip, controlPort),
				FirstInternalPort: port,
				LastInternalPort:  port,
				Seeds:             []string{net.JoinHostPort(first, controlPort)},
				FirstStart:        true,
				HeartbeatInterval: 1200 * time.Millisecond,
			},
			Log: hclog.NewNullLogger(),
		}
		if disk {
			o.Folder = vfs.Dir(t.TempDir())
		}
		k, err := New(o)
		if err != nil {
			t.Fatal(err)
		}
		started++
		go func() { ended <- k.Run(ctx) }()
		return k
	}
	// The seed bootstraps when it connects to another keeper, after it has sent its still empty state.
	late := []*Keeper{start("b", "127.0.40.2", true), start("c", "127.0.40.3", false)}
	start("a", first, true)
	knows := func(k *Keeper) int {
		k.registers.mu.Lock()
		defer k.registers.mu.Unlock()
		return len(k.registers.states)
	}
	deadline := time.Now().Add(10 * time.Second * raceSlowdown)
	for _, k := range late {
		eventuallyBefore(t, deadline, k.self.Name+" knows all registers", func() bool {
			return knows(k) == len(registerNames)
		})
	}
}
