// Command plankrouter is the sidecar: it takes the clients' requests, sends each to the server that the policy picks, and
// answers. See README.md.
package main

import (
	"errors"
	"fmt"
	"log"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"plankrouter/internal/config"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/faultinjection"
	"plankrouter/internal/hotrestart"
	"plankrouter/internal/transient"
)

const (
	// memoryLimitFraction is the share of limits.memory_mb beyond which the garbage collector works harder.
	memoryLimitFraction = 0.7

	// listenTimeout bounds the wait for a listener that can't be had for a moment: the platform waits for 10 s.
	listenTimeout = 5 * time.Second
)

func main() {
	signals := newSignalQueues()
	signals.listen() // before anything else: to start may take a while, and a signal that nobody takes ends the process
	log.SetFlags(log.LstdFlags | log.Lmicroseconds)
	if err := run(signals); err != nil {
		log.Printf("state=failed err=%q", err)
		os.Exit(1)
	}
}

// run starts the process, beside or after another one where there is such, and returns when it has served all.
func run(signals signalQueues) error {
	predecessor, err := hotrestart.Inherited(os.Getenv)
	if err != nil {
		return err
	}
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		if predecessor != nil {
			_ = predecessor.Reject(err.Error()) // which returns the reason that this process ends for anyway
		}
		return err
	}
	if folder := rendezvousFolder(os.Getenv); predecessor == nil && folder != "" {
		if predecessor, err = hotrestart.FindPredecessor(folder); err != nil {
			log.Printf("name=%s handover=alone err=%q", cfg.Name, err)
		}
	}
	runtime.GOMAXPROCS(1) // one core is all there is; more threads would only wait for one another
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(cfg.Limits.MemoryMB) * bytesPerMB))
	listener, err := listen(cfg, predecessor)
	if err != nil {
		return err
	}
	adminListener, err := listenAdmin(cfg)
	if errno := syscall.Errno(0); errors.As(err, &errno) { // a predecessor or another program has the address: requests come first
		log.Printf("name=%s state=admin_waiting err=%q", cfg.Name, err)
	} else if err != nil {
		return err
	}
	return serve(startOptions{
		cfg:             cfg,
		getenv:          os.Getenv,
		listener:        listener,
		adminListener:   adminListener,
		dial:            connlimit.TCP,
		openDescriptors: openDescriptors(cfg.Limits.Sockets),
		signals:         signals,
		predecessor:     predecessor,
	})
}

// listen returns the predecessor's listener, the one that the platform or the service manager holds for this process, or a
// new one.
func listen(cfg *config.Config, predecessor *hotrestart.Successor) (net.Listener, error) {
	if predecessor != nil && !predecessor.StartedByPlatform() {
		return predecessor.Listener(), predecessor.CheckAddress(cfg.Listen)
	}
	if l, err := hotrestart.PlatformListener(os.Getenv, cfg.Listen); err != nil || l != nil {
		return l, err
	}
	if l, err := hotrestart.SystemdListener(os.Getenv); err != nil || l != nil {
		return l, err
	}
	var listener net.Listener
	err := transient.Retry(listenTimeout, func() (err error) {
		listener, err = listenTCP(cfg.Listen)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return listener, nil
}

// listenTCP is net.Listen, which a soak may fail.
func listenTCP(address string) (net.Listener, error) {
	if err := faultinjection.Inject(faultinjection.Listen); err != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("socket", err)}
	}
	return net.Listen("tcp", address)
}
