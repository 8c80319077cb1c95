// Command plankrouter is the sidecar: it accepts requests of clients, forwards each to the server that the policy picks, and
// returns the response. See README.md.
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
	// memoryLimitFraction is the fraction of limits.memory_mb that is set as the soft memory limit of the Go runtime.
	memoryLimitFraction = 0.7

	// listenTimeout bounds the retries of a listen that fails temporarily. It is below the 10 s that the platform waits for
	// the process to become ready.
	listenTimeout = 5 * time.Second
)

func main() {
	signals := newSignalQueues()
	signals.listen() // before anything else: the start may take a while, and an unhandled signal ends the process
	log.SetFlags(log.LstdFlags | log.Lmicroseconds)
	if err := run(signals); err != nil {
		log.Printf("state=failed err=%q", err)
		os.Exit(1)
	}
}

// run starts the process, as the successor of another one if there is one, and returns when all its requests have responses.
func run(signals signalQueues) error {
	predecessor, err := hotrestart.Inherited(os.Getenv)
	if err != nil {
		return err
	}
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		if predecessor != nil {
			_ = predecessor.Reject(err.Error()) // its error is not needed: this process ends with err anyway
		}
		return err
	}
	if folder := rendezvousFolder(os.Getenv); predecessor == nil && folder != "" {
		if predecessor, err = hotrestart.FindPredecessor(folder); err != nil {
			log.Printf("name=%s handover=alone err=%q", cfg.Name, err)
		}
	}
	runtime.GOMAXPROCS(1) // the process has one core; more threads would only compete for it
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(cfg.Limits.MemoryMB) * bytesPerMB))
	listener, err := listen(cfg, predecessor)
	if err != nil {
		return err
	}
	adminListener, err := listenAdmin(cfg)
	// An address in use, by a predecessor or another program, must not keep this process from serving requests.
	if errno := syscall.Errno(0); errors.As(err, &errno) {
		log.Printf("name=%s state=admin_waiting err=%q", cfg.Name, err)
	} else if err != nil {
		return err
	}
	return serve(startOptions{
		cfg:             cfg,
		getenv:          os.Getenv,
		listener:        listener,
		adminListener:   adminListener,
		dial:            connlimit.DialTCP,
		openDescriptors: openDescriptors(cfg.Limits.Sockets),
		signals:         signals,
		predecessor:     predecessor,
	})
}

// listen returns the predecessor's listener, the one that the platform or the service manager has opened for this process, or
// a new one.
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

// listenTCP is net.Listen with fault injection, for soak tests.
func listenTCP(address string) (net.Listener, error) {
	if err := faultinjection.Inject(faultinjection.Listen); err != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("socket", err)}
	}
	return net.Listen("tcp", address)
}
