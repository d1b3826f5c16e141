// Messages of the configuration's distribution between hosts.

struct Change {
  1: i64 version
  2: string kind
  3: string name
  // JSON of {spec, labels}; absent if the object was deleted.
  4: optional binary body
}

// Interval of versions of which only the end state was observed.
struct Jump {
  1: i64 first
  2: i64 last
}

struct Delta {
  1: i64 start
  2: i64 end
  3: list<Change> changes
  4: list<Jump> jumps
}

struct HostReport {
  1: string host
  2: i64 version
  // Time since the last confirmation by the platform; -1 if there was none.
  3: i64 age_ms
  // Time since the host created the report.
  4: i64 heard_ms
}

struct Pull {
  1: i64 version
  2: list<HostReport> reports
}

struct PullAnswer {
  1: i64 version
  2: i64 age_ms
  3: optional Delta delta
  4: bool snapshot_needed
}

struct SliceRequest {
  // Version of the snapshot; 0 requests the current one.
  1: i64 version
  2: i32 index
  // Version of the receiver; it needs a snapshot with a higher version.
  3: i64 have
}

struct Slice {
  1: i64 version
  2: i32 index
  // Number of slices; 0 if the sender no longer has the requested version.
  3: i32 count
  4: list<Change> changes
}

struct Probe {
}

struct ProbeAnswer {
  1: i64 version
  2: i64 age_ms
}

struct ReportsRequest {
}

struct Reports {
  1: list<HostReport> reports
}

// Requests and answers of all kinds use this struct, because a receiver decodes both by
// the type that is registered for the message kind.
struct Message {
  1: optional Pull pull
  2: optional PullAnswer pull_answer
  3: optional Delta push
  4: optional SliceRequest slice_request
  5: optional Slice slice
  6: optional Probe probe
  7: optional ProbeAnswer probe_answer
  8: optional ReportsRequest reports_request
  9: optional Reports reports
}
