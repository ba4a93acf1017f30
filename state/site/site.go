// Package site (state layer) says who a process is and what surrounds it.
package site

import "time"

// Site is what one process is told at its start.
type Site struct {
	Node string
	// Centre is the data centre.
	Centre string
	// Centres is how many data centres there are; 0 if that is not known.
	Centres int
	IP      string
	// Frontend and Ready are the IP:port for callers and for the balancer's
	// question; both are empty where callers do not come.
	Frontend string
	Ready    string
	// Control is the IP:port at which other processes know this one from their
	// settings; "" where there is none.
	Control string
	// Seeds are some such addresses; the processes there may be gone.
	Seeds []string
	// FirstPort is the first that is free for other processes of the system.
	FirstPort int
	// Data is the folder for bulk data; "" where there is no disk.
	Data string
	// Disk and Memory are bounds in bytes.
	Disk   int64
	Memory int64
	// FirstStart is true only when the whole system starts for the first time.
	FirstStart bool
	// MaxLostHosts is how many hosts with disks may be lost at once.
	MaxLostHosts int
	// Store is the IP:port of the platform's key-value service.
	Store string
	// Grace is the time between the request to stop and the kill.
	Grace time.Duration
}
