// Package memory decides which requests of a host may take memory. A ledger divides a budget among kinds of use and among workspaces: what
// finds no room waits or is refused. It does no I/O; the time is passed in.
package memory

import (
	"cmp"
	"slices"
	"time"

	"balsamknot.org/fleet/site"
)

// Bytes is an amount of memory.
type Bytes int64

// Units of memory.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
)

// Kind is what memory is used for.
type Kind string

// Kinds of use.
const (
	// Body is the body of a request.
	Body Kind = "body"
	// Answer is an answer that is held until it is complete.
	Answer Kind = "answer"
	// Stream is an answer that is passed on as it arrives.
	Stream Kind = "stream"
	// Connection is the connection of a caller.
	Connection Kind = "connection"
)

// Kinds lists the kinds of use.
var Kinds = []Kind{Body, Answer, Stream, Connection}

// Claim is memory for one use. Workspace is not used for connections, which belong to none.
type Claim struct {
	Kind      Kind
	Workspace site.WorkspaceName
	Bytes     Bytes
}

// ID identifies a claim that waits.
type ID uint64

// Request asks for the memory of a claim, which may have to wait.
type Request struct {
	ID    ID
	Claim Claim
	// Holding is true if the claim adds to memory that stays taken while it waits.
	Holding bool
}

// Decision is the ledger's reply to a Request.
type Decision int

// Decisions.
const (
	// Refused means that there is no room and that waiting would not help.
	Refused Decision = iota
	// Granted means that the memory is taken. It must be released.
	Granted
	// Waiting means that the claim is granted by a later Release, unless it is withdrawn.
	Waiting
)

// Config holds the parameters of a ledger.
type Config struct {
	// Budget is the most that all claims together may take.
	Budget Bytes
}

// SmallBody is the largest body that may use the room that is kept free of large ones.
const SmallBody = 64 * KiB

const (
	// maxWaiting limits the claims that wait.
	maxWaiting = 256
	// spareDivisor divides a ceiling. The quotient is what a workspace may always take if there is room, what others leave free for it,
	// and the most that may wait for one workspace.
	spareDivisor = 8
)

// Ledger records what is taken of a budget.
//
// Each kind has a ceiling on what is taken in all, so that large bodies leave room for small ones, and both for answers, whose requests
// have run and can't be refused.
//
// Below its ceiling, a workspace has a right to its share, and takes more only if the shares of the others and an eighth of the ceiling
// remain free. Shares are max-min fair (Bertsekas and Gallager, Data Networks, section 6.5.2) with what each workspace usually holds as
// its demand. Equal shares would not do: a workspace that usually holds more than an equal share would lose the rest to one that suddenly
// sends more than ever, although there was room for both before.
//
// A claim waits only if it holds nothing meanwhile, or as the only one that does. So those that hold memory make progress, or are refused
// and release it, and no two can wait for each other. It is not safe for concurrent use.
type Ledger struct {
	cfg        Config
	used       Bytes
	peak       Bytes
	byKind     map[Kind]Bytes
	workspaces map[site.WorkspaceName]*usage
	// level is the largest share, from the end of the last window.
	level Bytes
	// windowEnd is when the current window ends; zero before the first claim. windowEnded is true after the first window.
	windowEnd   time.Time
	windowEnded bool
	waiting     []Request
}

// NewLedger returns a ledger of which nothing is taken.
func NewLedger(cfg Config) *Ledger {
	return &Ledger{cfg: cfg, byKind: make(map[Kind]Bytes), workspaces: make(map[site.WorkspaceName]*usage), level: cfg.Budget}
}

// Used returns what is taken in all.
func (l *Ledger) Used() Bytes { return l.used }

// Peak returns the most that was taken at a time.
func (l *Ledger) Peak() Bytes { return l.peak }

// UsedBy returns what is taken for a kind of use.
func (l *Ledger) UsedBy(kind Kind) Bytes { return l.byKind[kind] }

// Budget returns the most that may be taken.
func (l *Ledger) Budget() Bytes { return l.cfg.Budget }

// Take takes the memory of a claim and returns true, or returns false if there is no room now.
func (l *Ledger) Take(now time.Time, c Claim) bool {
	l.advance(now)
	if !l.hasRoom(c) {
		return false
	}
	l.add(c)
	return true
}

// Request takes the memory of a claim, lets it wait or refuses it. A claim doesn't overtake those of its workspace that wait.
func (l *Ledger) Request(now time.Time, r Request) Decision {
	l.advance(now)
	queued := l.queued(r.Claim.Workspace)
	if (queued == 0 || r.Holding) && l.hasRoom(r.Claim) {
		l.add(r.Claim)
		return Granted
	}
	if !l.mayWait(r, queued) {
		return Refused
	}
	l.waiting = append(l.waiting, r)
	return Waiting
}

