package capacity

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// clockTicks is the unit of processor times in /proc, USER_HZ, on Linux.
const clockTicks = 100

// usage is the CPU time and the memory of a process.
type usage struct {
	cpu time.Duration
	// resident and anonymous are in bytes; the latter excludes the program file.
	resident, anonymous float64
}

// readUsage reads the files of a process under /proc.
func readUsage(pid int) (usage, error) {
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	if u.cpu, err = parseStat(stat); err != nil {
		return u, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	u.resident = statusBytes(status, "VmRSS:")
	u.anonymous = statusBytes(status, "RssAnon:")
	return u, nil
}

// parseStat returns the user and system time in a stat file. The program's name,
// in brackets, may hold spaces.
func parseStat(stat []byte) (time.Duration, error) {
	const userField, systemField = 11, 12 // counted from after the name
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= systemField {
		return 0, merry.New("short stat file")
	}
	var ticks int64
	for _, f := range []int{userField, systemField} {
		n, err := strconv.ParseInt(fields[f], 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicks, nil
}

// statusBytes returns a line of a status file in bytes, 0 if it is missing.
func statusBytes(status []byte, name string) float64 {
	lines := bufio.NewScanner(bytes.NewReader(status))
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 2 || fields[0] != name {
			continue
		}
		kib, err := strconv.ParseFloat(fields[1], 64)
		if err != nil {
			return 0
		}
		return kib * 1024
	}
	return 0
}

// loadAverage returns the load average of the machine over the last minute, 0 if it is not
// known.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	v, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0
	}
	return v
}
