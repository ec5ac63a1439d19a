package main

import (
	"context"
	"sync/atomic"
	"time"

	"dunetide/internal/control/controlclient"
)

const (
	// troubleEvery is how often keepers are told of what keeps the process from its work. They forget it after 5 s.
	conditionInterval = time.Second
	// troubleWait bounds the answer of one keeper.
	conditionTimeout = time.Second
)

// troubleSource tells what keeps the process from its work; empty: nothing.
type conditionSource func() string

// troubleHolder holds the source in force. The zero value has none.
type processCondition struct {
	source atomic.Pointer[conditionSource]
}

func (h *processCondition) set(source conditionSource) { h.source.Store(&source) }
func (h *processCondition) clear()                     { h.source.Store(nil) }

func (h *processCondition) reason() string {
	if source := h.source.Load(); source != nil {
		return (*source)()
	}
	return ""
}

// reportTrouble tells keepers what keeps the process from its work while it lasts, and once when it is over.
func (p *process) reportConditions(node controlclient.Node, keepers func() []string) {
	tick := time.NewTicker(conditionInterval)
	defer tick.Stop()
	told := ""
	for {
		if reason := p.condition.reason(); reason != "" || told != "" {
			if p.reportCondition(controlclient.Condition{Node: node, Reason: reason}, keepers()) {
				told = reason
			}
		}
		select {
		case <-tick.C:
		case <-p.ctx.Done():
			return
		}
	}
}

// tellTrouble tells the first keeper that answers.
func (p *process) reportCondition(trouble controlclient.Condition, keepers []string) bool {
	for _, addr := range keepers {
		ctx, cancel := context.WithTimeout(p.ctx, conditionTimeout)
		err := controlclient.ReportCondition(ctx, addr, trouble)
		cancel()
		if err == nil {
			return true
		}
		p.log.Debug("trouble not reported", "keeper", addr, "err", err)
	}
	return false
}

// startTroubleReports has keepers that membership and the settings know of told.
func (p *process) startConditionReports(role string, port int, members *members) {
	self := controlclient.Node{Name: p.settings.NodeName, Role: role, Zone: p.settings.Zone, Addr: p.internalAddr(port), Incarnation: uint64(time.Now().UnixNano())}
	go p.reportConditions(self, func() []string {
		var addrs []string
		for _, keeper := range members.keepers() {
			if keeper.Addr != self.Addr {
				addrs = append(addrs, keeper.Addr)
			}
		}
		for _, addr := range seedLinks(p.watcher.Current()) {
			if addr != self.Addr {
				addrs = append(addrs, addr)
			}
		}
		return addrs
	})
}
