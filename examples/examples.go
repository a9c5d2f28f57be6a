// Package examples holds complete settings for both first users, embedded so that the program can run them on
// stand-ins anywhere.
//
// # Usage
//
//	base, err := examples.Files.ReadFile("rodopa.base.json")
package examples

import "embed"

// Files are the settings files of this directory.
//
//go:embed *.json
var Files embed.FS
