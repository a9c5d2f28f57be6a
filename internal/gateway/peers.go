package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/catalog"
)

// Peers read an instance's catalog from catalogPath. The query parameter afterParameter is the revision since which they
// request changes.
const (
	catalogPath    = "/v1/catalog"
	afterParameter = "after"
)

// serveCatalog responds to a peer with the changes of this instance's catalog since a revision.
func (gateway *Gateway) serveCatalog(writer http.ResponseWriter, request *http.Request) {
	after, err := strconv.ParseUint(request.URL.Query().Get(afterParameter), 10, 64)
	if err != nil {
		http.Error(writer, afterParameter+": expected a revision number", http.StatusBadRequest)
		return
	}
	update, err := gateway.controller.UpdateSince(request.Context(), catalog.Revision(after))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	encoded, err := gateway.updates.encode(&update)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/octet-stream")
	// A write fails only if the peer has disconnected.
	_, _ = writer.Write(encoded)
}

// updateCache holds the encoded form of the last update sent, since after a change all followers request the same update.
type updateCache struct {
	mutex   sync.Mutex
	update  catalog.Update
	encoded []byte
}

func (updateCache *updateCache) encode(update *catalog.Update) ([]byte, error) {
	updateCache.mutex.Lock()
	defer updateCache.mutex.Unlock()
	last := &updateCache.update
	same := updateCache.encoded != nil && last.Revision == update.Revision && last.Since == update.Since && last.Digest == update.Digest &&
		last.Configuration == update.Configuration && last.RetainedFor == 0 && update.RetainedFor == 0
	if same {
		return updateCache.encoded, nil
	}
	encoded, err := update.Encode()
	if err != nil {
		return nil, err
	}
	updateCache.update, updateCache.encoded = *update, encoded
	return encoded, nil
}

// peerReader reads the catalogs of other instances.
type peerReader struct {
	http *http.Client
}

func (peerReader *peerReader) read(ctx context.Context, address netip.AddrPort, after catalog.Revision) (catalog.Update, error) {
	var update catalog.Update
	from := url.URL{Scheme: "http", Host: address.String(), Path: catalogPath, RawQuery: afterParameter + "=" + strconv.FormatUint(uint64(after), 10)}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, from.String(), http.NoBody)
	if err != nil {
		return update, errors.Wrapf(err, "catalog of %s", address)
	}
	response, err := peerReader.http.Do(request)
	if err != nil {
		return update, errors.Wrapf(err, "catalog of %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return update, errors.Newf("catalog of %s: status %d", address, response.StatusCode)
	}
	update, err = catalog.DecodeUpdate(response.Body)
	return update, errors.Wrapf(err, "catalog of %s", address)
}
