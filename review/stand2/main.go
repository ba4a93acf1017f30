// Command stand2 plays the scripted cases of the second review. It starts gates and vaults as
// separate processes on loopback addresses, and stands in for the platform's key-value service,
// its runners and its clients.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// The exit statuses of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// scenario is one case. It reports whether the rule was broken.
type scenario func(d *deployment, trouble bool) (bool, error)

var scenarios = map[string]struct {
	size  size
	model scenario
}{
	"cut-seat":      {size{gates: 3, vaults: 4, runners: 6}, cutSeat},
	"foreign-entry": {size{gates: 3, vaults: 3, runners: 4}, foreignEntry},
	"same-words":    {size{gates: 6, vaults: 3, runners: 12}, sameWords},
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		runRunner(os.Args[2:])
		return
	}
	os.Exit(play())
}

// play plays the case that the arguments name.
func play() int {
	name := flag.String("case", "", "the case")
	binary := flag.String("binary", "target/cowslipstage", "the program under review")
	record := flag.String("record", "record.txt", "the file that tells what was sent, answered and run")
	keep := flag.Bool("keep", false, "keep the temporary folder with the logs")
	flag.Parse()
	s, ok := scenarios[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return cannotRun
	}
	path, err := filepath.Abs(*binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	d, err := newDeployment(path, *record, s.size)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer d.close(*keep)
	wasBroken, err := s.model(d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		d.note("the case could not run: %v", err)
		return cannotRun
	case wasBroken:
		d.note("RESULT: the rule was broken")
		return broken
	}
	d.note("RESULT: the rule held")
	return held
}

var errSetup = errors.New("the deployment did not become ready")
