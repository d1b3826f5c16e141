// Messages between hosts about claims of idempotency keys.

namespace py primroseford.online.gen

// kind 400
struct ClaimRequest {
  1: string organisation
  2: string key
  3: string fingerprint
  4: string operation
}

// kind 401
struct ClaimReply {
  // 0 if the key is now claimed, else the result code of the refusal
  1: i32 code
  2: string message
}

// kind 402
struct SettleRequest {
  1: string organisation
  2: string key
  3: string operation
  4: bool ran
}

// kind 403
struct SettleReply {
}
