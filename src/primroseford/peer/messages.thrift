// Frames of the peer protocol. Kinds 1 to 99 belong to the peer network itself.

struct Hello {
  1: i32 version
  2: string host_id
  3: string incarnation
  4: string settings_digest
  5: binary nonce
}

struct Proof {
  1: binary mac
}

struct Envelope {
  1: i32 version
  2: i32 kind
  3: i32 role
  4: i64 call_id
  5: i32 deadline_ms
  6: i32 code
  7: binary body
  8: string text
}
