package cmd

import (
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of a request to an instance.
const (
	fetchTimeout    = 5 * time.Second
	maxResponseSize = 64 << 20
)

// fetch sends a GET request to an instance and returns the body of the response. For a status other than 200 it returns an error
// that contains the body.
func fetch(address, path string, query url.Values) ([]byte, error) {
	client := &http.Client{Timeout: fetchTimeout}
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	response, err := client.Get(target.String())
	if err != nil {
		return nil, errors.Wrapf(err, "query instance %s", address)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize))
	if err != nil {
		return nil, errors.Wrapf(err, "read the response of instance %s", address)
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("instance %s responded with status %d: %s", address, response.StatusCode, text)
	}
	return text, nil
}
