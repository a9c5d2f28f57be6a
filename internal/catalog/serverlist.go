package catalog

import (
	"cmp"
	"encoding/binary"
	"iter"
	"maps"
	"math"
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// ServerList is an immutable list of backend servers, sorted by name. It consists of chunks. A list that was made from another one by
// edits shares its unchanged chunks, so that an edit costs as much as what it changes, also in a list of thousands of servers. The
// zero value is an empty list.
type ServerList struct {
	chunks [][]Server
	length int
	// invalid is the number of servers that cannot be used.
	invalid int
	digest  Digest
}

const (
	// maxChunkLength is the maximum length of a chunk, newChunkLength that of the parts of one that has become too long.
	maxChunkLength = 64
	newChunkLength = maxChunkLength / 4 * 3
	// joinedChunkLength is the length up to which a changed chunk is joined with the one before it.
	joinedChunkLength = maxChunkLength / 2
)

// NewServerList returns a list of the servers. Of several with the same name, the last one counts.
func NewServerList(servers ...Server) ServerList {
	edits := make(ServerEdits, len(servers))
	for index := range servers {
		edits[servers[index].Name] = &servers[index]
	}
	return ServerList{}.Edit(edits)
}

// ServerEdits are the servers that are added or replaced in a list, by name, and those that are removed, which are nil.
type ServerEdits map[settings.TargetName]*Server

// Len returns the number of servers.
func (list ServerList) Len() int {
	return list.length
}

// Digest returns the digest of the servers.
func (list ServerList) Digest() Digest {
	return list.digest
}

// All returns the servers in the order of their names. They must not be modified.
func (list ServerList) All() iter.Seq[*Server] {
	return func(yield func(*Server) bool) {
		for _, chunk := range list.chunks {
			for index := range chunk {
				if !yield(&chunk[index]) {
					return
				}
			}
		}
	}
}

// Find returns the server with the name, or nil. It must not be modified.
func (list ServerList) Find(name settings.TargetName) *Server {
	number, found := slices.BinarySearchFunc(list.chunks, name, func(chunk []Server, name settings.TargetName) int { return cmp.Compare(chunk[0].Name, name) })
	if !found {
		number--
	}
	if number < 0 {
		return nil
	}
	chunk := list.chunks[number]
	index, found := slices.BinarySearchFunc(chunk, name, compareName)
	if !found {
		return nil
	}
	return &chunk[index]
}

// compareName compares the name of a server with another name.
func compareName(server Server, name settings.TargetName) int {
	return cmp.Compare(server.Name, name)
}

// Valid returns the list without the servers that cannot be used. Instances of earlier releases pass them on.
func (list ServerList) Valid() ServerList {
	if list.invalid == 0 {
		return list
	}
	edits := make(ServerEdits, list.invalid)
	for server := range list.All() {
		if server.Validate() != nil {
			edits[server.Name] = nil
		}
	}
	return list.Edit(edits)
}

// Edit returns the list after the edits. Edits that change nothing are ignored.
func (list ServerList) Edit(edits ServerEdits) ServerList {
	edited := ServerList{chunks: make([][]Server, 0, len(list.chunks)+1)}
	edited.length, edited.invalid, edited.digest = list.length, list.invalid, list.digest
	names := slices.Sorted(maps.Keys(edits))
	if len(list.chunks) == 0 {
		edited.add(edited.merge(nil, names, edits))
		return edited
	}
	for number, chunk := range list.chunks {
		count := len(names)
		if number+1 < len(list.chunks) {
			count, _ = slices.BinarySearch(names, list.chunks[number+1][0].Name)
		}
		if merged := edited.merge(chunk, names[:count], edits); sameChunk(merged, chunk) {
			edited.chunks = append(edited.chunks, chunk)
		} else {
			edited.add(merged)
		}
		names = names[count:]
	}
	return edited
}

// sameChunk reports whether two chunks share their memory.
func sameChunk(left, right []Server) bool {
	return len(left) == len(right) && len(left) > 0 && &left[0] == &right[0]
}

// merge returns a chunk after the edits with the given sorted names, and updates the length and the digest of the list. It returns the
// chunk itself if the edits change nothing.
func (list *ServerList) merge(chunk []Server, names []settings.TargetName, edits ServerEdits) []Server {
	unchanged := !slices.ContainsFunc(names, func(name settings.TargetName) bool {
		index, found := slices.BinarySearchFunc(chunk, name, compareName)
		server := edits[name]
		return found != (server != nil) || found && chunk[index] != *server
	})
	if unchanged {
		return chunk
	}
	merged := make([]Server, 0, len(chunk)+len(names))
	keep := func(count int) {
		merged = append(merged, chunk[:count]...)
		chunk = chunk[count:]
	}
	for _, name := range names {
		index, found := slices.BinarySearchFunc(chunk, name, compareName)
		keep(index)
		if found {
			list.count(&chunk[0], -1)
			chunk = chunk[1:]
		}
		if server := edits[name]; server != nil {
			list.count(server, 1)
			merged = append(merged, *server)
		}
	}
	keep(len(chunk))
	return merged
}

// count updates the counts and the digest for a server that is added, or removed if the number is negative.
func (list *ServerList) count(server *Server, number int) {
	list.digest ^= server.digest()
	list.length += number
	if server.Validate() != nil {
		list.invalid += number
	}
}

// add appends a changed chunk, joined with the previous one if both are short, and divided if it is too long.
func (list *ServerList) add(chunk []Server) {
	if last := len(list.chunks) - 1; last >= 0 && len(list.chunks[last])+len(chunk) <= joinedChunkLength {
		chunk = slices.Concat(list.chunks[last], chunk)
		list.chunks = list.chunks[:last]
	}
	if len(chunk) == 0 {
		return
	}
	if len(chunk) <= maxChunkLength {
		list.chunks = append(list.chunks, chunk)
		return
	}
	for part := range slices.Chunk(chunk, newChunkLength) {
		list.chunks = append(list.chunks, slices.Clone(part))
	}
}

// ServerDifference is the difference between two lists.
type ServerDifference struct {
	// Set are the servers that were added or changed, in their new state, Removed those that were removed.
	Set, Removed []*Server
}

// DifferenceFrom returns what has changed since an earlier list.
func (list ServerList) DifferenceFrom(earlier ServerList) ServerDifference {
	var difference ServerDifference
	now, before := cursor{chunks: list.chunks}, cursor{chunks: earlier.chunks}
	for {
		if now.atSameChunk(&before) {
			now.chunks, before.chunks = now.chunks[1:], before.chunks[1:]
			continue
		}
		current, old := now.server(), before.server()
		switch {
		case current == nil && old == nil:
			return difference
		case old == nil || current != nil && current.Name < old.Name:
			difference.Set = append(difference.Set, current)
			now.advance()
		case current == nil || old.Name < current.Name:
			difference.Removed = append(difference.Removed, old)
			before.advance()
		default:
			if *current != *old {
				difference.Set = append(difference.Set, current)
			}
			now.advance()
			before.advance()
		}
	}
}

// cursor is a position in a list: an index in the first of the remaining chunks.
type cursor struct {
	chunks [][]Server
	index  int
}

// atSameChunk reports whether both cursors are at the start of a chunk that both lists share.
func (cursor *cursor) atSameChunk(other *cursor) bool {
	return cursor.index == 0 && other.index == 0 && len(cursor.chunks) > 0 && len(other.chunks) > 0 && sameChunk(cursor.chunks[0], other.chunks[0])
}

// server returns the server at the position, nil at the end.
func (cursor *cursor) server() *Server {
	if len(cursor.chunks) == 0 {
		return nil
	}
	return &cursor.chunks[0][cursor.index]
}

func (cursor *cursor) advance() {
	cursor.index++
	if cursor.index == len(cursor.chunks[0]) {
		cursor.chunks, cursor.index = cursor.chunks[1:], 0
	}
}

// Digest is a hash of a set of servers.
type Digest uint64

// Parameters of the 64-bit FNV-1a hash. It is computed here because hash/fnv needs a copy of each text.
const (
	digestStart Digest = 14695981039346656037
	digestPrime Digest = 1099511628211
)

// digest returns the digest of one server. That of several is the exclusive or of theirs, which does not depend on their order.
func (server *Server) digest() Digest {
	digest := digestStart
	for _, text := range [...]string{string(server.Name), string(server.Service), server.Address, string(server.DataCentre), string(server.State)} {
		for index := range len(text) {
			digest = (digest ^ Digest(text[index])) * digestPrime
		}
		digest *= digestPrime
	}
	var numbers [24]byte
	binary.LittleEndian.PutUint64(numbers[:], uint64(server.Slots))
	binary.LittleEndian.PutUint64(numbers[8:], uint64(server.Started))
	binary.LittleEndian.PutUint64(numbers[16:], wholeMilliseconds(server.ColdFor))
	for _, part := range numbers {
		digest = (digest ^ Digest(part)) * digestPrime
	}
	return digest
}

// wholeMilliseconds converts a duration to an integer, to the nearest one if it is out of range. Without that, the digests of instances on
// different kinds of machines would differ.
func wholeMilliseconds(duration clock.Milliseconds) uint64 {
	switch {
	case duration >= math.MaxUint64:
		return math.MaxUint64
	case duration > 0:
		return uint64(duration)
	default:
		return 0
	}
}
