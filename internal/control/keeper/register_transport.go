package keeper

import (
	"time"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/link"
)

// stateQueryInterval is how often another keeper is queried for a register whose state is unknown here.
const stateQueryInterval = 300 * time.Millisecond

// send sends a register's message to a voter, which may be this keeper itself. Messages may be lost: the registers
// retransmit.
func (rs *registerSet) send(name string, to paxos.Voter, msg []byte) {
	envelope := rs.encodeEnvelope(name, msg)
	if to.ID == rs.id && rs.id != 0 {
		go rs.receive(envelope)
		return
	}
	if conn := rs.keeper.knownPeers().connTo(to); conn != nil {
		_ = conn.Send(controlclient.KindConsensus, envelope)
	}
}

// encodeEnvelope encodes a register's message with the register's name and its sender.
func (rs *registerSet) encodeEnvelope(name string, msg []byte) []byte {
	w := link.Writer{}
	w.String(name)
	w.U64(rs.id)
	w.String(rs.keeper.self.Name)
	w.String(rs.keeper.self.Addr)
	w.Bytes(msg)
	return w.Buf
}

// receive queues a received message of a register. It is dropped if the queue is full, as a link must not wait for the
// disk.
func (rs *registerSet) receive(envelope []byte) {
	r := link.Reader{Buf: envelope}
	name := r.String()
	from := paxos.Voter{ID: r.U64(), Name: r.String(), Addr: r.String()}
	msg := r.Bytes()
	if r.Err != nil || rs.byName[name] == nil {
		return
	}
	rs.trySubmit(func() { rs.byName[name].Receive(rs.now(), from, msg) })
}

// receiveDecided queues a decided state from another keeper. It may be dropped, as in receive.
func (rs *registerSet) receiveDecided(body []byte) {
	r := link.Reader{Buf: body}
	name, state := r.String(), paxos.ReadState(&r)
	if r.Err != nil || rs.byName[name] == nil {
		return
	}
	rs.trySubmit(func() { rs.byName[name].Learn(rs.now(), state) })
}

// encodeDecided encodes a decided state of a register.
func encodeDecided(name string, state paxos.State) []byte {
	w := link.Writer{}
	w.String(name)
	state.Append(&w)
	return w.Buf
}

// decidedMessages returns the newest decided state of each register, encoded.
func (rs *registerSet) decidedMessages() [][]byte {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var messages [][]byte
	for _, name := range registerNames {
		if state, known := rs.states[name]; known {
			messages = append(messages, encodeDecided(name, state))
		}
	}
	return messages
}

// broadcastDecided sends a decided state to all other keepers, including those that don't vote.
func (k *Keeper) broadcastDecided(name string, state paxos.State) {
	body := encodeDecided(name, state)
	for _, p := range k.knownPeers() {
		if p.conn != nil {
			_ = p.conn.Send(controlclient.KindDecided, body) // a keeper that misses it queries for it after a report
		}
	}
}

// queryIfUnknown asks a random keeper for a register whose state is unknown here. It proposes nothing: only the lease
// holder of the voters role and keepers that shut down change the voters.
func (rs *registerSet) queryIfUnknown(name string) {
	if _, known := rs.byName[name].State(); known || time.Since(rs.queriedAt[name]) < stateQueryInterval {
		return
	}
	rs.queriedAt[name] = time.Now()
	if node, connected := rs.keeper.knownPeers().randomPeer(); connected {
		rs.byName[name].RequestState(rs.now(), voterOf(node))
	}
}

// queryPeer asks a keeper for its newer state of a register. If the queue is full, the keeper's next report triggers
// the query again.
func (rs *registerSet) queryPeer(name string, node controlclient.Node) {
	rs.trySubmit(func() { rs.byName[name].RequestState(rs.now(), voterOf(node)) })
}

// voterOf returns a keeper as a voter.
func voterOf(node controlclient.Node) paxos.Voter {
	return paxos.Voter{ID: node.ID, Name: node.Name, Addr: node.Addr}
}
