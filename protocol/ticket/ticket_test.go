package ticket_test

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/cowslipstage/cowslipstage/examples"
	"github.com/cowslipstage/cowslipstage/protocol/ticket"
	"github.com/cowslipstage/cowslipstage/state/config"
)

const base = `
[endpoint e1]
kind = engine
pool = p
addr = 127.0.0.1:1
[endpoint d1]
kind = desk
pool = q
addr = 127.0.0.1:2
[model m]
context = 100
versions = 1, 2
[service chat]
kind = model
pool = p
model = m
version = 1
tools = shop/order
[service shop]
kind = plain
pool = q
[operation shop/order]
`

func parse(t *testing.T, number int, text string) *ticket.Ticket {
	t.Helper()
	x, err := ticket.Parse(fmt.Sprintf("%03d.ini", number), fmt.Appendf(nil, "[ticket]\nnumber = %d\n%s", number, text))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return x
}

func apply(t *testing.T, c *config.Config, number int, text string) *config.Config {
	t.Helper()
	next, err := parse(t, number, text).Apply(c)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return next
}

func TestEveryProblemIsReported(t *testing.T) {
	data, err := os.ReadFile("testdata/wrong.ini")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	_, err = ticket.Parse("wrong.ini", data)
	goldie.New(t).Assert(t, "wrong", []byte(err.Error()+"\n"))
}

func TestTicketWithoutHeadSection(t *testing.T) {
	_, err := ticket.Parse("x.ini", []byte("[customer a]\n"))
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("x.ini:1: [ticket]: the section is missing")))
}

func TestReplayChangesNothing(t *testing.T) {
	g := NewWithT(t)
	c := apply(t, config.New(), 1, base)
	again, err := parse(t, 1, "; a comment\n"+base).Apply(c)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(BeIdenticalTo(c))
	_, err = parse(t, 1, base+"[customer a]\n").Apply(c)
	g.Expect(errors.Is(err, ticket.ErrRefused)).To(BeTrue())
	g.Expect(err.Error()).To(ContainSubstring("the number was used by another ticket, in force since revision 1"))
}

func TestLowerNumberLoses(t *testing.T) {
	g := NewWithT(t)
	c := apply(t, config.New(), 5, "[customer a]\nrate = 5\n")
	_, err := parse(t, 3, "[customer a]\nrate = 3\n").Apply(c)
	g.Expect(errors.Is(err, ticket.ErrRefused)).To(BeTrue())
	g.Expect(err.Error()).To(Equal("003.ini:3: [customer a]: ticket 3 lost: ticket 5 set it already"))
	c = apply(t, c, 4, "[customer b]\n")
	g.Expect(c.Customers["a"].Rate).To(Equal(5.0))
	g.Expect(c.Customers).To(HaveKey("b"))
}

func TestRemovedObjectStaysRemoved(t *testing.T) {
	g := NewWithT(t)
	c := apply(t, config.New(), 1, "[customer a]\n")
	c = apply(t, c, 4, "[customer a]\nremove = true\n")
	g.Expect(c.Customers).To(BeEmpty())
	_, err := parse(t, 3, "[customer a]\n").Apply(c)
	g.Expect(err).To(MatchError(ContainSubstring("ticket 4 set it already")))
	g.Expect(apply(t, c, 5, "[customer a]\n").Customers).To(HaveKey("a"))
}

