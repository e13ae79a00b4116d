package sites

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Flow is load from gateways of one site to endpoints of another, by index.
type Flow [][]float64

func newFlow(from, to int) Flow {
	f := make(Flow, from)
	for i := range f {
		f[i] = make([]float64, to)
	}
	return f
}

// Spread assigns displaced load, which gateways of each site can no longer place, to sites with
// free capacity, with the least total distance: a min-cost flow, by successive shortest paths
// (Ford and Fulkerson; at most 16 sites on each side). It also returns the load that does not
// fit. No site gets more than its capacity.
func Spread(displaced, capacity []float64, distance func(from, to int) float64) (placed Flow, unplaced float64) {
	n, m := len(displaced), len(capacity)
	placed = newFlow(n, m)
	supply, free := slices.Clone(displaced), slices.Clone(capacity)
	const epsilon = 1e-9
	for range 4 * (n + m) * (n + m) { // each path exhausts a supply, a capacity or a flow
		path, amount := shortest(supply, free, placed, distance)
		if len(path) == 0 || amount <= epsilon {
			break
		}
		for k := 0; k+1 < len(path); k++ {
			if a, b := path[k], path[k+1]; a < n {
				placed[a][b-n] += amount
			} else {
				placed[b][a-n] -= amount
			}
		}
		supply[path[0]] -= amount
		free[path[len(path)-1]-n] -= amount
	}
	for _, s := range supply {
		unplaced += max(s, 0)
	}
	return placed, unplaced
}

// shortest returns the cheapest augmenting path, from a site with remaining load to one with free
// capacity, over flows that may be reversed, and how much fits on it.
func shortest(supply, free []float64, placed Flow, distance func(from, to int) float64) (path []int, amount float64) {
	n, m := len(supply), len(free)
	cost, previous := make([]float64, n+m), make([]int, n+m)
	for v := range cost {
		cost[v], previous[v] = math.Inf(1), -1
		if v < n && supply[v] > 1e-9 {
			cost[v] = 0
		}
	}
	for range n + m { // Bellman-Ford: reversing a flow has a negative cost
		changed := false
		for i := range n {
			for j := range m {
				if c := cost[i] + distance(i, j); c < cost[n+j]-1e-12 {
					cost[n+j], previous[n+j], changed = c, i, true
				}
				if c := cost[n+j] - distance(i, j); placed[i][j] > 1e-9 && c < cost[i]-1e-12 {
					cost[i], previous[i], changed = c, n+j, true
				}
			}
		}
		if !changed {
			break
		}
	}
	end := -1
	for j := range m {
		if free[j] > 1e-9 && !math.IsInf(cost[n+j], 1) && (end < 0 || cost[n+j] < cost[n+end]) {
			end = j
		}
	}
	if end < 0 {
		return nil, 0
	}
	amount = free[end]
	for v := n + end; ; v = previous[v] {
		path = append(path, v)
		if previous[v] < 0 {
			break
		}
		if v < n { // reversed flow
			amount = math.Min(amount, placed[v][previous[v]-n])
		}
		if len(path) > n+m {
			return nil, 0
		}
	}
	slices.Reverse(path)
	return path, math.Min(amount, supply[path[0]])
}

// Group is a class of requests, and whether a contract guarantees them.
type Group struct {
	Class      uint16
	Guaranteed bool
}

// Demand is the demand of a group.
type Demand struct {
	Group
	Work     float64 // per second
	Worth    float64 // per second of work
	MeanWork float64 // of one request
}

// Admit returns the admitted fraction of each group for a total capacity: first a floor of each,
// so that none is starved; then guaranteed requests before others, then those worth more for
// their work, then those with less work.
func Admit(all []Demand, capacity, floor float64) map[Group]float64 {
	order := slices.Clone(all)
	slices.SortStableFunc(order, func(a, b Demand) int {
		if a.Guaranteed != b.Guaranteed {
			if a.Guaranteed {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Worth, a.Worth), cmp.Compare(a.MeanWork, b.MeanWork), cmp.Compare(a.Class, b.Class))
	})
	sum := 0.0
	for _, d := range order {
		sum += d.Work
	}
	fractions := make(map[Group]float64, len(order))
	if floor = math.Min(floor, 1); sum > 0 {
		floor = math.Min(floor, math.Max(capacity, 0)/sum)
	}
	capacity -= floor * sum
	for _, d := range order {
		extra := 0.0
		if remaining := d.Work * (1 - floor); remaining > 0 {
			extra = math.Min(1, math.Max(capacity, 0)/remaining)
			capacity -= extra * remaining
		} else {
			extra = 1
		}
		fractions[d.Group] = floor + (1-floor)*extra
	}
	return fractions
}
