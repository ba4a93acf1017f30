package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record holds what was sent, answered and run, and writes it to a file.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
	// runs holds the bodies with which each id was run.
	runs map[string][]string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f), runs: map[string][]string{}}, nil
}

// say writes one line.
func (r *record) say(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, values...)
}

func (r *record) line(format string, values ...any) {
	_, _ = fmt.Fprintf(r.out, "%7.3f ", time.Since(r.began).Seconds()) // checked when the file is closed
	_, _ = fmt.Fprintf(r.out, format+"\n", values...)
}

func (r *record) sent(gate string, t turn) {
	r.say("sent %s to %s program=%s previous=%s budget=%d most=%d input=%d B", t.id, gate, t.program, t.previous, t.budget, t.most, len(t.input))
}

func (r *record) answered(id string, s result) {
	text := ""
	if s.status >= 300 {
		text = strings.TrimSpace(s.body)
	}
	r.say("answered %s status=%d whole=%t events=%d err=%v %s", id, s.status, s.whole, s.events(), s.err, text)
}

func (r *record) ran(endpoint, id, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], body)
	r.line("ran %s at %s input=%d B", id, endpoint, len(body))
}

// runsOf returns the bodies with which an id was run.
func (r *record) runsOf(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.runs[id]...)
}

// close writes what is buffered.
func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
