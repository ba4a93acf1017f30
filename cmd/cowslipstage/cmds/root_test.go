package cmds_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/cmd/cowslipstage/cmds"
)

func TestEveryCommandHasAPage(t *testing.T) {
	for _, c := range cmds.New().Commands() {
		NewWithT(t).Expect("../../../docs/command/" + c.Name() + ".md").To(BeAnExistingFile())
	}
}