func TestReferences(t *testing.T) {
	c := apply(t, config.New(), 1, base)
	for text, problem := range map[string]string{
		"[endpoint e1]\nremove = true\n":                                                "002.ini:4: [endpoint e1] remove: [service chat] pool: no endpoint is in pool p",
		"[model m]\nremove = true\n":                                                    "002.ini:3: [model m]: [service chat] model: no model is named m",
		"[model m]\ncontext = 1\nversions = 2\n":                                        "002.ini:3: [model m]: [service chat] version: the model has no version 1; it has 2",
		"[operation shop/order]\nremove = true\n":                                       "002.ini:3: [operation shop/order]: [service chat] tools: no operation is named shop/order",
		"[operation nix/order]\n":                                                       "002.ini:3: [operation nix/order]: no service is named nix",
		"[service other]\nkind = plain\npool = p\n":                                     "002.ini:5: [service other] pool: pool p has endpoints of kind engine; desk is needed",
		"[endpoint e2]\nkind = desk\npool = p\naddr = 127.0.0.1:3\n":                    "002.ini:4: [endpoint e2] kind: the other endpoints of pool p are of kind engine",
		"[service shop]\nremove = true\n[service chat]\nremove = true\n":                "002.ini:4: [service shop] remove: has [operation shop/order] still",
		"[service chat]\nkind = model\npool = p\nobjective = 1s\n":                      "002.ini:6: [service chat] objective: stands only together with target",
		"[service shop]\nkind = plain\npool = q\nprompt = hi\n":                         "002.ini:6: [service shop] prompt: is for services of kind model",
		"[service chat]\nkind = model\npool = p\nmodel = m\nversion = 1\nadapter = z\n": "002.ini:8: [service chat] adapter: the model has no adapter z; it has",
	} {
		x, err := ticket.Parse("002.ini", []byte("[ticket]\nnumber = 2\n"+text))
		if err == nil {
			_, err = x.Apply(c)
		}
		NewWithT(t).Expect(err).To(MatchError(ContainSubstring(problem)), text)
	}
	NewWithT(t).Expect(c.Revision).To(BeEquivalentTo(1))
}

func TestServiceKeepsItsOperations(t *testing.T) {
	g := NewWithT(t)
	c := apply(t, config.New(), 1, base)
	next := apply(t, c, 2, "[service shop]\nkind = plain\npool = q\nclass = 3\n[operation shop/more]\n")
	g.Expect(next.Services["shop"].Operations).To(HaveLen(2))
	g.Expect(c.Services["shop"].Operations).To(HaveLen(1), "the published configuration must not change")
}

func TestRenderedObjectsParseToTheSame(t *testing.T) {
	for _, file := range []string{"acoepele/001-start.ini", "brennecke/001-start.ini"} {
		g := NewWithT(t)
		data, err := examples.Files.ReadFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		x, err := ticket.Parse(file, data)
		g.Expect(err).NotTo(HaveOccurred())
		c, err := x.Apply(config.New())
		g.Expect(err).NotTo(HaveOccurred())
		var text strings.Builder
		for _, o := range ticket.Objects(c) {
			text.WriteString(ticket.Render(c, o))
		}
		again := apply(t, config.New(), 1, text.String())
		again.Applied = c.Applied
		g.Expect(again).To(Equal(c))
	}
}

// TestTableCoversObjects checks that every field of an object has a ticket key.
func TestTableCoversObjects(t *testing.T) {
	for kind, object := range map[string]any{
		"operator": config.Operator{}, "customer": config.Customer{}, "model": config.Model{},
		"endpoint": config.Endpoint{}, "service": config.Service{}, "operation": config.Operation{},
	} {
		keys := map[string]bool{"operations": true}
		for _, k := range ticket.Table().Section(kind).Keys {
			keys[k.Name] = true
		}
		for f := range reflect.TypeOf(object).Fields() {
			NewWithT(t).Expect(keys).To(HaveKey(strings.ToLower(f.Name)), kind)
		}
	}
}

// largeTicket returns a ticket with as many objects as the largest deployment that
// the system is designed for.
func largeTicket() string {
	var b strings.Builder
	for i := range 860 {
		fmt.Fprintf(&b, "[endpoint runner-%04d]\nkind = engine\npool = pool-%02d\naddr = 10.%d.%d.7:9100\ncentre = centre-%d\nslots = 64\nmemory = 2000000\n",
			i, i%16, i/250, i%250, i%5)
	}
	for i := range 800 {
		fmt.Fprintf(&b, "[customer customer-%04d]\nrate = 20\nburst = 40\nactive = 100\ntoken = %064x\n", i, i)
	}
	for i := range 16 {
		fmt.Fprintf(&b, "[model model-%02d]\ncontext = 200000\nversions = 1, 2, 3\nadapters = a, b, c\n", i)
		fmt.Fprintf(&b, "[service service-%02d]\nkind = model\npool = pool-%02d\nmodel = model-%02d\nversion = 1\nprompt = %s\n", i, i, i, strings.Repeat("p", 8000))
	}
	return b.String()
}

