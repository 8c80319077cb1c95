package hotrestart

import (
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/coreos/go-systemd/v22/daemon"
)

// SystemdListener returns the listener that a supervisor has opened for this process by systemd's protocol (LISTEN_PID and
// LISTEN_FDS, sd_listen_fds(3)), or nil and nil if there is none. A successor uses its predecessor's listener instead.
func SystemdListener(getenv func(string) string) (*net.TCPListener, error) {
	if getenv("LISTEN_PID") != strconv.Itoa(os.Getpid()) {
		return nil, nil // meant for another process
	}
	if n := getenv("LISTEN_FDS"); n != "1" {
		return nil, fmt.Errorf("handover: LISTEN_FDS=%s: exactly one listening socket is required", n)
	}
	const first = 3 // SD_LISTEN_FDS_START
	l, err := tcpListener(os.NewFile(first, "LISTEN_FDS"))
	if err != nil {
		return nil, fmt.Errorf("handover: LISTEN_FDS: descriptor %d: %w", first, err)
	}
	return l, nil
}

// Notify reports a state to the supervisor by systemd's protocol (sd_notify(3)): READY=1 once a process without a
// predecessor serves, STOPPING=1 when its shutdown begins. Complete reports MAINPID itself. Without NOTIFY_SOCKET it does
// nothing.
func Notify(state string) error {
	_, err := daemon.SdNotify(false, state)
	return err
}
