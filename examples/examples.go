// Package examples embeds both users' example deployments as tickets, and the
// experiments of the bench command.
package examples

import "embed"

// Files holds one folder of numbered tickets for each deployment, and the folder
// experiments.
//
//go:embed */*.ini
var Files embed.FS
