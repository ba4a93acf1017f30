// Package proof holds the failure tests: real processes behind fault-injecting
// proxies, checked against the stand-ins' own ledgers and the callers' record.
package proof
