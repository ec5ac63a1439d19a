package keeper

import (
	"context"
	"time"
)

const (
	// maxQueuedCommands bounds the command queue of a goroutine. When it is full, submit blocks and trySubmit fails.
	maxQueuedCommands = 4096
	// maxCommandsPerTurn bounds the commands that run in a row before the goroutine checks its timers again.
	maxCommandsPerTurn = 256
	// tickInterval is the period of the owner goroutine's periodic work.
	tickInterval = 200 * time.Millisecond
)

// loop is the owner goroutine: only it reads and writes the state of the keeper, except for that of the registers.
func (k *Keeper) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case command := <-k.commands:
			command()
			runQueued(k.commands)
		case <-k.postsReady:
			k.runPosts()
		case <-ticker.C:
			k.tick(time.Now())
		case <-k.contactTimer.C:
		case <-ctx.Done():
			return
		}
		k.stepContact()
		if k.pushNeeded {
			k.pushAll()
		}
	}
}

// tick does the periodic work.
func (k *Keeper) tick(now time.Time) {
	k.dialKeepers(now)
	k.expireEndpoints(now)
	k.ends.tick(now)
	if now.Sub(k.heartbeatSentAt) >= k.heartbeatInterval()/2 {
		k.heartbeatSentAt = now
		k.broadcastLiveness(now)
	}
	k.completeWaiters(now)
	k.updateGauges(now)
	k.stepAssigner(now)
	k.stepVoterManager(now)
	complete, revision := k.endpoints.Listening(k.sinceStart(now)), k.endpoints.LastChange()
	if complete != k.pushedListComplete || revision != k.pushedListRevision {
		k.pushNeeded = true
	}
}

// expireEndpoints removes endpoints whose heartbeats have stopped.
func (k *Keeper) expireEndpoints(now time.Time) {
	if !k.contact.InContact(k.sinceStart(now)) {
		k.endpoints.MarkIncomplete(k.sinceStart(now))
	}
	for _, e := range k.endpoints.Expire(k.sinceStart(now)) {
		k.log.Info("endpoint expired: heartbeats stopped", "id", e.ID, "service", e.Service, "address", e.Address)
		k.pushNeeded = true
	}
}

// submit queues a command for the owner goroutine, and waits while the queue is full. The owner goroutine itself and
// the registers' goroutine must not call it.
func (k *Keeper) submit(command func()) {
	select {
	case k.commands <- command:
	case <-k.ended:
	}
}

// query runs a command on the owner goroutine and returns its result; !ok: the keeper has ended.
func query[T any](k *Keeper, command func() T) (result T, ok bool) {
	done := make(chan T, 1)
	k.submit(func() { done <- command() })
	select {
	case result = <-done:
		return result, true
	case <-k.ended:
		return result, false
	}
}

// post queues a command for the owner goroutine without ever blocking. The registers' goroutine uses it, because it
// must not wait for the owner goroutine.
func (k *Keeper) post(command func()) {
	k.postsMu.Lock()
	k.posts = append(k.posts, command)
	k.postsMu.Unlock()
	select {
	case k.postsReady <- struct{}{}:
	default:
	}
}

// runPosts runs the posted commands.
func (k *Keeper) runPosts() {
	k.postsMu.Lock()
	posts := k.posts
	k.posts = nil
	k.postsMu.Unlock()
	for _, command := range posts {
		command()
	}
}

// runQueued runs the queued commands, up to maxCommandsPerTurn.
func runQueued(commands <-chan func()) {
	for range maxCommandsPerTurn {
		select {
		case command := <-commands:
			command()
		default:
			return
		}
	}
}
