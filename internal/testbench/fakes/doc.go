// Package fakes has scripted stand-ins for what surrounds a sidecar: discovery, servers and clients. They behave well and,
// by a timeline, misbehave. The same script runs on loopback, against the program as a process, and in a bubble of
// testing/synctest, where the sidecar is given the Memory network's listener and its Dial.
//
// It knows the platform's protocol from that protocol's own description and shares no code with the program, so that a
// fault of one does not hide the same fault of the other. Package loadgen sends by the same Client as its clients do.
//
// An example, as a test of the command in a bubble: half of the servers are replaced while discovery's
// answers are lost, and the test asks for how long service stays below normal.
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
//			{At: 5 * time.Second, Name: "answers are lost", Act: func() { fleet.Discovery.LoseAnswers(true) }},
//			{At: 6 * time.Second, Name: "release", Act: func() {
//				fleet.Release(t.Context(), fakes.Release{Batch: 4, MaxServers: 4, Grace: time.Second, NewAddresses: true})
//			}},
//		}.Play(t.Context(), start)
//		tries := fakes.NewClients(fakes.Load{Network: net, Address: front.Addr().String(), Seed: 1,
//			Duration: 30 * time.Second,
//			Streams: []fakes.Stream{{Class: fakes.TileClass(), Rate: 200}, {Class: fakes.OrderClass(), Rate: 40}},
//		}).Run(t.Context())
//
//		calm := fakes.Tally(tries, start, 5*time.Second)[0]
//		took, ok := fakes.RecoveryTime(tries, start.Add(6*time.Second), calm.ServedFraction(), 500*time.Millisecond)
//		t.Logf("calm: %s; recovered: %t, after %s", calm, ok, took)
//		if twice := fakes.RequestsRunTwice("order", fleet.Servers...); len(twice) > 0 {
//			t.Errorf("orders run twice: %v", twice)
//		}
//		signals.stop <- receivedSignal{Signal: syscall.SIGTERM, earliestSent: time.Now(), readAt: time.Now()}
//		if err := <-ended; err != nil {
//			t.Error(err)
//		}
//	})
//
// On loopback the network is Loopback(), and the program is started with the file's path in GW_CONFIG and a port of its
// own choice. All else is the same.
//
// In a bubble a run is decided by its seeds. Arrivals are drawn ahead, what a server draws for a request depends on
// that request alone, and the Memory network's delays differ by connection, since the order of what happens at the very
// same instant would be left to chance. What remains of that is two connections opened to one address at one instant,
// and whatever the sidecar itself leaves to chance.
package fakes
