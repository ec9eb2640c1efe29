// Command citronhitch routes returning chats and service calls to back ends.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("citronhitch", "A router fleet for returning chats.")
	app.Version("0.1.0")
	dev := app.Command("dev", "Run today's size in one process.")
	once := dev.Flag("once", "Do one whole session and exit.").Bool()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case dev.FullCommand():
		fmt.Printf("Step=Start Once=%t\n", *once)
	}
}