func TestConfigurationStaysSmall(t *testing.T) {
	g := NewWithT(t)
	const first = "[customer first]\nrate = 20\n[customer second]\n"
	c := apply(t, config.New(), 1, first)
	// Each ticket adds one customer and removes another.
	const tickets = config.MaxApplied + 100
	for n := 2; n < 2+tickets; n++ {
		text := fmt.Sprintf("author = %064d\nreason = %0160d\n[customer c-%d]\n", n, n, n)
		if n > 2 {
			text += fmt.Sprintf("[customer c-%d]\nremove = true\n", n-1)
		}
		c = apply(t, c, n, text)
	}
	c = apply(t, c, 2+tickets, largeTicket())
	data, err := cbor.Marshal(c)
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("%d bytes encoded", len(data))
	g.Expect(len(data)).To(BeNumerically("<", config.MaxSize))
	g.Expect(c.Applied).To(HaveLen(config.MaxApplied))
	g.Expect(c.ClosedThrough).To(BeEquivalentTo(2 + tickets - config.MaxApplied))
	g.Expect(len(c.Tickets)).To(BeNumerically("<", 860+800+16+16+config.MaxApplied+3))

	again, err := parse(t, 1, first).Apply(c)
	g.Expect(err).NotTo(HaveOccurred(), "a replay is recognised by the objects that it set")
	g.Expect(again).To(BeIdenticalTo(c))
	_, err = parse(t, 1, "[customer first]\nrate = 21\n[customer second]\n").Apply(c)
	g.Expect(errors.Is(err, ticket.ErrClosed)).To(BeTrue())
	_, err = parse(t, 3, "[customer c-2]\n").Apply(c)
	g.Expect(errors.Is(err, ticket.ErrClosed)).To(BeTrue(), "a removed customer must not come back")
}

func TestConfigurationThatIsTooLarge(t *testing.T) {
	var b strings.Builder
	for i := range 120 {
		fmt.Fprintf(&b, "[service s-%d]\nkind = model\npool = p\nprompt = %s\n", i, strings.Repeat("p", 8000))
	}
	_, err := parse(t, 1, "[endpoint e]\nkind = engine\npool = p\naddr = 127.0.0.1:1\n"+b.String()).Apply(config.New())
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("at most 921600 are allowed")))
}

func FuzzTicket(f *testing.F) {
	for _, file := range []string{"acoepele/001-start.ini", "brennecke/001-start.ini"} {
		data, err := examples.Files.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	wrong, err := os.ReadFile("testdata/wrong.ini")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(wrong)
	f.Add([]byte("[ticket]\nnumber = 1\nreason = \"\"\"a\nb\"\"\"\n[customer a]\nremove = true\n"))
	f.Add([]byte("[ticket\nnumber"))
	f.Add([]byte("\xff\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		x, err := ticket.Parse("fuzz", data)
		if err != nil {
			if !strings.HasPrefix(err.Error(), "fuzz:") {
				t.Fatalf("no file and line: %s", err)
			}
			return
		}
		c, err := x.Apply(config.New())
		if err != nil {
			return
		}
		if again, err := x.Apply(c); err != nil || again != c {
			t.Fatal("a replay is not recognised", err)
		}
	})
}

// TestPage checks that the page matches the table; update it by
// "go run ./cmd/cowslipstage check --tickets > docs/operate/sections.md".
func TestPage(t *testing.T) {
	goldie.New(t, goldie.WithFixtureDir("../../docs/operate"), goldie.WithNameSuffix(".md")).
		Assert(t, "sections", []byte(ticket.Page()))
}

// BenchmarkApply applies a small ticket to the largest configuration that the system
// is designed for.
func BenchmarkApply(b *testing.B) {
	x, err := ticket.Parse("1", []byte("[ticket]\nnumber = 1\n"+largeTicket()))
	if err != nil {
		b.Fatal(err)
	}
	c, err := x.Apply(config.New())
	if err != nil {
		b.Fatal(err)
	}
	small, err := ticket.Parse("2", []byte("[ticket]\nnumber = 2\n[customer customer-0001]\nrate = 7\n"))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := small.Apply(c); err != nil {
			b.Fatal(err)
		}
	}
}
