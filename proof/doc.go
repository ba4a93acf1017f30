// Package proof holds the failure tests: real processes behind fault-injecting proxies,
// checked against the ledgers of the stand-ins and the recorded calls.
package proof
