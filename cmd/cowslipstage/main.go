// Command cowslipstage schedules agent programs between callers and endpoints.
package main

import (
	"os"

	"github.com/cowslipstage/cowslipstage/cmd/cowslipstage/cmds"
)

func main() {
	if err := cmds.New().Execute(); err != nil {
		os.Exit(cmds.ExitCode(err))
	}
}
