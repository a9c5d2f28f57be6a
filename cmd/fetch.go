package cmd

import (
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of a question to an instance.
const (
	fetchTimeout    = 5 * time.Second
	maxResponseSize = 64 << 20
)

// fetch reads one page of an instance. A status other than 200 is an error that carries what the instance said.
func fetch(address, path string, query url.Values) ([]byte, error) {
	client := &http.Client{Timeout: fetchTimeout}
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	response, err := client.Get(target.String())
	if err != nil {
		return nil, errors.Wrapf(err, "ask instance %s", address)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize))
	if err != nil {
		return nil, errors.Wrapf(err, "read the answer of instance %s", address)
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("instance %s answered %d: %s", address, response.StatusCode, text)
	}
	return text, nil
}
