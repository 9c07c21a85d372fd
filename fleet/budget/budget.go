// Package budget limits the retries of each workspace to a share of its requests and a fixed initial balance, so that a fault
// does not multiply the load.
package budget

// Retries holds the retry budgets of all workspaces. It is not safe for concurrent use.
type Retries struct {
	balances map[string]float64
}

const (
	// initialBalance is the balance of a workspace before its first deposit, in retries.
	initialBalance = 10
	// maxBalance limits the balance of a workspace, in retries.
	maxBalance = 100
)

// NewRetries returns budgets in which every workspace has initialBalance.
func NewRetries() *Retries {
	return &Retries{balances: make(map[string]float64)}
}

// Deposit adds share, a fraction of a retry, to a workspace's balance, up to maxBalance. It is called once for each request.
func (b *Retries) Deposit(workspace string, share float64) {
	b.balances[workspace] = min(maxBalance, b.balance(workspace)+share)
}

// Spend takes one retry from a workspace's balance. It reports false, and takes nothing, if the balance is below one.
func (b *Retries) Spend(workspace string) bool {
	balance := b.balance(workspace)
	if balance < 1 {
		return false
	}
	b.balances[workspace] = balance - 1
	return true
}

func (b *Retries) balance(workspace string) float64 {
	if balance, ok := b.balances[workspace]; ok {
		return balance
	}
	return initialBalance
}
