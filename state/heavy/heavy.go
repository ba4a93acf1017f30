// Package heavy (state layer) picks the customers that are counted by name, so that a
// metric has few series however many customers there are.
package heavy

// Others is the label of the customers that are not counted by name.
const Others = "others"

const (
	// window is after how many requests all counts are halved, so that they show recent use.
	window = 10_000
	// minShare is the share of the recent requests from which a customer gets a label. With
	// a smaller one the labels would go to whoever comes first.
	minShare = 0.01
	// replaceFactor is how many times the use of the smallest labelled customer another one
	// needs to get its label. With a smaller one two customers of equal use would take
	// turns, and the series of each would end again and again.
	replaceFactor = 2
)

// Heavy counts the recent requests of each customer and labels those with the most. It is
// not safe for concurrent use.
type Heavy struct {
	most int
	// recent counts requests by customer. Customers without a recent request have no entry.
	recent map[string]int
	// total is the sum of recent.
	total int
	// labelled has at most the given number of customers.
	labelled map[string]bool
}

// New returns a Heavy that labels at most the given number of customers.
func New(most int) *Heavy {
	return &Heavy{most: most, recent: map[string]int{}, labelled: map[string]bool{}}
}

// Add counts a request. It returns the label under which the request counts, and the
// customer that has lost its label to this one, "" if none has.
func (h *Heavy) Add(customer string) (label, replaced string) {
	h.recent[customer]++
	if h.total++; h.total >= window {
		h.halve()
	}
	switch {
	case h.labelled[customer]:
		return customer, ""
	case float64(h.recent[customer]) < minShare*float64(h.total):
		return Others, ""
	}
	if len(h.labelled) >= h.most {
		replaced = h.smallest()
		if h.recent[customer] < replaceFactor*h.recent[replaced] {
			return Others, ""
		}
		delete(h.labelled, replaced)
	}
	h.labelled[customer] = true
	return customer, replaced
}

func (h *Heavy) halve() {
	h.total = 0
	for name, n := range h.recent {
		if n /= 2; n == 0 {
			delete(h.recent, name)
			continue
		}
		h.recent[name] = n
		h.total += n
	}
}

// smallest returns the labelled customer with the fewest recent requests.
func (h *Heavy) smallest() string {
	name := ""
	for n := range h.labelled {
		if name == "" || h.recent[n] < h.recent[name] || h.recent[n] == h.recent[name] && n < name {
			name = n
		}
	}
	return name
}
