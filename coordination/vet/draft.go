// Package vet (coordination layer) checks a configuration of the operators before it is
// put in force, and compares it with another one by meaning.
package vet

import (
	"crypto/sha256"
	"fmt"

	"github.com/cowslipstage/cowslipstage/state/table"
)

// Draft is a configuration as it was written, with what a table leaves out or corrects.
type Draft struct {
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	// NeedsKeys marks a configuration with a list of customers, if an empty one.
	NeedsKeys bool
	Limits    table.Limits
	// LimitsLine is the line of the limits, 0 if there are none.
	LimitsLine int
	// Problems are those found while the configuration was read.
	Problems []Problem
}

// Route is a route as written: Attempts may be 0, and Shares may be empty or have weights
// of 0.
type Route struct {
	table.Route
	Line int
	// UnknownKind marks a route whose kind was not understood.
	UnknownKind bool
}

// Label names the route in problems and differences.
func (r *Route) Label() string { return fmt.Sprintf("route %q (%s%s)", r.Name, r.Host, r.Prefix) }

// Service is a service as written.
type Service struct {
	table.Service
	Line int
}

func (s *Service) label() string { return fmt.Sprintf("service %q", s.Name) }

// Digest identifies a key without holding it.
type Digest [sha256.Size]byte

// Customer is a customer as written.
type Customer struct {
	Name string
	Line int
	// Keys holds the digest of each key, so that no report can contain a key.
	Keys []Digest
	// Priority is nil if the routes' priorities apply.
	Priority *int
	// Rate is in requests a second, 0 for no limit; Burst is in requests.
	Rate, Burst float64
}

func (c *Customer) label() string { return fmt.Sprintf("customer %q", c.Name) }

// Problem is a statement of a configuration that is wrong or has no effect.
type Problem struct {
	// Line is where the object begins, 0 if it is not in the file.
	Line   int    `json:"line,omitempty"`
	Object string `json:"object"`
	Text   string `json:"text"`
}

// Difference is a change of meaning between two configurations.
type Difference struct {
	Object string `json:"object"`
	// Change is "added", "removed" or "changed". Field, Before and After are empty unless
	// it is "changed".
	Change string `json:"change"`
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// emptyKey is the digest of a key without characters.
var emptyKey = Digest(sha256.Sum256(nil))
