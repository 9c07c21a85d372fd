package peer

// Kind is what a datagram is for, as the label kind of metrics.
type Kind string

// Kinds of datagrams.
const (
	// KindMembership tells which hosts are live.
	KindMembership Kind = "membership"
	// KindSlotRequest, KindSlotReply and KindSlotRelease pass slots between a host and the keeper of a service; KindHeldSlots renews them.
	KindSlotRequest Kind = "slot_request"
	KindSlotReply   Kind = "slot_reply"
	KindSlotRelease Kind = "slot_release"
	KindHeldSlots   Kind = "held_slots"
	// KindCacheUpdate tells the standbys of a service what its engines cache.
	KindCacheUpdate Kind = "cache_update"
	// KindCrash tells of crashes of endpoints and of completions.
	KindCrash Kind = "crash"
	// KindStore keeps the copies of the platform's store up to date.
	KindStore Kind = "store"
	// KindOther is what is sent only now and then: what endpoints say of themselves, origins of streams, queries.
	KindOther Kind = "other"
)

// Kinds lists all kinds of datagrams.
var Kinds = []Kind{KindMembership, KindSlotRequest, KindSlotReply, KindSlotRelease, KindHeldSlots, KindCacheUpdate, KindCrash, KindStore, KindOther}

// Kind returns the kind of the first message in a datagram. The hosts of this release send messages of one kind in each.
func (d Datagram) Kind() Kind {
	switch {
	case len(d.Heartbeats) > 0 || d.Extensions.Gossip != nil:
		return KindMembership
	case len(d.SlotRequests)+len(d.Additions.BoundRequests)+len(d.Extensions.SlotDemands) > 0:
		return KindSlotRequest
	case len(d.SlotReplies) > 0:
		return KindSlotReply
	case len(d.SlotReleases)+len(d.Extensions.SlotEnds) > 0:
		return KindSlotRelease
	case len(d.HeldSlots) > 0:
		return KindHeldSlots
	case len(d.CacheUpdates) > 0:
		return KindCacheUpdate
	case len(d.Crashes) > 0:
		return KindCrash
	case len(d.Probes)+len(d.ProbeReplies)+len(d.Notices) > 0 || d.Extensions.aboutCopies():
		return KindStore
	}
	return KindOther
}
