// Command stand plays the cases of the review: it starts gates and vaults as processes on
// loopback, with stand-ins for the platform's store, the runners and the clients, and checks
// one rule by what the stand-ins see.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// play is a case. It returns what broke the rule.
type play func(folder string, r *record, trouble bool) (broken []string, err error)

var plays = map[string]play{
	"chain":  playChain,
	"budget": playBudget,
	"roll":   playRoll,
	"relay":  playRelay,
	"deadly": playDeadly,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) == 0 || plays[args[0]] == nil {
		fmt.Println("usage: stand CASE --record FILE --folder FOLDER [--trouble=0]")
		return exitNotRun
	}
	flags := flag.NewFlagSet(args[0], flag.ExitOnError)
	trouble := flags.Bool("trouble", true, "play the disruption")
	path := flags.String("record", "record.txt", "the record")
	folder := flags.String("folder", os.TempDir(), "data and logs of the processes")
	_ = flags.Parse(args[1:]) // it exits by itself
	r, err := newRecord(*path)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	broken, err := plays[args[0]](*folder, r, *trouble)
	for _, b := range broken {
		r.say("BROKEN %s", b)
	}
	r.say("broken %d times, error %v", len(broken), err)
	if closeErr := r.close(); err == nil {
		err = closeErr
	}
	if err != nil {
		fmt.Println("not run:", err)
		return exitNotRun
	}
	fmt.Printf("%s, trouble %t: rule broken %d times\n", args[0], *trouble, len(broken))
	if len(broken) > 0 {
		fmt.Println(broken[0])
		return exitBroken
	}
	return exitHeld
}

// found returns the findings that are not empty.
func found(broken []string) []string {
	return slices.DeleteFunc(broken, func(b string) bool { return b == "" })
}
