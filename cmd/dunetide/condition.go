package main

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"dunetide/internal/control/controlclient"
)

const (
	// conditionInterval is how often the condition of the process is reported. Keepers discard a
	// report after 5 s.
	conditionInterval = time.Second
	// conditionTimeout bounds the response of one keeper.
	conditionTimeout = time.Second
)

// conditionSource returns the condition that prevents the process from working; empty if there is none.
type conditionSource func() string

// processCondition holds the current condition source. The zero value has none.
type processCondition struct {
	source atomic.Pointer[conditionSource]
}

func (c *processCondition) set(source conditionSource) { c.source.Store(&source) }
func (c *processCondition) clear()                     { c.source.Store(nil) }

// reason returns the current condition; empty if there is none.
func (c *processCondition) reason() string {
	if source := c.source.Load(); source != nil {
		return (*source)()
	}
	return ""
}

// startConditionReports starts to report the condition of the process to the keepers known from
// membership and the settings, until shutdown is requested.
func (p *process) startConditionReports(role string, port int, members *members) {
	self := controlclient.Node{
		Name:        p.settings.NodeName,
		Role:        role,
		Zone:        p.settings.Zone,
		Addr:        p.internalAddr(port),
		Incarnation: uint64(time.Now().UnixNano()),
	}
	keepers := func() (addrs []string) {
		for _, keeper := range members.keepers() {
			addrs = append(addrs, keeper.Addr)
		}
		addrs = append(addrs, seedLinks(p.watcher.Current())...)
		return slices.DeleteFunc(addrs, func(addr string) bool { return addr == self.Addr })
	}
	p.goroutines.Go(func() { p.reportConditions(self, keepers) })
}

// reportConditions reports the condition of the process to keepers while there is one, and once
// after it has cleared.
func (p *process) reportConditions(node controlclient.Node, keepers func() []string) {
	tick := time.NewTicker(conditionInterval)
	defer tick.Stop()
	reported := ""
	for {
		if reason := p.condition.reason(); reason != "" || reported != "" {
			if p.reportCondition(controlclient.Condition{Node: node, Reason: reason}, keepers()) {
				reported = reason
			}
		}
		select {
		case <-tick.C:
		case <-p.ctx.Done():
			return
		}
	}
}

// reportCondition reports a condition to the first keeper that answers. It returns whether one did.
func (p *process) reportCondition(condition controlclient.Condition, keepers []string) bool {
	for _, addr := range keepers {
		ctx, cancel := context.WithTimeout(p.ctx, conditionTimeout)
		err := controlclient.ReportCondition(ctx, addr, condition)
		cancel()
		if err == nil {
			return true
		}
		p.log.Debug("condition not reported", "keeper", addr, "err", err)
	}
	return false
}
