// Messages between hosts for batch, kinds 500 to 599.
namespace py primroseford.batch.gen

// Kind 500: online requests in flight on a runner, sent to the runner's feeder.
struct OnlineLoad {
  1: string runner
  2: i32 in_flight
  // Grows with each message of the sender; older messages are ignored.
  3: i64 sequence
}
