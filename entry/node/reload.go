package node

import (
	"reflect"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/settings"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/timer"
)

// ReloadIfChanged calls Reload if cfg differs from the settings in force, or if err is not nil. cfg and err are the results of
// settings.Load.
func (n *Node) ReloadIfChanged(cfg settings.Host, err error) {
	if err == nil && reflect.DeepEqual(cfg, *n.settings.Load()) {
		return
	}
	n.Reload(cfg, err)
}

// Reload replaces the settings in force. If err is not nil, it only logs err and the old settings stay. Seeds, the limits of
// load, retries and key revocation, and the time limit of a stop that has not begun take effect at once, all other settings only after a
// restart.
func (n *Node) Reload(cfg settings.Host, err error) {
	if err != nil {
		event.LogText(n.log, zerolog.WarnLevel, event.SettingsRefused).Err(err).Send()
		return
	}
	old := n.settings.Swap(&cfg)
	n.membership.setSeeds(n.seedAddresses(cfg.Seeds))
	n.slots.update(timer.BootClock(), pool.ConfigChanged{Config: poolConfig(cfg)})
	n.storeView.setLease(cfg.RevokeLimit - leaseMargin)
	event.LogText(n.log, zerolog.InfoLevel, event.SettingsReloaded).Strs("Changed", changedFields(*old, cfg)).Send()
}

// changedFields returns the names of the settings that differ, for the log.
func changedFields(old, cfg settings.Host) []string {
	names := []string{}
	a, b := reflect.ValueOf(old), reflect.ValueOf(cfg)
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			names = append(names, a.Type().Field(i).Name)
		}
	}
	return names
}

// poolConfig returns the part of the settings that configures the local keeper.
func poolConfig(cfg settings.Host) pool.Config {
	return pool.Config{
		LoadFactor: cfg.LoadFactor, RetryRatio: cfg.RetryRatio, RetrySlack: cfg.RetrySlack, RetryWindow: cfg.RetryWindow,
		ColdFactor: cfg.ColdFactor, ColdSlack: cfg.ColdSlack, ColdBound: cfg.ColdBound,
	}
}
