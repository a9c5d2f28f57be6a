package backendserver

import (
	"context"
	"hash/maphash"
	"slices"
)

// maxCarriedRequests is the number of latest requests that a connection remembers. A server that sends a response twice sends the
// second copy before its next response, where it is recognized by its request ID, so that older requests need not be remembered.
const maxCarriedRequests = 64

// requestDigest is the digest of a request's ID, 0 if the request has none.
type requestDigest uint64

var requestDigestSeed = maphash.MakeSeed()

// requestIDKey is the context key of a request's ID.
type requestIDKey struct{}

// WithRequestID returns a context for Send under which the request is not sent on a connection that has carried a request with the same
// ID before. A late copy of the response to the earlier one would be taken for the response to this one, since both carry the same ID.
func WithRequestID(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestIDKey{}, requestDigest(maphash.String(requestDigestSeed, id)))
}

// requestDigestOf returns the digest set by WithRequestID.
func requestDigestOf(ctx context.Context) requestDigest {
	digest, _ := ctx.Value(requestIDKey{}).(requestDigest)
	return digest
}

// carriedRequests are the latest requests that a connection has carried.
type carriedRequests struct {
	digests []requestDigest
	oldest  int
}

func (carriedRequests *carriedRequests) contains(digest requestDigest) bool {
	return digest != 0 && slices.Contains(carriedRequests.digests, digest)
}

func (carriedRequests *carriedRequests) add(digest requestDigest) {
	switch {
	case digest == 0:
	case len(carriedRequests.digests) < maxCarriedRequests:
		carriedRequests.digests = append(carriedRequests.digests, digest)
	default:
		carriedRequests.digests[carriedRequests.oldest] = digest
		carriedRequests.oldest = (carriedRequests.oldest + 1) % maxCarriedRequests
	}
}
