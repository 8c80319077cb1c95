package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
)

// ListenVariable is the environment variable that holds the descriptor number of the listening socket that the platform
// keeps open for this process and for the processes that run beside or after it.
const ListenVariable = "GW_LISTEN_FD"

// PlatformListener returns the listener whose descriptor ListenVariable holds, or nil and nil if the variable is empty. The
// listener must listen on address, which is the configured one. Closing it leaves the platform's socket open.
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
	if actual := l.Addr().String(); actual != address {
		l.Close()
		return nil, fmt.Errorf("%s=%s: the socket listens on %s, but listen is configured as %s", ListenVariable, value, actual, address)
	}
	return l, nil
}

// tcpListener returns a listener on a copy of the passed descriptor, and closes f. It returns errNoDescriptor if f is nil.
func tcpListener(f *os.File) (*net.TCPListener, error) {
	if f == nil {
		return nil, errNoDescriptor
	}
	defer f.Close()
	listening, err := syscall.GetsockoptInt(int(f.Fd()), syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return nil, os.NewSyscallError("getsockopt", err)
	}
	l, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	t, ok := l.(*net.TCPListener)
	if !ok || listening == 0 {
		l.Close()
		return nil, errors.New("not a listening TCP socket")
	}
	return t, nil
}
