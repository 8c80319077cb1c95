// Package subset says among how many servers one instance of many chooses. Connections of every instance to every server
// would fill the servers' tables, and reports of few servers are fresher than those of many. It does no input or output.
package subset

// MinSize is the number of servers among which an instance chooses at least, where there are that many.
const MinSize = 4

// maxConnections is how many instances may normally connect to one server: a few hundred connections slow one.
const maxConnections = 128

// One in how many requests sends probes to the whole subset, and not only to the servers of the preferred zone.
const (
	farInterval       = 2
	sparseFarInterval = 10
)

// Size is the number of servers among which one of so many instances chooses. At one server meet maxConnections instances, or
// all there are, or MinSize/servers of them where that is more.
func Size(servers, instances int) int {
	return min(servers, max(MinSize, maxConnections*servers/max(1, instances)))
}

// FarInterval is in how many requests one sends its probes to the whole subset, the others to the servers of the preferred
// zone. Where reports are sparse fewer do: reports of few servers are fresher, and fewer connections are needed
// for it. The caller makes up for a full zone: while its servers have more in flight than they run concurrently, more probes leave it.
func FarInterval(sparse bool) int {
	if sparse {
		return sparseFarInterval
	}
	return farInterval
}
