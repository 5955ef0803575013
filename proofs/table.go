package proofs

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// Environment variables of these tests: enableVar enables them; binVar names the directory of the built
// programs, which are built if it is not set.
const (
	enableVar = "HIBISCUSSPUR_PROOFS"
	binVar    = "HIBISCUSSPUR_BIN"
)

// The model with repeatable and the one with unrepeatable requests.
const (
	repeatable   = "drafting"
	unrepeatable = "ruling"
)

var binDir string

func run(m *testing.M) int {
	dir, err := filepath.Abs(os.Getenv(binVar))
	if os.Getenv(binVar) == "" {
		dir, err = build()
		defer os.RemoveAll(dir)
	}
	if err != nil {
		fmt.Println(err)
		return 1
	}
	binDir = dir
	code := m.Run()
	printRows()
	return code
}

func build() (string, error) {
	dir, err := os.MkdirTemp("", "proofs-bin")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir+"/", "../cmd/...").CombinedOutput()
	if err != nil {
		return dir, fmt.Errorf("build: %w: %s", err, out)
	}
	return dir, nil
}

// rows are the lines of the result table, in the order in which their tests ended.
var (
	rowsMu sync.Mutex
	rows   []string
)

// row adds one row to the result table when its test ends. point is the number of the invariant.
func row(t *testing.T, point int, fault string, figure func() string) {
	t.Cleanup(func() {
		verdict := "ok"
		if t.Failed() {
			verdict = "FAILED"
		}
		rowsMu.Lock()
		defer rowsMu.Unlock()
		rows = append(rows, fmt.Sprintf("point %d | %-62s | %-34s | %s", point, fault, figure(), verdict))
	})
}

func printRows() {
	rowsMu.Lock()
	defer rowsMu.Unlock()
	for _, r := range rows {
		fmt.Println(r)
	}
}

const pollInterval = 5 * time.Millisecond

// eventually polls until cond holds and returns how long that took. It fails the test once the bound has
// passed.
func eventually(t *testing.T, bound time.Duration, what string, cond func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !cond() {
		if time.Since(start) > bound {
			t.Fatalf("assertion failed: not within %v: %s", bound, what)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(start)
}
