package main

import (
	"testing"
	"time"

	"plankrouter/internal/lab/peers"
)

// One of 300 instances starts with a list that names a provider which the directory no longer does, and which is there all
// the same, as a machine is that has come back before the directory says so. Its word counts from the start, though unheard.
func TestFirstListIsAskedForWithinTheGrace(t *testing.T) {
	daily(t, 6, func(t *testing.T, n *peers.Memory, fleet *peers.Fleet) {
		known := peers.List{Revision: fleet.Directory.Revision(), Members: fleet.Directory.Members()}
		gone := fleet.Providers[0].Member()
		gone.Phase = peers.Deleted
		fleet.Directory.Change(gone)
		s := start(t, n, fleet.Directory, func(c *peers.Sidecar) {
			c.Known, c.Balancers = known, 300
			c.Edit = func(d map[string]any) { d["settings"].(map[string]any)["Prices"] = map[string]any{"Probe": 0.08} }
		})
		began := time.Now()
		tries := peers.NewConsumers(peers.Load{Network: n, Address: s.front, Seed: 1, For: 5 * sec,
			Flows: []peers.Flow{{Class: peers.Tile(), Rate: 30}, {Class: peers.Order(), Rate: 10}}}).Run(t.Context())
		for _, one := range fleet.Providers[0].Requests() {
			if late := one.FirstByte.Sub(began); late > 750*time.Millisecond {
				t.Errorf("%s was sent to it after %s", one.ID, late)
			}
		}
		for _, try := range tries {
			if try.Result != peers.Served {
				t.Errorf("%s at %s: %s", try.ID, try.At.Sub(began), try.Result)
			}
		}
		s.stop()
	})
}
