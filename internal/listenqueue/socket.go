package listenqueue

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// Readable reports whether a socket has something that was not taken from it: a connection in the queue
// of a listener; bytes, an end or an error of a connection. It does not wait.
func Readable(socket syscall.Conn) (readable bool, err error) {
	err = control(socket, func(fd int) error {
		var n int
		pollErr := error(unix.EINTR)
		for errors.Is(pollErr, unix.EINTR) {
			n, pollErr = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		}
		readable = n > 0
		return pollErr
	})
	return readable, err
}

// Unread reports whether bytes wait to be read from a connection. It does not wait.
func Unread(connection syscall.Conn) (unread bool, err error) {
	err = control(connection, func(fd int) error {
		n, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = n > 0
		return err
	})
	return unread, err
}

// queued returns the number of connections in the queue of a listener.
func queued(socket syscall.Conn) (n int, err error) {
	err = control(socket, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			n = int(info.Unacked) // of a listening socket, the length of its queue
		}
		return err
	})
	return n, err
}

const (
	// tcpFlags is the offset of the flags in a TCP header.
	tcpFlags = 13
	flagSYN  = 0x02
	flagACK  = 0x10
	// acceptAll is the result of a filter that takes the whole packet.
	acceptAll = 0xffffffff
)

// dropNewHandshakes makes the kernel drop the first packet of each new handshake with a listener. The client
// sends it again after a second. Handshakes that have begun go on.
func dropNewHandshakes(socket syscall.Conn) error {
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlags},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: flagSYN | flagACK},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: flagSYN, Jt: 0, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: acceptAll},
	}
	return control(socket, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
}

// control calls f with the descriptor of a socket.
func control(socket syscall.Conn, f func(fd int) error) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var result error
	err = raw.Control(func(fd uintptr) { result = f(int(fd)) })
	return errors.Join(err, result)
}
