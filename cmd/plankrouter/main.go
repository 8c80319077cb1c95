// Command plankrouter is the sidecar: it takes the consumers' invocations, sends each to the provider that the
// decision module picks, and answers. See README.md.
package main

import (
	"errors"
	"fmt"
	"log"
	"net"
	"os"
	"plankrouter/internal/config"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/faultinjection"
	"plankrouter/internal/hotrestart"
	"plankrouter/internal/transient"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"
)

const (
	memoryLimitShare = 0.7 // of the limit: beyond it the collector works harder

	listenTimeout = 5 * time.Second // for a listener that can't be had for a moment: the platform waits for 10
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

func run(signals signalQueues) error {
	predecessor, err := hotrestart.Inherited(os.Getenv)
	if err != nil {
		return err
	}
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		if predecessor != nil {
			predecessor.Reject(err.Error())
		}
		return err
	}
	if folder := rendezvousFolder(os.Getenv); predecessor == nil && folder != "" {
		if predecessor, err = hotrestart.Find(folder); err != nil {
			log.Printf("name=%s handover=alone err=%q", cfg.Name, err)
		}
	}
	runtime.GOMAXPROCS(1) // one core is all there is; more threads would only wait for one another
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(cfg.Limits.MemoryMB) * (1 << 20)))
	l, err := listen(cfg, predecessor)
	if err != nil {
		return err
	}
	adminListener, err := listenAdmin(cfg)
	if taken := syscall.Errno(0); errors.As(err, &taken) { // a predecessor has it, or a stranger: requests come first
		log.Printf("name=%s state=operators_wait err=%q", cfg.Name, err)
	} else if err != nil {
		return err
	}
	return serve(cfg, os.Getenv, l, adminListener, connlimit.TCP, openDescriptors(cfg.Limits.Sockets), signals, predecessor)
}

// listen returns the predecessor's listener, the one that the platform or the service manager holds for this process, or a
// new one.
func listen(cfg *config.Config, predecessor *hotrestart.Successor) (net.Listener, error) {
	if predecessor != nil && !predecessor.TookOver() {
		return predecessor.Listener(), predecessor.Check(cfg.Listen)
	}
	if l, err := hotrestart.Held(os.Getenv, cfg.Listen); err != nil || l != nil {
		return l, err
	}
	if l, err := hotrestart.Listener(os.Getenv); err != nil || l != nil {
		return l, err
	}
	var plain net.Listener
	err := transient.Retry(listenTimeout, func() (err error) {
		plain, err = listenTCP(cfg.Listen)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return plain, nil
}

// listenTCP is net.Listen, which a soak may fail.
func listenTCP(address string) (net.Listener, error) {
	if err := faultinjection.Inject(faultinjection.Listen); err != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("socket", err)}
	}
	return net.Listen("tcp", address)
}
