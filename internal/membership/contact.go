package membership

import "time"

// Contact is how recently a daemon confirmed that its configuration is the
// newest. Times are readings of a clock that counts while the machine is
// suspended: after a pause of seconds, a clock that stood still would call an old
// confirmation fresh, and a key taken away meanwhile would still open.
type Contact struct {
	// confirmed is when the newest read that found nothing newer was sent. The
	// reading may have been answered at any moment after that, so only the
	// sending proves anything.
	confirmed time.Duration
	known     bool
}

// Confirm records a read sent at a time whose answer is applied.
func (c *Contact) Confirm(sent time.Duration) {
	if !c.known || sent > c.confirmed {
		c.confirmed, c.known = sent, true
	}
}

// Age returns how old the confirmation is, and whether there is one.
func (c *Contact) Age(now time.Duration) (time.Duration, bool) {
	return now - c.confirmed, c.known
}

// Within reports whether the confirmation is younger than a limit.
func (c *Contact) Within(now, limit time.Duration) bool {
	age, known := c.Age(now)
	return known && age < limit
}
