package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["3"] = largeAnswers }

const (
	answerTarget = "/fee/receipt?work=100&size=3000000"
	answerCount  = 16
)

// largeAnswers: some clients send keyed requests at once, which are answered with long
// bodies. After a pause each key is sent again, at the other edge.
func largeAnswers(c *cluster, trouble bool) (bool, error) {
	for number := range 8 {
		if _, err := c.addServer(fmt.Sprint("i-fees-", number), "fees", 2); err != nil {
			return false, err
		}
	}
	if _, err := c.addServer("i-notes", "notes", 2); err != nil {
		return false, err
	}
	if err := c.startAll(2, feesConfiguration); err != nil {
		return false, err
	}
	firsts := make([]answer, answerCount)
	var clients sync.WaitGroup
	for number := range answerCount {
		first := func() {
			firsts[number] = c.send(c.edges[0], "POST", answerTarget, fmt.Sprint("k-", number), "seat=7", 1400*time.Millisecond)
		}
		if trouble {
			clients.Go(first)
		} else {
			first()
		}
	}
	clients.Wait()
	denied := map[int]bool{}
	for round := range 3 {
		time.Sleep(2500 * time.Millisecond)
		for number, first := range firsts {
			if first.status != 200 || first.err != nil {
				continue
			}
			again := c.send(c.edges[1], "POST", answerTarget, fmt.Sprint("k-", number), "seat=7", 1400*time.Millisecond)
			switch {
			case again.status == 409:
				denied[number] = true
			case again.status == 200 && (again.seal != first.seal || !strings.EqualFold(again.body, first.body)):
				return false, fmt.Errorf("key %d got another answer", number)
			}
		}
		c.rec.logf("after round %d: %d keys that were answered with success got 409", round+1, len(denied))
	}
	// The rule allows three.
	return len(denied) > 3, nil
}
