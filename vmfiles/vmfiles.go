// Package vmfiles divides the file descriptors that a process may have among its listeners, so that some are left for backend
// servers, the platform's store and files, however many clients connect.
package vmfiles

import "golang.org/x/sys/unix"

const (
	// reserved is the number of descriptors for files.
	reserved = 200
	// callersShare, processesShare and operatorsShare are the parts of the others that the listeners may take. The rest is for
	// connections to other processes.
	callersShare, processesShare, operatorsShare = 0.5, 0.125, 0.0625
	// minConns is the number of connections that each listener may have at least.
	minConns = 16
	// unknownMax is the number of descriptors if the system doesn't tell.
	unknownMax = 1024
)

// Limits are the numbers of connections that listeners may have open.
type Limits struct {
	// Callers is for the listener of callers, Processes for that of our own processes, Operators for each of the others.
	Callers, Processes, Operators int
}

// For returns the limits of a process that may have some descriptors; zero stands for what the system allows.
func For(maxFiles int) Limits {
	if maxFiles <= 0 {
		maxFiles = systemMax()
	}
	share := func(part float64) int { return max(int(part*float64(maxFiles-reserved)), minConns) }
	return Limits{Callers: share(callersShare), Processes: share(processesShare), Operators: share(operatorsShare)}
}

func systemMax() int {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return unknownMax
	}
	return int(min(l.Cur, 1<<20))
}
