// Command certificates writes development certificates for routers.
//
//	go run ./examples/certificates DIRECTORY router-0 router-1
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchpeer"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: certificates DIRECTORY ROUTER...")
		os.Exit(2)
	}
	if err := issueCertificates(os.Args[1], os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "certificates:", err)
		os.Exit(1)
	}
}

// issueCertificates issues a certificate for each router, all from one authority. The
// authority's private key is not stored.
func issueCertificates(dir string, names []string) error {
	var authority hitchpeer.DevCertificates
	for _, name := range names {
		keys, err := authority.Issue(hitchfleet.InstanceID(name), time.Now())
		if err != nil {
			return err
		}
		if err := writeKeys(dir, name, keys); err != nil {
			return err
		}
		fmt.Printf("Router=%s Certificate=%s\n", name, filepath.Join(dir, name+".crt"))
	}
	return nil
}

func writeKeys(dir, name string, keys hitchpeer.Keys) error {
	files := map[string]string{
		name + ".crt":   keys.Certificate,
		name + ".key":   keys.PrivateKey,
		"authority.crt": keys.Authorities,
	}
	for file, text := range files {
		if err := os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}
