// Command jaywheel balances the requests of callers over backend servers whose load shifts in milliseconds.
//
// # Usage
//
//	jaywheel try                                   run a complete site with embedded fake backend servers
//	jaywheel serve --settings instance.json        run one instance
//	jaywheel --help                                list every subcommand
package main

import (
	"os"

	"github.com/jaywheel/jaywheel/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:]))
}
