// Command reviewcase2 plays the cases of the second review that are scripts.
package main

import (
	"fmt"
	"os"
)

// cases maps the name of a case to its function, which returns what broke the rule, or "".
var cases = map[string]func(rec *record, trouble bool) (verdict string){}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewcase2 CASE")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1]))
}

func play(name string) (status int) {
	defer func() {
		if failure := recover(); failure != nil {
			reason, known := failure.(broken)
			if !known {
				panic(failure)
			}
			fmt.Println("the case could not run:", reason.err)
			status = 2
		}
	}()
	rec := newRecord()
	verdict := cases[name](rec, os.Getenv("TROUBLE") != "0")
	if verdict != "" {
		rec.add("BROKEN: %s", verdict)
		fmt.Println("broken:", verdict)
		return 1
	}
	rec.add("HELD")
	fmt.Println("held")
	return 0
}
