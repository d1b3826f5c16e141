// Demand of a requesting host and the grants of a bucket's owner.

struct Return {
  1: i64 grant_id
  2: i32 amount
}

struct Demand {
  1: string organisation
  2: i32 online
  3: i32 batch
  4: list<Return> returned
  5: map<i64, i32> spent
  6: i32 usage_milli
}

struct DemandRequest {
  1: i64 sequence
  2: i64 fencing
  3: i64 echo
  4: string incarnation
  5: list<Demand> demands
}

struct Grant {
  1: string organisation
  2: i64 grant_id
  3: i32 online
  4: i32 batch
  5: i32 wait_ms
}

struct GrantAnswer {
  1: i64 fencing
  2: i64 sequence
  3: i32 ttl_ms
  4: i32 promise_ms
  5: bool owner
  6: list<Grant> grants
}

struct OutstandingGrant {
  1: string organisation
  2: i64 grant_id
  3: string host_id
  4: i32 amount
  5: i32 left_ms
  6: bool batch
}

struct Level {
  1: string organisation
  2: double online
  3: double batch
}

struct Handover {
  1: i32 group
  2: i64 fencing
  3: list<Level> levels
  4: list<OutstandingGrant> outstanding
}

struct Done {
}
