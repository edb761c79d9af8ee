package experiment

import (
	"encoding/json"
	"maps"
	"regexp"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/rhubarbsail/rhubarbsail/scheduler"
	"github.com/rhubarbsail/rhubarbsail/scheduler/baseline"
)

// PolicyOptions select the runs of the policy mode.
type PolicyOptions struct {
	Cases    string
	Policies string
	Seed     uint64
	Length   time.Duration
	// Variants add instances of the policy with other options, as a name and
	// the options in JSON.
	Variants map[string]string
	// Parallel bounds the runs at the same time.
	Parallel int
}

// Contenders returns all policies.
func Contenders() []Contender {
	return []Contender{
		{"rhubarbsail", func(seed uint64) scheduler.Policy { return scheduler.New(scheduler.Options{Seed: seed}) }},
		{"random", baseline.NewRandom},
		{"round-robin", baseline.NewRoundRobin},
		{"least-outstanding", baseline.NewLeastOutstanding},
		{"two-choices", baseline.NewTwoChoices},
	}
}

// contenders returns all policies and variants that match the pattern.
func (o PolicyOptions) contenders() ([]Contender, error) {
	want, err := regexp.Compile("^(" + o.Policies + ")$")
	if err != nil {
		return nil, errors.Wrap(err, "pattern of policies")
	}
	list := slices.DeleteFunc(Contenders(), func(c Contender) bool { return !want.MatchString(c.Name) })
	for _, name := range slices.Sorted(maps.Keys(o.Variants)) {
		var opts scheduler.Options
		if err := json.Unmarshal([]byte(o.Variants[name]), &opts); err != nil {
			return nil, errors.Wrapf(err, "options of variant %s", name)
		}
		list = append(list, Contender{name, func(seed uint64) scheduler.Policy {
			opts.Seed = seed
			return scheduler.New(opts)
		}})
	}
	return list, nil
}

// RunPolicies runs all selected policies on the same load of each selected
// case and returns the results in the order of cases and policies.
func RunPolicies(o PolicyOptions) ([]Result, error) {
	wantCase, err := regexp.Compile("^(" + o.Cases + ")$")
	if err != nil {
		return nil, errors.Wrap(err, "pattern of cases")
	}
	contenders, err := o.contenders()
	if err != nil {
		return nil, err
	}
	var group errgroup.Group
	group.SetLimit(max(1, o.Parallel))
	var results []*Result
	for _, c := range Cases(o.Length) {
		if !wantCase.MatchString(c.Name) {
			continue
		}
		load := sync.OnceValues(func() ([]JobSpec, Reference) {
			jobs := c.Load.Generate(c.Fleet.Capacity(), o.Seed)
			return jobs, NewReference(c.Fleet, jobs)
		})
		for _, p := range contenders {
			r := &Result{}
			results = append(results, r)
			group.Go(func() error {
				jobs, ref := load()
				*r = c.Run(p, jobs, ref, o.Seed)
				return nil
			})
		}
	}
	_ = group.Wait()
	list := make([]Result, len(results))
	for i, r := range results {
		list[i] = *r
	}
	return list, nil
}
