package schema

import (
	"fmt"
	"strings"
)

// Page returns a table as Markdown with one heading per section.
func Page(t Table) string {
	var b strings.Builder
	for _, s := range t.Sections {
		fmt.Fprintf(&b, "\n## %s\n\n%s\n\n", s.heading(), s.Doc)
		if s.Named {
			fmt.Fprintf(&b, "NAME is %s.\n\n", Describe(s.Name))
		}
		b.WriteString("| key | value | default | meaning |\n|---|---|---|---|\n")
		for _, k := range s.Keys {
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", k.Name, Describe(k.Type), defaultText(k), k.Doc)
		}
	}
	return b.String()
}

func defaultText(k Key) string {
	switch {
	case k.Required:
		return "required"
	case k.Default == "":
		return "none"
	}
	return "`" + k.Default + "`"
}
