package logservice

import "time"

// The JSON bodies of the HTTP API. Binary data is base64, as encoding/json
// encodes []byte.
type (
	// AppendRequest is the body of POST /v1/streams/{stream}/records.
	AppendRequest struct {
		Data []byte `json:"data"`
	}
	// AppendReply is the reply to an AppendRequest.
	AppendReply struct {
		Offset uint64 `json:"offset"`
	}
	// RecordsReply is the reply to GET /v1/streams/{stream}/records. With status
	// 410 (the requested offset is no longer retained) it has First and Next only.
	RecordsReply struct {
		Entries []RecordEntry `json:"entries"`
		First   uint64        `json:"first"`
		Next    uint64        `json:"next"`
	}
	// RecordEntry is one record of a RecordsReply.
	RecordEntry struct {
		Offset   uint64    `json:"offset"`
		Appended time.Time `json:"appended"`
		Data     []byte    `json:"data"`
	}
	// LeaseRequest is the body of PUT /v1/leases/{worker}.
	LeaseRequest struct {
		Holder string `json:"holder"`
		TTLMS  int64  `json:"ttl_ms"`
	}
	// LeaseReply is the reply to a LeaseRequest.
	LeaseReply struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	// ErrorReply is the body of an error reply.
	ErrorReply struct {
		Error string `json:"error"`
	}
)
