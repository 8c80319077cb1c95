package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
)

// ListenVariable names, in a process's environment, the descriptor of the listening socket that a platform holds for it and
// for whoever runs beside or after it.
const ListenVariable = "GW_LISTEN_FD"

// PlatformListener returns the listener that ListenVariable names; nil and nil if there is none. It has to listen on address, which
// is the one in this process's configuration. Closing it leaves the platform's socket open.
func PlatformListener(getenv func(string) string, address string) (*net.TCPListener, error) {
	value := getenv(ListenVariable)
	if value == "" {
		return nil, nil
	}
	fd, err := strconv.Atoi(value)
	if err != nil || fd < 3 {
		return nil, fmt.Errorf("%s=%q: not the number of an inherited descriptor", ListenVariable, value)
	}
	l, err := tcpListener(os.NewFile(uintptr(fd), ListenVariable))
	if err != nil {
		return nil, fmt.Errorf("%s=%s: %w", ListenVariable, value, err)
	}
	if at := l.Addr().String(); at != address {
		l.Close()
		return nil, fmt.Errorf("%s=%s: it listens on %s, but listen says %s", ListenVariable, value, at, address)
	}
	return l, nil
}

// tcpListener makes a listener of its own of what was passed.
func tcpListener(f *os.File) (*net.TCPListener, error) {
	if f == nil {
		return nil, errNoDescriptor
	}
	defer f.Close()
	listens, err := syscall.GetsockoptInt(int(f.Fd()), syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return nil, os.NewSyscallError("getsockopt", err)
	}
	l, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	t, ok := l.(*net.TCPListener)
	if !ok || listens == 0 {
		l.Close()
		return nil, errors.New("it is no listening TCP socket")
	}
	return t, nil
}
