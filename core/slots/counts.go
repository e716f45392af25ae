package slots

// Counts has the numbers of slots over all institutions: the owned ones by state, and the borrowed
// ones in any state.
type Counts struct {
	Busy        int `json:"busy"`
	Idle        int `json:"idle"`
	CoolingDown int `json:"resting"`
	Lent        int `json:"lent"`
	Borrowed    int `json:"borrowed"`
}

// Counts counts the slots by iterating over all of them, for dumps and metrics.
func (p *Pool) Counts() Counts {
	var c Counts
	for _, u := range p.upstreams {
		for _, r := range u.slots {
			c.add(r)
		}
	}
	return c
}

func (c *Counts) add(r *slotRecord) {
	switch r.right {
	case rightNone:
		return
	case rightBorrowed:
		c.Borrowed++
		return
	}
	switch r.state {
	case busy:
		c.Busy++
	case idle:
		c.Idle++
	case coolingDown:
		c.CoolingDown++
	case lent:
		c.Lent++
	}
}
