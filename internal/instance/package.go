// Package instance speaks to the other entry instances: one small sealed datagram to each, a few times a second, that
// says the sender lives, whether it is leaving, which settings it has, and which backend servers it knows to be warm.
//
// Datagrams are CBOR within an authenticated cipher. They may be lost, doubled, delayed or reordered; nothing rests on
// one that does not arrive. They never make anyone a member: the platform's list does, and a peer's silence only adds
// suspicion. gnet carries them, since one event loop serves any number of peers without a goroutine for each.
//
// # Usage
//
//	plane, err := instance.NewPlane(instance.Options{Address: "10.0.0.4:8081", Keys: keys, Deliver: deliver})
//	go plane.Serve(ctx)
//	plane.Send(peerAddress, instance.Heartbeat{...})
package instance
