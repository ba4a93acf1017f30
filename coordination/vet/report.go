package vet

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Report is the result of a check.
type Report struct {
	File    string `json:"file"`
	Version uint64 `json:"version"`
	// Against is nil if the draft was compared with no other one.
	Against     *Base        `json:"against,omitempty"`
	Problems    []Problem    `json:"problems"`
	Differences []Difference `json:"differences"`
}

// Base names the configuration that a draft was compared with.
type Base struct {
	File    string `json:"file"`
	Version uint64 `json:"version"`
}

// NewReport checks a draft and compares it with the one in force, which may be nil.
func NewReport(file string, d *Draft, against string, inForce *Draft) *Report {
	r := &Report{File: file, Version: d.Version, Problems: Check(d), Differences: []Difference{}}
	if inForce != nil {
		r.Against = &Base{File: against, Version: inForce.Version}
		r.Problems = append(CheckOrder(inForce, d), r.Problems...)
		r.Differences = append(r.Differences, Compare(inForce, d)...)
	}
	if r.Problems == nil {
		r.Problems = []Problem{} // JSON lists are never null
	}
	return r
}

// Text returns the report for people: a line for each problem and each difference.
func (r *Report) Text() string {
	var b strings.Builder
	for _, p := range r.Problems {
		fmt.Fprintf(&b, "%s:%d: %s: %s\n", r.File, p.Line, p.Object, p.Text)
	}
	if len(r.Problems) == 0 {
		fmt.Fprintf(&b, "%s: no problems\n", r.File)
	}
	if r.Against == nil {
		return b.String()
	}
	if len(r.Differences) == 0 {
		fmt.Fprintf(&b, "no differences to %s (version %d)\n", r.Against.File, r.Against.Version)
		return b.String()
	}
	fmt.Fprintf(&b, "differences to %s, version %d to %d:\n", r.Against.File, r.Against.Version, r.Version)
	for _, d := range r.Differences {
		b.WriteString("  " + d.text() + "\n")
	}
	return b.String()
}

// JSON returns the report for programs.
func (r *Report) JSON() (string, error) {
	var b strings.Builder
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	err := e.Encode(r)
	return b.String(), err
}

func (d *Difference) text() string {
	switch {
	case d.Change != "changed":
		return d.Object + ": " + d.Change
	case d.Before == "":
		return d.Object + ": " + d.Field + ": " + d.After
	}
	return d.Object + ": " + d.Field + ": " + d.Before + " -> " + d.After
}
