package setup_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/cowslipstage/cowslipstage/setup"
)

const minimalSettings = "[node]\nname = a\n[store]\naddr = 127.0.0.1:7000\n"

func TestTableCoversSettings(t *testing.T) {
	g := NewWithT(t)
	keys := map[string]bool{}
	for _, s := range setup.Table().Sections {
		for _, k := range s.Keys {
			keys[s.Kind+" "+k.Name] = true
		}
	}
	fields := setup.Fields()
	for f := range fields {
		g.Expect(keys).To(HaveKey(f), "add the field to setup/table.go")
	}
	for k := range keys {
		g.Expect(fields).To(HaveKey(k), "no field of Settings")
	}
}

// TestDefaultsAreAllowed parses a file that gives every default explicitly.
func TestDefaultsAreAllowed(t *testing.T) {
	g := NewWithT(t)
	var b strings.Builder
	for _, s := range setup.Table().Sections {
		b.WriteString("[" + s.Kind + "]\n")
		for _, k := range s.Keys {
			switch {
			case k.Required && k.Name == "addr":
				b.WriteString("addr = 127.0.0.1:7000\n")
			case k.Required:
				b.WriteString(k.Name + " = a\n")
			case k.Default != "":
				b.WriteString(k.Name + " = " + k.Default + "\n")
			}
		}
	}
	s, err := setup.Parse("node.ini", []byte(b.String()))
	g.Expect(err).NotTo(HaveOccurred())
	want := setup.Default()
	want.Node.Name, want.Store.Addr = "a", "127.0.0.1:7000"
	g.Expect(*s).To(Equal(want))
}

func TestLoad(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "node.ini")
	text := minimalSettings + "lease = 4s\n[links]\npeers = b=127.0.0.1:1, c=127.0.0.1:2\n"
	g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	s, err := setup.Load(file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Store.Lease).To(Equal(4 * time.Second))
	g.Expect(s.Links.Peers).To(Equal([]string{"b=127.0.0.1:1", "c=127.0.0.1:2"}))
	g.Expect(s.Links.PingInterval).To(Equal(setup.Default().Links.PingInterval))
}

func TestEveryProblemIsReported(t *testing.T) {
	data, err := os.ReadFile("testdata/wrong.ini")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	_, err = setup.Parse("wrong.ini", data)
	goldie.New(t).Assert(t, "wrong", []byte(err.Error()+"\n"))
}

func TestConflictingValues(t *testing.T) {
	for text, problem := range map[string]string{
		minimalSettings + "[links]\nping = 2s\nsilence = 3s\n":                "node.ini:7: [links] silence: must be at least twice ping, which is 2s",
		minimalSettings + "timeout = 2s\nlease = 1s\n":                        "node.ini:6: [store] lease: must be at least timeout, which is 2s",
		"[node]\nname = a\nbody = 20000000\n[store]\naddr = 127.0.0.1:7000\n": "node.ini:3: [node] body: must be at most [links] frame less 1048576, which is 15728640",
		minimalSettings + "[links]\nframe = 9000000\n":                        "node.ini:6: [links] frame: must be at least [node] body and 1048576, which is 9437184",
	} {
		_, err := setup.Parse("node.ini", []byte(text))
		NewWithT(t).Expect(err).To(MatchError(problem))
	}
}

// TestPage checks that the page matches the table; update it by
// "go run ./cmd/cowslipstage check --settings > docs/operate/settings.md".
func TestPage(t *testing.T) {
	goldie.New(t, goldie.WithFixtureDir("../docs/operate"), goldie.WithNameSuffix(".md")).
		Assert(t, "settings", []byte(setup.Page()))
}

func FuzzSettings(f *testing.F) {
	wrong, err := os.ReadFile("testdata/wrong.ini")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(wrong)
	f.Add([]byte(minimalSettings))
	f.Add([]byte(minimalSettings + "[links]\nsecret = %(name)s `\n"))
	f.Add([]byte("[DEFAULT]\na=b\n[node]\nname=%(a)s"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := setup.Parse("fuzz", data); err != nil && !strings.HasPrefix(err.Error(), "fuzz:") {
			t.Fatalf("no file and line: %s", err)
		}
	})
}
