// Package subset computes the number of servers that one of many instances uses. Connections from every instance to every
// server would fill the servers' connection tables, and an instance that uses fewer servers can keep their load reports more
// recent. The package does no input or output.
package subset

// MinSize is the minimum number of servers in a subset, unless there are fewer.
const MinSize = 4

// maxConnections is the limit on the average number of instances that connect to a server: a few hundred connections slow a
// server down.
const maxConnections = 128

// Intervals, in requests, at which probes are sent to all zones instead of the preferred zone alone.
const (
	allZonesInterval       = 2
	sparseAllZonesInterval = 10
)

// Size returns the number of servers in the subset of one instance. On average a server is then in the subsets of
// maxConnections instances, or of all if there are fewer, or of MinSize/servers of them if that is more.
func Size(servers, instances int) int {
	return min(servers, max(MinSize, maxConnections*servers/max(1, instances)))
}

// AllZonesInterval returns an interval n: on average one request in n sends its probes to all zones, and the others to the
// preferred zone. The interval is larger if reports are sparse, so that the reports of fewer servers are kept recent, over
// fewer connections. If the preferred zone is at its capacity, the caller sends more probes to other zones.
func AllZonesInterval(sparse bool) int {
	if sparse {
		return sparseAllZonesInterval
	}
	return allZonesInterval
}
