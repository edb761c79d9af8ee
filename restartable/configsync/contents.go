package configsync

import (
	"context"

	"github.com/rhubarbsail/rhubarbsail/restartable/zones"
)

// Contents is what the store has in force.
type Contents struct {
	// Document is the configuration document, and Version its version; nil and 0 if
	// there is none.
	Document []byte
	Version  uint64
	// Drains are the drained zones, or nil if one of their records is malformed: what
	// state that zone keeps is known only to those who have read its earlier records.
	Drains *zones.Drains
}

// ReadContents reads what is in force from a store. It fails if the configuration cannot
// be decoded.
func ReadContents(ctx context.Context, source Source) (Contents, error) {
	p, err := source.Newest(ctx)
	if err != nil {
		return Contents{}, err
	}
	out := Contents{Document: p.Document, Drains: zones.FromRecords(p.Next, p.Drains)}
	if p.Document != nil {
		c, err := source.Parse(p.Document)
		if err != nil {
			return Contents{}, err
		}
		out.Version = c.Version
	}
	return out, nil
}
