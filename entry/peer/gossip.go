package peer

import "balsamknot.org/fleet/roster"

// Gossip is roster.Gossip from a host that understands updates. To a host of which that is not known, it only says so, beside the heartbeats in
// the datagram's array.
type Gossip struct {
	Heartbeats []roster.Heartbeat  `cbor:"1,keyasint,omitempty"`
	Updates    []roster.Update     `cbor:"2,keyasint,omitempty"`
	Wanted     []roster.ProcessKey `cbor:"3,keyasint,omitempty"`
}

// GossipMessage converts a message of the roster. Its first heartbeat must be that of the sender.
func GossipMessage(m roster.Message) Datagram {
	g := m.Gossip
	switch {
	case m.Compact:
		return Datagram{Extensions: Extensions{Gossip: &Gossip{Heartbeats: g.Heartbeats, Updates: g.Updates, Wanted: g.Wanted}}}
	case g.UnderstandsUpdates:
		// Which of the two datagrams arrives first is not known, so that both introduce the sender.
		return Datagram{Heartbeats: g.Heartbeats, Extensions: Extensions{Gossip: &Gossip{Heartbeats: g.Heartbeats[:1]}}}
	}
	return Datagram{Heartbeats: g.Heartbeats}
}

// ToRoster returns what the datagram says of the fleet; ok is false if that is nothing.
func (d Datagram) ToRoster() (g roster.Gossip, ok bool) {
	g.Heartbeats = d.Heartbeats
	if e := d.Extensions.Gossip; e != nil {
		g.Heartbeats = append(g.Heartbeats, e.Heartbeats...)
		g.Updates, g.Wanted, g.UnderstandsUpdates = e.Updates, e.Wanted, true
	}
	return g, len(g.Heartbeats) > 0 || g.UnderstandsUpdates
}
