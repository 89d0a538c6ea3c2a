package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/figseam/figseam/cmd/figload/provisioner"
)

// defaultPort is the default first port of a layout, which uses consecutive ports.
const defaultPort = 18_000

func runLayout(args []string, stdout, stderr io.Writer) error {
	flags := flag.NewFlagSet("layout", flag.ContinueOnError)
	flags.SetOutput(stderr)
	dir := flags.String("dir", "", "`DIR` to write to")
	port := flags.Int("port", defaultPort, "first port to use")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *dir == "" {
		return errors.New("-dir: expected a directory")
	}
	return provisioner.WriteLayout(*dir, *port, stdout)
}

func runEmulators(args []string, stdout, stderr io.Writer) error {
	flags := flag.NewFlagSet("standins", flag.ContinueOnError)
	flags.SetOutput(stderr)
	port := flags.Int("port", defaultPort, "first port of the layout")
	if err := flags.Parse(args); err != nil {
		return err
	}
	fleet, err := provisioner.StartEmulators(*port)
	if err != nil {
		return err
	}
	defer fleet.Close()
	_, _ = fmt.Fprintf(stdout, "%d engines and their services are up; Ctrl-C ends them\n", len(fleet.Engines()))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}
