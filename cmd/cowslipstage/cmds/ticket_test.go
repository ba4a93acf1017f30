package cmds_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/cmd/cowslipstage/cmds"
	"github.com/cowslipstage/cowslipstage/standin/keyval"
)

// run executes one command and returns its output.
func run(args ...string) (string, error) {
	var out bytes.Buffer
	c := cmds.New()
	c.SetOut(&out)
	c.SetErr(&out)
	c.SetArgs(args)
	err := c.Execute()
	return out.String(), err
}

func write(t *testing.T, folder, name, text string) string {
	t.Helper()
	file := filepath.Join(folder, name)
	NewWithT(t).Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	return file
}

func TestTicketCommands(t *testing.T) {
	g := NewWithT(t)
	s := httptest.NewServer(keyval.New())
	defer s.Close()
	store := "--store=" + strings.TrimPrefix(s.URL, "http://")
	folder := t.TempDir()
	write(t, folder, "a.ini", "[ticket]\nnumber = 2\nauthor = ana\nreason = more\n[customer a]\nrate = 20\n")
	first := write(t, folder, "b.ini", "[ticket]\nnumber = 1\n[customer a]\nrate = 10\n")

	out, err := run("ticket", "apply", "--dry-run", folder, store)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(Equal("ticket 1: would change\n[customer a]\n+ [customer a]\n+ rate = 10\n" +
		"ticket 2: would change\n[customer a]\n- rate = 10\n+ rate = 20\n"))
	out, err = run("ticket", "apply", folder, store)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(Equal("ticket 1: in force from revision 1\nticket 2: in force from revision 2\n"))
	out, err = run("ticket", "apply", first, store)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(Equal("ticket 1: applied already\n"))
	out, err = run("ticket", "show", "customer", "a", store)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(Equal("; revision 2\n\n; set by ticket 2\n[customer a]\nrate = 20\n"))
	out, err = run("ticket", "list", store)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(MatchRegexp(`(?s)^1\trevision 1\t[0-9a-f]{24}\n2\trevision 2\t[0-9a-f]{24}\tana\tmore\n$`))

	third := write(t, folder, "c.ini", "[ticket]\nnumber = 3\n[customer a]\nremove = true\n")
	out, err = run("ticket", "diff", third, store)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(Equal("ticket 3: would change\n[customer a]\n- [customer a]\n- rate = 20\n"))
}

// lossyHandler drops the answers to some requests, before or after they take effect.
type lossyHandler struct {
	http.Handler
	// dropBefore and dropAfter are the number of requests to drop, by path.
	dropBefore, dropAfter map[string]int
}

func (h *lossyHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.dropBefore[r.URL.Path] > 0 {
		h.dropBefore[r.URL.Path]--
		panic(http.ErrAbortHandler)
	}
	if h.dropAfter[r.URL.Path] > 0 {
		h.dropAfter[r.URL.Path]--
		h.Handler.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	h.Handler.ServeHTTP(w, r)
}

// An apply whose requests or answers are lost must end with the ticket in force once.
func TestLostAnswers(t *testing.T) {
	for name, c := range map[string]struct{ dropBefore, dropAfter map[string]int }{
		"answer lost, the write took effect":                  {nil, map[string]int{"/put": 1}},
		"request lost, the write took no effect":              {map[string]int{"/put": 1}, nil},
		"two reads lost":                                      {map[string]int{"/get": 2}, nil},
		"answer lost, and the read that checks the write too": {nil, map[string]int{"/put": 1, "/get": 1}},
	} {
		g := NewWithT(t)
		s := httptest.NewServer(&lossyHandler{keyval.New(), c.dropBefore, c.dropAfter})
		store := "--store=" + strings.TrimPrefix(s.URL, "http://")
		file := write(t, t.TempDir(), "a.ini", "[ticket]\nnumber = 1\n[customer a]\n")
		out, err := run("ticket", "apply", file, store)
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(out).To(Equal("ticket 1: in force from revision 1\n"), name)
		out, err = run("ticket", "list", store)
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(strings.Count(out, "\n")).To(Equal(1), name)
		g.Expect(out).To(HavePrefix("1\trevision 1\t"), name)
		s.Close()
	}
}

func TestTicketNumbersAreUnique(t *testing.T) {
	folder := t.TempDir()
	write(t, folder, "a.ini", "[ticket]\nnumber = 1\n")
	write(t, folder, "b.ini", "[ticket]\nnumber = 1\n")
	out, err := run("ticket", "apply", folder)
	NewWithT(t).Expect(err).To(HaveOccurred())
	NewWithT(t).Expect(out).To(ContainSubstring("b.ini:1: [ticket] number: stands in " + filepath.Join(folder, "a.ini") + " too"))
}

func TestCheck(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	settings := write(t, folder, "node.ini", "[node]\nname = a b\n[store]\naddr = 1\n")
	change := write(t, folder, "1.ini", "[ticket]\nnumber = x\n")
	out, err := run("check", settings, change)
	g.Expect(err).To(HaveOccurred())
	g.Expect(out).To(ContainSubstring(settings + ":2: [node] name: "))
	g.Expect(out).To(ContainSubstring(settings + ":4: [store] addr: "))
	g.Expect(out).To(ContainSubstring(change + ":2: [ticket] number: "))
	_, err = run("check", "../../../examples/acoepele", "../../../examples/brennecke")
	g.Expect(err).NotTo(HaveOccurred())
}
