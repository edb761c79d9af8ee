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

// PolicyOptions configures RunPolicies.
type PolicyOptions struct {
	// Cases and Policies are regular expressions that match whole names.
	Cases    string
	Policies string
	Seed     uint64
	Length   time.Duration
	// Variants adds instances of the rhubarbsail policy with other options: it
	// maps a name to scheduler.Options in JSON.
	Variants map[string]string
	// Parallel is the largest number of concurrent runs.
	Parallel int
}

// Policies returns the rhubarbsail policy and the baselines.
func Policies() []NamedPolicy {
	return []NamedPolicy{
		{"rhubarbsail", func(seed uint64) scheduler.Policy { return scheduler.New(scheduler.Options{Seed: seed}) }},
		{"random", baseline.NewRandom},
		{"round-robin", baseline.NewRoundRobin},
		{"least-outstanding", baseline.NewLeastOutstanding},
		{"two-choices", baseline.NewTwoChoices},
	}
}

// selectPolicies returns the policies that match the pattern, followed by all
// variants.
func (o PolicyOptions) selectPolicies() ([]NamedPolicy, error) {
	pattern, err := regexp.Compile("^(" + o.Policies + ")$")
	if err != nil {
		return nil, errors.Wrap(err, "compile pattern of policies")
	}
	selected := slices.DeleteFunc(Policies(), func(p NamedPolicy) bool { return !pattern.MatchString(p.Name) })
	for _, name := range slices.Sorted(maps.Keys(o.Variants)) {
		var opts scheduler.Options
		if err := json.Unmarshal([]byte(o.Variants[name]), &opts); err != nil {
			return nil, errors.Wrapf(err, "decode options of variant %s", name)
		}
		selected = append(selected, NamedPolicy{name, func(seed uint64) scheduler.Policy {
			opts.Seed = seed
			return scheduler.New(opts)
		}})
	}
	return selected, nil
}

// RunPolicies runs each selected policy in each selected case and returns the
// results in the order of cases and policies. All policies of a case get the
// same load.
func RunPolicies(o PolicyOptions) ([]Result, error) {
	casePattern, err := regexp.Compile("^(" + o.Cases + ")$")
	if err != nil {
		return nil, errors.Wrap(err, "compile pattern of cases")
	}
	policies, err := o.selectPolicies()
	if err != nil {
		return nil, err
	}
	var group errgroup.Group
	group.SetLimit(max(1, o.Parallel))
	var results []*Result
	for _, c := range Cases(o.Length) {
		if !casePattern.MatchString(c.Name) {
			continue
		}
		generate := sync.OnceValues(func() ([]JobSpec, Reference) {
			jobs := c.Load.Generate(c.Fleet.Capacity(), o.Seed)
			return jobs, NewReference(c.Fleet, jobs)
		})
		for _, p := range policies {
			r := &Result{}
			results = append(results, r)
			group.Go(func() error {
				jobs, ref := generate()
				*r = c.Run(p, jobs, ref, o.Seed)
				return nil
			})
		}
	}
	_ = group.Wait()
	out := make([]Result, len(results))
	for i, r := range results {
		out[i] = *r
	}
	return out, nil
}
