package pool

import "time"

// budgetFraction is the fraction of the allowed retries that is granted. The rest is a reserve, so that retries still in
// flight do not exceed the limit.
const budgetFraction = 0.8

// retryBudget limits the retries of a service in proportion to its first attempts within a sliding window.
type retryBudget struct {
	cfg     Config
	buckets []budgetBucket
}

// budgetBucket counts the first attempts (requests) and retries of one second.
type budgetBucket struct {
	second            int64
	requests, retries int
}

func newRetryBudget(cfg Config) retryBudget {
	return retryBudget{cfg: cfg, buckets: make([]budgetBucket, max(int(cfg.RetryWindow/time.Second), 1)+1)}
}

// allow counts a request and reports whether the budget permits it; only retries can be denied.
func (b *retryBudget) allow(now time.Time, e SlotRequested) bool {
	slack := b.cfg.RetrySlack
	if e.BudgetShare > 0 {
		slack *= e.BudgetShare
	}
	second := now.Unix()
	requests, retries := 0, 0
	for _, bucket := range b.buckets {
		if second-bucket.second < int64(len(b.buckets)) {
			requests += bucket.requests
			retries += bucket.retries
		}
	}
	allowed := budgetFraction * (b.cfg.RetryRatio*float64(requests) + slack)
	if e.Retry && float64(retries+1) > allowed {
		return false
	}
	current := &b.buckets[second%int64(len(b.buckets))]
	if current.second != second {
		*current = budgetBucket{second: second}
	}
	if e.Retry {
		current.retries++
	} else {
		current.requests++
	}
	return true
}
