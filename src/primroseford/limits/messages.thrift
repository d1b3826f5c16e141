// Demand of requesting hosts, grants of the owner of a group, and hand-over of a group.

// Cumulative usage of one grant, so that applying a message twice is idempotent.
struct Usage {
  1: i64 grant_id
  2: i32 spent
  3: i32 returned
  4: i32 refunded
}

struct Demand {
  1: string organisation
  2: bool batch
  3: i32 wanted
  4: i32 least
  5: list<Usage> usages
}

struct DemandRequest {
  1: i32 group
  2: i64 sequence
  3: string incarnation
  4: i64 echo_fencing
  5: i64 echo_sequence
  6: list<Demand> demands
}

struct Grant {
  1: string organisation
  2: bool batch
  3: i64 grant_id
  4: i32 amount
  5: i32 wait_ms
}

struct GrantAnswer {
  1: bool owner
  2: i64 fencing
  3: i64 sequence
  4: list<Grant> grants
  // Time for which this owner has been granting tokens; 0 for hosts of a software version
  // without this field.
  5: i32 granting_ms = 0
}

struct OutstandingGrant {
  1: i64 grant_id
  2: i32 amount
  3: i32 left_ms
  4: i32 spent
  5: i32 returned
  6: i32 refunded
}

struct Level {
  1: string organisation
  2: bool batch
  3: double available
  4: list<OutstandingGrant> outstanding
}

struct Handover {
  1: i32 group
  2: i64 fencing
  3: list<Level> levels
  4: double share
  5: map<string, i32> promises_ms
}

struct Offer {
  1: i32 group
}

struct Done {
  1: bool accepted
}
