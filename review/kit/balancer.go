package kit

import (
	"hash/fnv"
	"sync"
	"time"
)

// Balancer chooses a host for each new connection, as the platform does: it asks each host once a second whether it is ready, takes it out
// of the rotation after two misses, and uses all hosts of the zone if fewer than half are in it.
type Balancer struct {
	hosts []*Host

	mu     sync.Mutex
	misses map[*Host]int
}

// StartBalancer starts a balancer for hosts of one zone.
func StartBalancer(hosts []*Host) *Balancer {
	b := &Balancer{hosts: hosts, misses: make(map[*Host]int)}
	for _, h := range hosts {
		go func() {
			for range time.Tick(time.Second) {
				b.note(h, h.IsReady())
			}
		}()
	}
	return b
}

func (b *Balancer) note(h *Host, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ready {
		b.misses[h] = 0
		return
	}
	b.misses[h]++
}

// Pick returns the host for a new connection of a client.
func (b *Balancer) Pick(client string) *Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	var rotation []*Host
	for _, h := range b.hosts {
		if b.misses[h] < 2 {
			rotation = append(rotation, h)
		}
	}
	if 2*len(rotation) < len(b.hosts) {
		rotation = b.hosts
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(client))
	return rotation[hash.Sum32()%uint32(len(rotation))]
}
