package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/site"
)

// budgetFraction is the fraction of the allowed retries that is granted. The rest is a reserve, so that retries still in
// flight do not exceed the limit.
const budgetFraction = 0.8

// retryBudget limits the retries of a service in proportion to its first attempts within a sliding window. It counts what other processes have granted as
// well, as far as they told: the keeper before this one, hosts that decide by themselves, and those that stop.
type retryBudget struct {
	cfg     Config
	buckets []budgetBucket
	// others holds what other processes granted.
	others map[Granter]map[int64]budgetBucket
	// untold is true while the other hosts were not told of a retry that was granted, toldAt is when they were told last.
	untold bool
	toldAt time.Time
}

// budgetBucket counts the first attempts (requests) and retries of one second.
type budgetBucket struct {
	second            int64
	requests, retries int
}

func newRetryBudget(cfg Config) retryBudget {
	return retryBudget{
		cfg: cfg, buckets: make([]budgetBucket, max(int(cfg.RetryWindow/time.Second), 1)+1), others: make(map[Granter]map[int64]budgetBucket),
	}
}

// allow reports whether the budget permits a request, and counts the request if so. Only retries can be denied. A host that reaches a share of the others only
// has this share of the slack.
func (b *retryBudget) allow(now time.Time, e SlotRequested, reachableShare float64) bool {
	slack := b.cfg.RetrySlack * reachableShare
	if e.BudgetShare > 0 {
		slack = b.cfg.RetrySlack * min(e.BudgetShare, reachableShare)
	}
	second := now.Unix()
	total := b.total(second)
	allowed := budgetFraction * (b.cfg.RetryRatio*float64(total.requests) + slack)
	if e.Retry && float64(total.retries+1) > allowed {
		return false
	}
	current := &b.buckets[second%int64(len(b.buckets))]
	if current.second != second {
		*current = budgetBucket{second: second}
	}
	if e.Retry {
		current.retries++
		b.untold = true
	} else {
		current.requests++
	}
	return true
}

// total returns the sum of all requests and retries in the window that ends with a second.
func (b *retryBudget) total(second int64) budgetBucket {
	var total budgetBucket
	add := func(bucket budgetBucket) {
		if b.inWindow(second, bucket) {
			total.requests += bucket.requests
			total.retries += bucket.retries
		}
	}
	for _, bucket := range b.buckets {
		add(bucket)
	}
	for _, granted := range b.others {
		for _, bucket := range granted {
			add(bucket)
		}
	}
	return total
}

func (b *retryBudget) inWindow(second int64, bucket budgetBucket) bool {
	return second-bucket.second < int64(len(b.buckets))
}

const (
	// budgetShareInterval is the least time between two messages about the budget of a service, and budgetRepeatInterval that after which one is repeated
	// while retries are in the window, for hosts that have become standbys meanwhile.
	budgetShareInterval  = 250 * time.Millisecond
	budgetRepeatInterval = time.Second
	// maxGranters limits the processes whose grants are remembered for one service.
	maxGranters = 64
)

// Granter is a process that grants slots: that of a host since a start.
type Granter struct {
	Host host.ID
	// Process tells the processes of a host apart. It is 0 for the one that sends a ShareBudget.
	Process uint64
}

// GrantedSecond is what a process granted of a service within a second.
type GrantedSecond struct {
	// Age is how long ago the second began, in whole seconds.
	Age               int
	Requests, Retries int
}

// Granted is what a process granted of a service within the window of the budget.
type Granted struct {
	Granter Granter
	Seconds []GrantedSecond
}

// ShareBudget tells the service's keeper and standbys what this process granted, with the zero Granter, and what others did, as far as this host knows.
type ShareBudget struct {
	Service site.ServiceName
	Granted []Granted
}

// BudgetShared reports what other processes granted of a service. What this process granted must be left out.
type BudgetShared struct {
	Service site.ServiceName
	Granted []Granted
}

func (ShareBudget) command() {}
func (BudgetShared) event()  {}

// note records what other processes granted. The newest report of a process replaces the one before; none has less than that.
func (b *retryBudget) note(now time.Time, granted []Granted) {
	second := now.Unix()
	b.forget(second)
	for _, g := range granted {
		seconds := make(map[int64]budgetBucket, len(g.Seconds))
		for _, s := range g.Seconds {
			at := second - int64(s.Age)
			seconds[at] = budgetBucket{second: at, requests: s.Requests, retries: s.Retries}
		}
		known, found := b.others[g.Granter]
		if !found && len(b.others) >= maxGranters || found && sumOf(known) > sumOf(seconds) {
			continue
		}
		b.others[g.Granter] = seconds
	}
}

func sumOf(seconds map[int64]budgetBucket) int {
	sum := 0
	for _, bucket := range seconds {
		sum += bucket.requests + bucket.retries
	}
	return sum
}

// forget removes what has left the window.
func (b *retryBudget) forget(second int64) {
	for granter, seconds := range b.others {
		maps.DeleteFunc(seconds, func(_ int64, bucket budgetBucket) bool { return !b.inWindow(second, bucket) })
		if len(seconds) == 0 {
			delete(b.others, granter)
		}
	}
}

// share returns what is to be told, if it is time to.
func (b *retryBudget) share(now time.Time) []Granted {
	second := now.Unix()
	interval := budgetRepeatInterval
	if b.untold {
		interval = budgetShareInterval
	}
	if now.Sub(b.toldAt) < interval || b.total(second).retries == 0 {
		return nil
	}
	b.untold, b.toldAt = false, now
	b.forget(second)
	granted := []Granted{{Seconds: b.seconds(second, b.buckets)}}
	for _, granter := range slices.SortedFunc(maps.Keys(b.others), func(x, y Granter) int {
		return cmp.Or(cmp.Compare(x.Host, y.Host), cmp.Compare(x.Process, y.Process))
	}) {
		granted = append(granted, Granted{Granter: granter, Seconds: b.seconds(second, slices.Collect(maps.Values(b.others[granter])))})
	}
	return slices.DeleteFunc(granted, func(g Granted) bool { return len(g.Seconds) == 0 })
}

// seconds returns those of the buckets in the window that are not empty, the newest first.
func (b *retryBudget) seconds(second int64, buckets []budgetBucket) []GrantedSecond {
	var seconds []GrantedSecond
	for _, bucket := range buckets {
		if b.inWindow(second, bucket) && bucket.requests+bucket.retries > 0 {
			seconds = append(seconds, GrantedSecond{Age: int(second - bucket.second), Requests: bucket.requests, Retries: bucket.retries})
		}
	}
	slices.SortFunc(seconds, func(x, y GrantedSecond) int { return cmp.Compare(x.Age, y.Age) })
	return seconds
}

// shareBudget tells other hosts what was granted, if it is time to.
func (s *service) shareBudget(now time.Time) []Command {
	granted := s.budget.share(now)
	if len(granted) == 0 {
		return nil
	}
	return []Command{ShareBudget{Service: s.name, Granted: granted}}
}
