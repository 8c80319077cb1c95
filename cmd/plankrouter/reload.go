package main

import (
	"context"
	"log"
	"time"

	"plankrouter/internal/backend"
	"plankrouter/internal/config"
	"plankrouter/internal/dispatch"
	"plankrouter/internal/snapshot"
)

// reload reads the configuration again and applies it. On an error it logs the error and changes nothing. The reload signal was
// sent no earlier than earliestSent.
func (p *program) reload(ctx context.Context, now, earliestSent time.Time) {
	fixed, err := p.applyConfig(now)
	p.metrics.ConfigReloaded(err == nil)
	if err != nil {
		log.Printf("name=%s state=reload_failed err=%q", p.cfg.Name, err)
		return
	}
	for _, key := range fixed {
		log.Printf("name=%s state=reload key=%s err=%q", p.cfg.Name, key, "takes effect at the next start")
	}
	active := p.activeConfig.Load()
	select {
	case p.scheduleChanges <- scheduleChange{schedule: active.ShutdownSchedule, earliestSent: earliestSent}:
	case <-ctx.Done():
	}
	log.Printf("name=%s state=reloaded discovery=%s classes=%v", p.cfg.Name, active.Discovery, active.Settings.ClassNames())
}

// applyConfig reads and checks the whole configuration, applies it, and returns the changed keys that take effect at the next
// start only. The frontend comes after the dispatcher and the backend, so that no request has a class or tenant number that
// they don't know yet.
func (p *program) applyConfig(now time.Time) (fixed []string, err error) {
	next, fixed, err := p.activeConfig.Load().Reload(p.getenv)
	if err != nil {
		return nil, err
	}
	deployment := snapshot.Fingerprint(&next.Settings)
	numbers, err := p.numbering.Apply(now, next)
	if err != nil {
		return nil, err
	}
	if err := p.dispatcher.Reconfigure(dispatch.Reconfiguration{
		Policy: next.Policy, Classes: numbers.Classes, Tenants: numbers.Tenants,
		Deployment: deployment, DrainGrace: next.DrainGrace,
	}); err != nil {
		return nil, err
	}
	p.backend.Reconfigure(backendTimes(next))
	p.frontend.Reconfigure(&next.Settings)
	p.watch.SetAddress(next.Discovery)
	p.discoveryOverridden.Store(true)
	p.activeConfig.Store(next)
	return fixed, nil
}

// backendTimes returns the backend's timeouts and the costs of a retry by class.
func backendTimes(cfg *config.Config) backend.ReloadableSettings {
	return backend.ReloadableSettings{ConnectTimeout: cfg.ConnectTimeout, ServerIdleTimeout: cfg.ConnIdle, RetryCosts: backend.RetryCosts(cfg.Policy.Classes)}
}
