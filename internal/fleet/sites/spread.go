package sites

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Flow is load from gateways of one site to endpoints of another, by place.
type Flow [][]float64

func newFlow(from, to int) Flow {
	f := make(Flow, from)
	for i := range f {
		f[i] = make([]float64, to)
	}
	return f
}

// Spread says where displaced load goes: what gateways of each site have no place for any
// more, to sites with room, the nearest first over all: a min-cost flow, by shortest paths
// one after the other (Ford and Fulkerson; at most 16 sites each way). What does not fit is
// left over. Nobody gets more than there is room for.
func Spread(displaced, room []float64, far func(from, to int) float64) (placed Flow, left float64) {
	n, m := len(displaced), len(room)
	placed = newFlow(n, m)
	supply, spare := slices.Clone(displaced), slices.Clone(room)
	const least = 1e-9
	for range 4 * (n + m) * (n + m) { // each path ends a supply, a room or a flow
		path, amount := shortest(supply, spare, placed, far)
		if len(path) == 0 || amount <= least {
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
		spare[path[len(path)-1]-n] -= amount
	}
	for _, s := range supply {
		left += max(s, 0)
	}
	return placed, left
}

// shortest is the cheapest way for more load: from a site that has some left to one that has
// room, over flows that may be taken back; and how much fits it.
func shortest(supply, spare []float64, placed Flow, far func(from, to int) float64) (path []int, amount float64) {
	n, m := len(supply), len(spare)
	cost, from := make([]float64, n+m), make([]int, n+m)
	for v := range cost {
		cost[v], from[v] = math.Inf(1), -1
		if v < n && supply[v] > 1e-9 {
			cost[v] = 0
		}
	}
	for range n + m { // Bellman and Ford: taking back costs less than nothing
		moved := false
		for i := range n {
			for j := range m {
				if c := cost[i] + far(i, j); c < cost[n+j]-1e-12 {
					cost[n+j], from[n+j], moved = c, i, true
				}
				if c := cost[n+j] - far(i, j); placed[i][j] > 1e-9 && c < cost[i]-1e-12 {
					cost[i], from[i], moved = c, n+j, true
				}
			}
		}
		if !moved {
			break
		}
	}
	end := -1
	for j := range m {
		if spare[j] > 1e-9 && !math.IsInf(cost[n+j], 1) && (end < 0 || cost[n+j] < cost[n+end]) {
			end = j
		}
	}
	if end < 0 {
		return nil, 0
	}
	amount = spare[end]
	for v := n + end; ; v = from[v] {
		path = append(path, v)
		if from[v] < 0 {
			break
		}
		if v < n { // it is taken back from there
			amount = math.Min(amount, placed[v][from[v]-n])
		}
		if len(path) > n+m {
			return nil, 0
		}
	}
	slices.Reverse(path)
	return path, math.Min(amount, supply[path[0]])
}

// Group is a kind of demand: a class, and whether it is owed by contract.
type Group struct {
	Class      uint16
	Guaranteed bool
}

// Demand is what is asked for of a group.
type Demand struct {
	Group
	Work     float64 // a second
	Worth    float64 // of a second of work
	MeanWork float64 // work of one request
}

// Admit says which part of each group is let in where all that there is room for is so much:
// a floor of each first, so that nobody is starved; then what is inside its contract's share
// before what is beyond it, then what is worth more for its work, then the lighter work.
func Admit(all []Demand, room, floor float64) map[Group]float64 {
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
	part := make(map[Group]float64, len(order))
	if floor = math.Min(floor, 1); sum > 0 {
		floor = math.Min(floor, math.Max(room, 0)/sum)
	}
	room -= floor * sum
	for _, d := range order {
		more := 0.0
		if rest := d.Work * (1 - floor); rest > 0 {
			more = math.Min(1, math.Max(room, 0)/rest)
			room -= more * rest
		} else {
			more = 1
		}
		part[d.Group] = floor + (1-floor)*more
	}
	return part
}
