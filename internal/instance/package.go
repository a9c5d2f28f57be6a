// Package instance exchanges heartbeats between entry instances: one small sealed datagram to each peer, a few times a
// second. A heartbeat shows that the sender is alive, whether it is leaving, which settings it has applied, and which
// backend servers it considers warm.
//
// Datagrams are encoded in CBOR and sealed with authenticated encryption. They may be lost, duplicated, delayed or
// reordered, and nothing depends on the arrival of a particular one. Datagrams never change the membership: only the
// platform's list of instances does, and missing heartbeats only raise suspicion. The package uses gnet, since its event
// loop serves any number of peers without a goroutine for each.
//
// # Usage
//
//	transport, err := instance.NewHeartbeatTransport(instance.Options{Address: "10.0.0.4:8081", Keys: keys, Deliver: deliver})
//	go transport.Serve(ctx)
//	transport.Send(peerAddress, instance.Heartbeat{...})
package instance
