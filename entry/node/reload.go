package node

import (
	"reflect"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/settings"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/timer"
)

// ReloadChanged takes new settings in if they differ from those in force. Settings that can't be read change nothing.
func (n *Node) ReloadChanged(cfg settings.Host, err error) {
	if err == nil && reflect.DeepEqual(cfg, *n.settings.Load()) {
		return
	}
	n.Reload(cfg, err)
}

// Reload takes new settings in: seeds, the bounds of load, repeats and revocation, and the limit of a drain. Addresses and
// names hold until the next start.
func (n *Node) Reload(cfg settings.Host, err error) {
	if err != nil {
		event.LogText(n.log, zerolog.WarnLevel, event.SettingsRefused).Err(err).Send()
		return
	}
	old := n.settings.Swap(&cfg)
	n.members.setSeeds(n.seedAddresses(cfg.Seeds))
	n.slots.update(timer.BootClock(), pool.ConfigChanged{Config: poolConfig(cfg)})
	n.storeView.setLease(cfg.RevokeLimit - leaseMargin)
	event.LogText(n.log, zerolog.InfoLevel, event.SettingsReloaded).Strs("Changed", changed(*old, cfg)).Send()
}

// changed names the settings that differ.
func changed(old, cfg settings.Host) []string {
	names := []string{}
	a, b := reflect.ValueOf(old), reflect.ValueOf(cfg)
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			names = append(names, a.Type().Field(i).Name)
		}
	}
	return names
}

func poolConfig(cfg settings.Host) pool.Config {
	return pool.Config{
		LoadFactor: cfg.LoadFactor, RetryRatio: cfg.RetryRatio, RetrySlack: cfg.RetrySlack, RetryWindow: cfg.RetryWindow,
	}
}
