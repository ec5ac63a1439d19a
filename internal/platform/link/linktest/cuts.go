package linktest

import "sync"

// Cuts are the directions in which nothing passes for now. Its zero value has none.
type Cuts struct {
	mu     sync.Mutex
	healed map[Direction]chan struct{} // by each direction that is cut; closed when it is healed
}

// Cut stops some directions. What is held back meanwhile comes late.
func (c *Cuts) Cut(ways ...Direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.healed == nil {
		c.healed = map[Direction]chan struct{}{}
	}
	for _, way := range ways {
		if c.healed[way] == nil {
			c.healed[way] = make(chan struct{})
		}
	}
}

// Heal ends the cuts of some directions; without any, of all.
func (c *Cuts) Heal(ways ...Direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(ways) == 0 {
		for way := range c.healed {
			ways = append(ways, way)
		}
	}
	for _, way := range ways {
		if healed := c.healed[way]; healed != nil {
			close(healed)
			delete(c.healed, way)
		}
	}
}

// Await returns once a direction is not cut. It reports false if done is closed before.
func (c *Cuts) Await(way Direction, done <-chan struct{}) bool {
	c.mu.Lock()
	healed := c.healed[way]
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
