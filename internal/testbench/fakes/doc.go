// Package fakes has a fake discovery, fake servers and clients for tests of a sidecar, with faults that a timeline switches on
// and off. The same test runs on loopback, against the program as a process, and in a testing/synctest bubble, where the
// sidecar uses the listener and Dial of a Memory network.
//
// The package implements the platform's protocol from its specification and shares no code with the program, so that a
// bug in one does not hide the same bug in the other. Package loadgen uses the same ConnPool as Clients.
//
// The example below tests the command in a bubble: half of the servers are replaced while discovery's responses are
// dropped, and the test measures for how long service stays below normal.
//
//	synctest.Test(t, func(t *testing.T) {
//		net := fakes.NewMemory()
//		fleet, err := fakes.NewFleet(net, 8, fakes.ServerOptions{Cores: 4, Queue: 16, Seed: 1,
//			Default: fakes.Service{Mean: 20 * time.Millisecond}})
//		if err != nil {
//			t.Fatal(err)
//		}
//		defer fleet.Close()
//		front, err := net.Listen("")
//		if err != nil {
//			t.Fatal(err)
//		}
//		file := filepath.Join(t.TempDir(), "config.json")
//		raw, err := fakes.Config(fakes.SidecarConfig{Name: "n1", Listen: front.Addr().String(), Seed: 1,
//			Discovery: fleet.Discovery.Address(), Known: fakes.List{Revision: 1, Endpoints: fleet.Endpoints()}})
//		if err != nil || os.WriteFile(file, raw, 0o600) != nil {
//			t.Fatal(err)
//		}
//		getenv := func(key string) string { return map[string]string{"GW_CONFIG": file}[key] }
//		cfg, err := config.Load(getenv)
//		if err != nil {
//			t.Fatal(err)
//		}
//		signals, ended := newSignalQueues(), make(chan error, 1)
//		go func() { ended <- serve(startOptions{cfg: cfg, getenv: getenv, listener: front, dial: net.Dial, signals: signals}) }()
//		if err := fakes.AwaitReady(t.Context(), net, front.Addr().String()); err != nil {
//			t.Fatal(err)
//		}
//
//		start := time.Now()
//		go fakes.Timeline{
//			{At: 5 * time.Second, Name: "responses are dropped", Act: func() { fleet.Discovery.DropResponses(true) }},
//			{At: 6 * time.Second, Name: "release", Act: func() {
//				fleet.Release(t.Context(), fakes.Release{Batch: 4, MaxServers: 4, Grace: time.Second, NewAddresses: true})
//			}},
//		}.Play(t.Context(), start)
//		attempts := fakes.NewClients(fakes.Load{Network: net, Address: front.Addr().String(), Seed: 1,
//			Duration: 30 * time.Second,
//			Streams: []fakes.Stream{{Class: fakes.TileClass(), Rate: 200}, {Class: fakes.OrderClass(), Rate: 40}},
//		}).Run(t.Context())
//
//		normal := fakes.Tally(attempts, start, 5*time.Second)[0]
//		took, ok := fakes.RecoveryTime(attempts, start.Add(6*time.Second), normal.ServedFraction(), 500*time.Millisecond)
//		t.Logf("before the fault: %s; recovered: %t, after %s", normal, ok, took)
//		if twice := fakes.RequestsRunTwice("order", fleet.Servers...); len(twice) > 0 {
//			t.Errorf("orders run twice: %v", twice)
//		}
//		signals.stop <- receivedSignal{Signal: syscall.SIGTERM, earliestSent: time.Now(), readAt: time.Now()}
//		if err := <-ended; err != nil {
//			t.Error(err)
//		}
//	})
//
// On loopback, use Loopback() as the network, and start the program with the file's path in GW_CONFIG and a port that the
// test chooses. Everything else is the same.
//
// In a bubble a run is determined by its seeds. Arrivals are generated in advance, and the random values that a server uses
// for a request depend on that request alone. The Memory network's delays differ by connection, since the order of events at
// the same instant is random. What remains random is the order of two connections opened to one address at the same
// instant, and the sidecar's own random choices.
package fakes
