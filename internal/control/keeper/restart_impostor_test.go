package keeper

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/link"
)

// agreeKind is the kind of a message of agreement, as it stands behind the register's name.
type agreeKind uint8

const (
	agreeQuery agreeKind = iota + 1
	agreeTold
	agreePrepare
	agreePromise
	agreeAccept
	agreeAccepted
)

// isQuestion tells whether it asks for a vote.
func (k agreeKind) isQuestion() bool {
	return k == agreeQuery || k == agreePrepare || k == agreeAccept
}

// isVote tells whether it is one.
func (k agreeKind) isVote() bool { return k == agreeTold || k == agreePromise || k == agreeAccepted }

func kindOf(message []byte) agreeKind {
	r := link.Reader{B: message}
	_ = r.String()
	return agreeKind(r.U8())
}

// impostor asks a keeper for its vote under the identity of another voter, which knows the newest state. It passes nothing on by which
// the keeper could catch up.
type impostor struct {
	t     *testing.T
	voter paxos.Voter // that it plays
	asked paxos.Voter
	conn  *link.Conn
	start time.Time

	mu       sync.Mutex
	register *paxos.Register
	heard    map[agreeKind]int // of the keeper's messages
	local    [][]byte          // to itself
}

// impersonate connects to a keeper, past all relays, as another one.
func (r *rig) impersonate(victim int, as paxos.Voter, newest paxos.State) *impostor {
	r.t.Helper()
	k := r.running[victim].k
	p := &impostor{t: r.t, voter: as, asked: paxos.Voter{ID: k.registers.id, Name: k.self.Name, Addr: k.self.Addr}, start: time.Now(), heard: map[agreeKind]int{}}
	register, err := paxos.New(paxos.Options{Name: configRegister, ID: as.ID, ProposerID: rand.Uint64() | 1, Rand: rand.Float64,
		Save: func([]byte) error { return nil }, Send: p.send, OnDecided: func(paxos.State) {}}, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	p.register = register
	p.step(func(now time.Duration) { register.Learn(now, newest) })
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if p.conn, err = link.Dial(ctx, r.linkAddress(victim), p, link.DefaultOptions); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(p.conn.Close)
	w := link.Writer{}
	controlclient.Node{Name: as.Name, Role: controlclient.RoleKeeper, ID: as.ID, Addr: as.Addr, Life: uint64(time.Now().UnixNano())}.Append(&w)
	w.Bool(false)
	if _, err := p.conn.Call(ctx, controlclient.Hello, w.B); err != nil {
		r.t.Fatal(err)
	}
	return p
}

// step runs a step of the register, and those that it makes for itself.
func (p *impostor) step(do func(now time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	do(time.Since(p.start))
	for len(p.local) > 0 {
		message := p.local[0]
		p.local = p.local[1:]
		p.register.Receive(time.Since(p.start), p.voter, message)
	}
}

// send is called in steps.
func (p *impostor) send(to paxos.Voter, message []byte) {
	if to.ID == p.voter.ID {
		p.local = append(p.local, message)
		return
	}
	if p.conn == nil || to.Name != p.asked.Name || !kindOf(message).isQuestion() {
		return
	}
	w := link.Writer{}
	w.String(configRegister)
	w.U64(p.voter.ID)
	w.String(p.voter.Name)
	w.String(p.voter.Addr)
	w.Bytes(message)
	_ = p.conn.Send(controlclient.Agree, w.B)
}

// Message takes what the keeper sends.
func (p *impostor) Message(m *link.Message) {
	if m.Kind != controlclient.Agree {
		return
	}
	r := link.Reader{B: m.Body}
	name := r.String()
	from := paxos.Voter{ID: r.U64(), Name: r.String(), Addr: r.String()}
	message := r.Bytes()
	if r.Err != nil || name != configRegister {
		return
	}
	p.step(func(now time.Duration) {
		p.heard[kindOf(message)]++
		p.register.Receive(now, from, message)
	})
}

// Closed is link.Handler's.
func (p *impostor) Closed(*link.Conn) {}

// askForVotes asks for a change and for a read until the keeper has answered each kind of question, and fails if it voted or if any of
// them was done.
func (p *impostor) askForVotes() {
	p.t.Helper()
	ended := make(chan error, 2)
	p.step(func(now time.Duration) {
		p.register.Propose(now, patience, func(s paxos.State) (paxos.State, error) { return s, nil }, func(_ paxos.State, err error) { ended <- err })
		p.register.Read(now, patience, func(_ paxos.State, err error) { ended <- err })
	})
	const answers = 5
	until(p.t, "the keeper says what it knows", func() bool {
		p.step(func(now time.Duration) {
			if p.register.NextTick() <= now {
				p.register.Tick(now)
			}
		})
		p.mu.Lock()
		defer p.mu.Unlock()
		all := 0
		for kind, n := range p.heard {
			if kind.isVote() {
				p.t.Fatalf("it votes on what it does not know: %d messages of kind %d", n, kind)
			}
			all += n
		}
		return all >= answers
	})
	select {
	case err := <-ended:
		p.t.Errorf("an operation ended without another vote: %v", err)
	default:
	}
}

// askForLease asks for the lease of a duty.
func (p *impostor) askForLease(duty string) (granted bool) {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	reply, err := p.conn.Call(ctx, controlclient.Lease, leaseMessage{role: duty, candidate: p.voter.Name}.encode())
	if err != nil {
		p.t.Fatal(err)
	}
	r := link.Reader{B: reply}
	return r.Bool()
}
