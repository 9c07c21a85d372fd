package pool

import "time"

// budgetShare is the part of the allowed repeats that is used, so that repeats still on their way stay within the bound.
const budgetShare = 0.8

// retryBudget bounds repeats by what was asked in a sliding window.
type retryBudget struct {
	cfg     Config
	buckets []budgetBucket
}

type budgetBucket struct {
	second         int64
	firsts, spends int
}

func newRetryBudget(cfg Config) retryBudget {
	return retryBudget{cfg: cfg, buckets: make([]budgetBucket, max(int(cfg.RetryWindow/time.Second), 1)+1)}
}

// take counts a request, and reports whether it may go on; only a repeat can be refused.
func (b *retryBudget) take(now time.Time, e Asked) bool {
	slack := b.cfg.RetrySlack
	if e.Share > 0 {
		slack *= e.Share
	}
	second := now.Unix()
	firsts, spends := 0, 0
	for _, bucket := range b.buckets {
		if second-bucket.second < int64(len(b.buckets)) {
			firsts += bucket.firsts
			spends += bucket.spends
		}
	}
	allowed := budgetShare * (b.cfg.RetryRatio*float64(firsts) + slack)
	if e.Repeat && float64(spends+1) > allowed {
		return false
	}
	current := &b.buckets[second%int64(len(b.buckets))]
	if current.second != second {
		*current = budgetBucket{second: second}
	}
	if e.Repeat {
		current.spends++
	} else {
		current.firsts++
	}
	return true
}
