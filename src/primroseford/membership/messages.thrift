// Heartbeats of hosts and the views that aggregators answer with.

struct Member {
  1: string host_id
  2: string incarnation
  3: string address
  4: string failure_domain
  5: bool leaving
  6: i32 age_ms
}

struct Heartbeat {
  1: Member member
  2: i64 digest
  3: list<Member> carried
}

struct View {
  1: i64 digest
  2: list<Member> members
}
