package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
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

// updateCache holds the encoded updates to the latest state that was sent, by the revision that they apply to. After a change all followers
// request the same few updates, and after a start of the whole fleet all instances request everything.
type updateCache struct {
	mutex sync.Mutex
	// latest is an update to the state that the encoded updates lead to.
	latest  catalog.Update
	encoded map[catalog.Revision][]byte
}

// encode returns the encoded update. One that names a time is not cached.
func (updateCache *updateCache) encode(update *catalog.Update) ([]byte, error) {
	if update.RetainedFor > 0 {
		return update.Encode()
	}
	updateCache.mutex.Lock()
	defer updateCache.mutex.Unlock()
	latest := &updateCache.latest
	if updateCache.encoded == nil || latest.Revision != update.Revision || latest.Digest != update.Digest || !slices.Equal(latest.Evacuated, update.Evacuated) {
		updateCache.latest, updateCache.encoded = *update, map[catalog.Revision][]byte{}
	}
	if encoded, found := updateCache.encoded[update.Since]; found {
		return encoded, nil
	}
	encoded, err := update.Encode()
	if err != nil {
		return nil, err
	}
	updateCache.encoded[update.Since] = encoded
	return encoded, nil
}

// maxPeerHeadBytes limits the head of another instance's response, for which net/http would read 10 MB.
const maxPeerHeadBytes = 32 << 10

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
