package slots

// Counts is the number of slots by their use, over all institutions: own ones,
// and apart from them those borrowed.
type Counts struct {
	Busy        int `json:"busy"`
	Idle        int `json:"idle"`
	CoolingDown int `json:"resting"`
	Lent        int `json:"lent"`
	Borrowed    int `json:"borrowed"`
}

// Counts goes through all slots, for dumps and metrics.
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
