package membership

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"
)

func TestServicesFindEachOther(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var conns []*net.UDPConn
	for range 4 {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	seeds := []string{conns[0].LocalAddr().String()}
	var services []*Service
	for i, conn := range conns {
		role := "proxy"
		if i == 0 {
			role = RoleKeeper
		}
		service, err := Start(ctx, conn, Options{
			Self:          Peer{Name: fmt.Sprint("p", i), Role: role, Addr: conn.LocalAddr().String(), Incarnation: 1},
			RoundInterval: 20 * time.Millisecond,
		}, seeds)
		if err != nil {
			t.Fatal(err)
		}
		services = append(services, service)
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, service := range services {
		for len(service.View()) < 3 {
			if time.Now().After(deadline) {
				t.Fatalf("%s has a view of %v", service.Self().Name, service.View())
			}
			time.Sleep(time.Millisecond) // a Service offers no event to wait for
		}
	}
	cancel()
	for _, service := range services {
		<-service.Done()
	}
}
