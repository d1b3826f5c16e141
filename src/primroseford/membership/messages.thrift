// Heartbeats of hosts, and the views of the fleet in the answers of aggregators.

struct Member {
  1: string host_id
  2: string incarnation
  3: string address
  4: bool leaving
  5: i32 age_ms
}

struct DomainView {
  1: string failure_domain
  2: i32 age_ms
  3: list<Member> members
}

struct Heartbeat {
  1: string failure_domain
  2: Member member
  3: i64 digest
  4: bool aggregator
}

struct View {
  1: i64 digest
  2: map<string, i32> ages_ms
  3: list<DomainView> domains
  4: list<string> leaving
  5: string failure_domain
  6: Member member
}
