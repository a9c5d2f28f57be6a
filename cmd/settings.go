package cmd

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/examples"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// siteFlags are the flags for the settings files of a site.
type siteFlags struct {
	Base    string `long:"base" value-name:"FILE" required:"yes" description:"Base file of settings"`
	Overlay string `long:"overlay" value-name:"FILE" description:"Overlay for one site, a JSON merge patch (RFC 7396)"`
}

func (siteFlags *siteFlags) load() (*settings.Loaded, error) {
	loaded, err := settings.LoadSite(siteFlags.Base, siteFlags.Overlay)
	return loaded, withInvalidCode(err)
}

// withInvalidCode adds the exit code ExitInvalid to an error that reports invalid settings and returns any other error unchanged.
func withInvalidCode(err error) error {
	if settings.IsErrInvalid(err) {
		return withExitCode(ExitInvalid, err)
	}
	return err
}

// exampleOverlays maps each user to the overlay of its embedded example.
var exampleOverlays = map[string]string{"rodopa": "rodopa.sofia.json", "malabon": "malabon.ncr-north.json"}

// loadExample loads the embedded example of a user. It writes the files to a temporary directory so that they are loaded
// in the same way as an operator's files.
func loadExample(user string) (*settings.Site, error) {
	directory, err := os.MkdirTemp("", "jaywheel-example-")
	if err != nil {
		return nil, errors.Wrap(err, "unpack the example")
	}
	defer os.RemoveAll(directory)
	var paths []string
	for _, name := range []string{user + ".base.json", exampleOverlays[user]} {
		text, err := examples.Files.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "unpack the example")
		}
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return nil, errors.Wrap(err, "unpack the example")
		}
		paths = append(paths, path)
	}
	loaded, err := settings.LoadSite(paths[0], paths[1])
	if err != nil {
		return nil, err
	}
	return loaded.Site, nil
}
