// Package crowd holds the tests of clients that exceed the limits or press against them, many
// at once: real processes on loopback must live, stay within the memory and the descriptors of
// their settings, and answer ordinary requests afterwards. The tests run alone, one at a time,
// with COWSLIPSTAGE_CROWD=1.
package crowd