// Release returns the memory of a claim and grants claims that wait; it returns their IDs.
func (l *Ledger) Release(now time.Time, c Claim) []ID {
	l.advance(now)
	l.used -= c.Bytes
	l.byKind[c.Kind] -= c.Bytes
	if c.Kind != Connection {
		l.workspaces[c.Workspace].held -= c.Bytes
	}
	return l.grantWaiting()
}

// Withdraw removes a claim that waits. It returns false if the claim doesn't wait, which means that it was granted.
func (l *Ledger) Withdraw(id ID) bool {
	before := len(l.waiting)
	l.waiting = slices.DeleteFunc(l.waiting, func(r Request) bool { return r.ID == id })
	return len(l.waiting) < before
}

// ceiling returns what may be taken in all when a claim is granted.
func (l *Ledger) ceiling(c Claim) Bytes {
	switch {
	case c.Kind == Answer:
		return l.cfg.Budget
	case c.Kind == Body && c.Bytes > SmallBody:
		return l.largeBodyCeiling()
	}
	return l.cfg.Budget / 4 * 3
}

func (l *Ledger) largeBodyCeiling() Bytes { return l.cfg.Budget / 8 * 5 }

// hasRoom reports whether a claim is within its ceiling, and within the share of its workspace or the room that no share needs.
func (l *Ledger) hasRoom(c Claim) bool {
	ceiling := l.ceiling(c)
	switch {
	case l.used+c.Bytes > ceiling:
		return false
	case c.Kind == Connection:
		return l.byKind[Connection]+c.Bytes <= l.cfg.Budget/2
	}
	spare := ceiling / spareDivisor
	if l.held(c.Workspace)+c.Bytes <= max(l.share(c.Workspace), spare) {
		return true
	}
	return l.used+c.Bytes+spare+l.reserved(c.Workspace) <= ceiling
}

// share returns what a workspace has a right to. Before the end of the first window, when it is not known what is usual, that is an equal
// share beside the workspaces so far and one to come.
func (l *Ledger) share(workspace site.WorkspaceName) Bytes {
	if !l.windowEnded {
		return l.largeBodyCeiling() / Bytes(len(l.workspaces)+1)
	}
	if u := l.workspaces[workspace]; u != nil {
		return min(u.usual, l.level)
	}
	return 0
}

// reserved returns how much the other workspaces may still take of their shares; of equal shares, only what they have taken before.
func (l *Ledger) reserved(except site.WorkspaceName) Bytes {
	var sum Bytes
	for name, u := range l.workspaces {
		if name == except {
			continue
		}
		share := l.share(name)
		if !l.windowEnded {
			share = min(share, u.peak)
		}
		sum += max(share-u.held, 0)
	}
	return sum
}

func (l *Ledger) add(c Claim) {
	l.used += c.Bytes
	l.peak = max(l.peak, l.used)
	l.byKind[c.Kind] += c.Bytes
	if c.Kind == Connection {
		return
	}
	u := l.workspaces[c.Workspace]
	if u == nil {
		u = &usage{}
		l.workspaces[c.Workspace] = u
	}
	u.held += c.Bytes
	u.peak = max(u.peak, u.held)
}

// queued returns how much the waiting claims of a workspace ask for.
func (l *Ledger) queued(workspace site.WorkspaceName) Bytes {
	var sum Bytes
	for _, r := range l.waiting {
		if r.Claim.Workspace == workspace {
			sum += r.Claim.Bytes
		}
	}
	return sum
}

// mayWait reports whether a claim for which there is no room may wait. queued is what waits for its workspace already.
func (l *Ledger) mayWait(r Request, queued Bytes) bool {
	ceiling := l.ceiling(r.Claim)
	switch {
	case r.Claim.Kind == Connection, r.Claim.Bytes > ceiling-ceiling/spareDivisor, len(l.waiting) >= maxWaiting:
		return false
	case r.Holding:
		return !slices.ContainsFunc(l.waiting, func(other Request) bool { return other.Holding })
	}
	return queued == 0 || queued+r.Claim.Bytes <= ceiling/spareDivisor
}

// grantWaiting grants what has room now: first what holds memory already, then what belongs to the workspace that holds least, then what
// has waited longest.
func (l *Ledger) grantWaiting() []ID {
	var granted []ID
	for {
		next := -1
		for i, r := range l.waiting {
			if (next < 0 || l.before(r, l.waiting[next])) && l.hasRoom(r.Claim) {
				next = i
			}
		}
		if next < 0 {
			return granted
		}
		l.add(l.waiting[next].Claim)
		granted = append(granted, l.waiting[next].ID)
		l.waiting = slices.Delete(l.waiting, next, next+1)
	}
}

func (l *Ledger) before(a, b Request) bool {
	if a.Holding != b.Holding {
		return a.Holding
	}
	return cmp.Less(l.held(a.Claim.Workspace), l.held(b.Claim.Workspace))
}

func (l *Ledger) held(workspace site.WorkspaceName) Bytes {
	if u := l.workspaces[workspace]; u != nil {
		return u.held
	}
	return 0
}
