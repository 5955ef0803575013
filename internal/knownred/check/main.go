// Command check reads the output of go test from standard input and exits with 1 unless all of its failures are
// listed in KNOWN-RED.txt. Its argument is the exit status of go test. With -json the output is that of go test -json;
// what tests print is then written to the named file.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/hibiscusspur/hibiscusspur/internal/knownred"
)

func main() {
	text := flag.String("json", "", "read events of go test -json, and write what tests print to `file`")
	flag.Parse()
	ok, err := check(*text, flag.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "KNOWN-RED.txt or test output:", err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

func check(text, status string) (bool, error) {
	list, err := os.Open("KNOWN-RED.txt")
	if err != nil {
		return false, err
	}
	entries, err := knownred.Parse(list)
	if err != nil {
		return false, err
	}
	failures, err := readFailures(text)
	if err != nil {
		return false, err
	}
	if status != "0" && len(failures) == 0 {
		fmt.Println("go test failed without naming a test or package")
		return false, nil
	}
	return knownred.Judge(entries, failures, os.Stdout), nil
}

// readFailures reads the failures from standard input; text is the file for what tests print, empty for plain output.
func readFailures(text string) (failures []knownred.Failure, err error) {
	if text == "" {
		return knownred.Failures(os.Stdin)
	}
	out, err := os.Create(text)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, out.Close()) }()
	return knownred.EventFailures(os.Stdin, out)
}
