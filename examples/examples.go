// Package examples contains complete settings of the first two users. They are embedded so that the program can run
// them anywhere with fake backend servers.
//
// # Usage
//
//	base, err := examples.Files.ReadFile("rodopa.base.json")
package examples

import "embed"

// Files contains the settings files of this directory.
//
//go:embed *.json
var Files embed.FS
