package catalogue

import (
	"slices"
	"time"

	"balsamknot.org/fleet/host"
)

// DistributionConfig holds the limits of a Distribution.
type DistributionConfig struct {
	// MinBytes is the size of a complete copy below which its reader serves it itself.
	MinBytes int
	// MaxFollowers is how many hosts one holder serves at a time.
	MaxFollowers int
	// TransferTime is the time after which a host that was referred to a holder is taken for a holder itself.
	TransferTime time.Duration
	// Lifetime is how long a holder is remembered.
	Lifetime time.Duration
}

// Distribution decides from where a host gets a complete copy of the store, at the reader that it asks. When many hosts start together, one of
// each data centre gets the copy from the reader, and refers the others of its data centre to hosts that have it, so that the copy crosses
// data centres once and the reader's link does not have to carry it to the whole fleet. It is not safe for concurrent use.
type Distribution struct {
	cfg     DistributionConfig
	holders map[host.DataCentre][]*holder
}

// holder is a host that has a complete copy, or will have one at readyAt.
type holder struct {
	host host.ID
	// readyAt is zero while the reader sends it the copy.
	readyAt   time.Time
	followers int
	addedAt   time.Time
}

// Asker is a host that asks for a complete copy. Hosts of earlier releases do not name themselves.
type Asker struct {
	Host       host.ID
	DataCentre host.DataCentre
}

// Referral is the reader's answer to an Asker: it serves the copy itself if both fields are zero.
type Referral struct {
	// To is the host that has the copy.
	To host.ID
	// Wait is true if a host of the data centre will have the copy soon.
	Wait bool
}

// NewDistribution returns a Distribution without holders.
func NewDistribution(cfg DistributionConfig) *Distribution {
	return &Distribution{cfg: cfg, holders: make(map[host.DataCentre][]*holder)}
}

// Refer returns from where a host gets a copy of a size in bytes. If the reader serves it itself, Served or Failed must follow.
func (d *Distribution) Refer(now time.Time, a Asker, bytes int) Referral {
	if a.Host == "" || bytes < d.cfg.MinBytes {
		return Referral{}
	}
	d.remove(a)
	holders := d.expire(now, a.DataCentre)
	if h := d.leastFollowed(now, holders); h != nil {
		h.followers++
		d.add(now, a, now.Add(d.cfg.TransferTime))
		return Referral{To: h.host}
	}
	if len(holders) > 0 {
		return Referral{Wait: true}
	}
	d.add(now, a, time.Time{})
	return Referral{}
}

// Served records that the reader has sent a host the copy.
func (d *Distribution) Served(now time.Time, a Asker) {
	for _, h := range d.holders[a.DataCentre] {
		if h.host == a.Host {
			h.readyAt = now
		}
	}
}

// Failed records that the reader could not send a host the copy.
func (d *Distribution) Failed(a Asker) { d.remove(a) }

func (d *Distribution) add(now time.Time, a Asker, readyAt time.Time) {
	d.holders[a.DataCentre] = append(d.holders[a.DataCentre], &holder{host: a.Host, readyAt: readyAt, addedAt: now})
}

func (d *Distribution) remove(a Asker) {
	d.holders[a.DataCentre] = slices.DeleteFunc(d.holders[a.DataCentre], func(h *holder) bool { return h.host == a.Host })
}

// expire removes the holders of a data centre that were added too long ago, and returns the others.
func (d *Distribution) expire(now time.Time, dc host.DataCentre) []*holder {
	d.holders[dc] = slices.DeleteFunc(d.holders[dc], func(h *holder) bool { return now.Sub(h.addedAt) > d.cfg.Lifetime })
	return d.holders[dc]
}

// leastFollowed returns the ready holder with the fewest followers; nil if all have MaxFollowers.
func (d *Distribution) leastFollowed(now time.Time, holders []*holder) *holder {
	var best *holder
	for _, h := range holders {
		ready := !h.readyAt.IsZero() && !now.Before(h.readyAt)
		if ready && h.followers < d.cfg.MaxFollowers && (best == nil || h.followers < best.followers) {
			best = h
		}
	}
	return best
}
