package node

// PeerTraffic is the traffic on the open connections with peers, in UDP payload.
type PeerTraffic struct {
	BytesSent       uint64
	BytesReceived   uint64
	PacketsSent     uint64
	PacketsReceived uint64
}

// PeerTraffic returns the total of the open connections with peers.
func (n *Node) PeerTraffic() PeerTraffic {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	var t PeerTraffic
	for _, l := range n.mesh.links {
		s := l.conn.ConnectionStats()
		t.BytesSent += s.BytesSent
		t.BytesReceived += s.BytesReceived
		t.PacketsSent += s.PacketsSent
		t.PacketsReceived += s.PacketsReceived
	}
	return t
}
