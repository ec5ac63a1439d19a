package linktest

import "sync"

// Cuts is the set of directions in which traffic is blocked. Its zero value is empty.
type Cuts struct {
	mu     sync.Mutex
	healed map[Direction]chan struct{} // by direction that is cut; closed when the direction is healed
}

// Cut blocks some directions. Data that is held back meanwhile is delivered late, not lost.
func (c *Cuts) Cut(directions ...Direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.healed == nil {
		c.healed = map[Direction]chan struct{}{}
	}
	for _, direction := range directions {
		if c.healed[direction] == nil {
			c.healed[direction] = make(chan struct{})
		}
	}
}

// Heal unblocks some directions; without arguments, all.
func (c *Cuts) Heal(directions ...Direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(directions) == 0 {
		for direction := range c.healed {
			directions = append(directions, direction)
		}
	}
	for _, direction := range directions {
		if healed := c.healed[direction]; healed != nil {
			close(healed)
			delete(c.healed, direction)
		}
	}
}

// Await blocks until a direction is not cut. It returns false if done is closed first.
func (c *Cuts) Await(direction Direction, done <-chan struct{}) bool {
	c.mu.Lock()
	healed := c.healed[direction]
	c.mu.Unlock()
	if healed == nil {
		return true
	}
	select {
	case <-healed:
		return true
	case <-done:
		return false
	}
}
