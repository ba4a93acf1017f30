package cmds

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// maxLogLine bounds a log line in bytes. Reading a file fails at a longer line.
const maxLogLine = 1 << 20

// logLine is one JSON object of a log with the time to sort it by.
type logLine struct {
	time string
	text string
}

// traceLogs prints the lines of one request or program from the logs of several
// processes, by time.
func traceLogs(c *cobra.Command, key string, files []string) error {
	var lines []logLine
	for _, name := range files {
		found, err := findLines(c.InOrStdin(), name, key)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		c.Printf("no line names %s\n", key)
		return nil
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.time, b.time) })
	for _, l := range lines {
		c.Println(l.text)
	}
	return nil
}

// findLines returns the lines of a log file that belong to the request or program
// key. The name - stands for standard input.
func findLines(stdin io.Reader, name, key string) ([]logLine, error) {
	reader := stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "trace: log file")
		}
		defer func() { _ = f.Close() }() // opened only for reading
		reader = f
	}
	var lines []logLine
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		// Text before the JSON object, such as a log collector's prefix, is ignored.
		_, text, ok := strings.Cut(scanner.Text(), "{")
		if !ok || !strings.Contains(text, key) {
			continue
		}
		var fields struct {
			Time     string `json:"time"`
			Request  string `json:"request"`
			Program  string `json:"program"`
			Previous string `json:"previous"`
		}
		if json.Unmarshal([]byte("{"+text), &fields) != nil {
			continue // not a log line of gates or vaults
		}
		if key == fields.Request || key == fields.Program || key == fields.Previous {
			lines = append(lines, logLine{fields.Time, "{" + text})
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "trace: reading %s", name)
}
