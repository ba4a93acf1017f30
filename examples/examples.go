// Package examples holds both users' example deployments as tickets.
package examples

import "embed"

// Files holds one folder of numbered tickets for each deployment.
//
//go:embed */*.ini
var Files embed.FS
