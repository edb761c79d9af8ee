// Command rhubarbsail-review-2 plays the scripts of the second review: it starts the
// project's programs with stand-ins of the platform and checks one rule.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"
)

// result is what a case has found.
type result struct {
	broken []string // how the rule was broken
	notes  []string
}

var cases = map[string]func(repository string, trouble bool) (*deployment, *client, result){
	"reborn": rebornCase,
}

func main() {
	name := flag.String("case", "", "the case to play")
	repository := flag.String("repository", ".", "the repository with the built programs under target/")
	recordPath := flag.String("record", "record.txt", "where the record is written")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		cannot(fmt.Errorf("there is no case %q", *name))
	}
	watchdog := time.AfterFunc(110*time.Second, func() { cannot(fmt.Errorf("it takes too long")) })
	defer watchdog.Stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() { cannot(fmt.Errorf("%v", <-interrupted)) }()
	began := time.Now()
	d, c, r := play(*repository, *trouble)
	close(d.stop)
	check(writeRecord(*recordPath, began, *trouble, d, c, r))
	cleanUp()
	for _, n := range r.notes {
		fmt.Println(n)
	}
	for i, b := range r.broken {
		if i < 5 {
			fmt.Println("BROKEN:", b)
		}
	}
	if len(r.broken) > 0 {
		fmt.Printf("the rule was broken %d times\n", len(r.broken))
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

// writeRecord writes what was sent, answered and run.
func writeRecord(path string, began time.Time, trouble bool, d *deployment, c *client, r result) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	_, _ = fmt.Fprintf(w, "begun %s, trouble %v\n\nresult\n", began.Format(time.RFC3339), trouble)
	for _, n := range r.notes {
		_, _ = fmt.Fprintln(w, n)
	}
	for _, b := range r.broken {
		_, _ = fmt.Fprintln(w, "BROKEN:", b)
	}
	_, _ = fmt.Fprintln(w, "\njobs")
	c.mu.Lock()
	for _, j := range c.jobs {
		_, _ = fmt.Fprintf(w, "%s%s spec %q %+v\n    sent %s\n", j.prefix, j.id, j.spec, j.step, strings.Join(j.sent, "\n    sent "))
	}
	c.mu.Unlock()
	_, _ = fmt.Fprintln(w, "\nruns")
	var all []start
	for _, x := range d.executors {
		all = append(all, x.all()...)
	}
	slices.SortFunc(all, func(a, b start) int { return a.Begun.Compare(b.Begun) })
	for _, s := range all {
		_, _ = fmt.Fprintln(w, s)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return f.Close()
}
