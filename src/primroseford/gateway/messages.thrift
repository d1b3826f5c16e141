// Datagrams between the hosts in front of the runners.

struct RunnerLoad {
  1: string runner
  2: i32 online
  3: i32 batch
  4: bool suspected
  // Whether the host reaches it through other hosts only.
  5: bool indirect = 0
}

struct Spending {
  1: string organisation
  2: i64 admitted
  3: i32 fresh
  // Requests that asked for a token since the start of the host, refused ones included;
  // 0 if its software version does not tell.
  4: i64 asked = 0
}

struct JobProgress {
  1: string job
  2: i32 segments
  3: string organisation
  4: string path_prefix
  5: i64 waiting_tokens
  // Whether the host has stopped the job; hosts of a software version without this field
  // report it like a running one.
  6: bool stopped = 0
  // Whether every item has a result, or the job is cancelled.
  7: bool ended = 0
}

// A shared part of a prompt that was on a runner when it crashed.
struct CrashPart {
  1: string part
  2: i32 position
}

// A crash of a runner instance that the host saw.
struct RunnerCrash {
  1: string runner
  2: i64 born
  3: i32 age_ms
  4: list<CrashPart> parts
}

// A prompt part in recent crashes, of which the host has served a request.
struct ServedPart {
  1: string part
  2: i32 age_ms
}

struct QuarantinedPart {
  1: string part
  2: i64 generation
  3: i32 trial_in_ms
  4: i32 trial_ms
  5: bool lifted
}

// What the host's last response of a runner said of its request limit.
struct RunnerLimit {
  1: string runner
  2: i64 born
  // Requests per second from all hosts together; 0 if the limit has ended.
  3: double rate
  4: i32 age_ms
}

// Tokens of a runner that the host has used in the last window.
struct TokenUse {
  1: string runner
  2: i64 born
  3: i32 count
  // The process that granted them; 0 if its software version does not tell.
  4: i64 granter = 0
}

// Tokens for requests to a runner with a limit.
struct TokenMessage {
  1: string runner
  2: i64 born
  3: i32 count
  4: bool batch
  // The limit as the asking host knows it.
  5: double rate = 0
  // The process that grants the tokens.
  6: i64 granter = 0
}

// A runner that has said that it leaves, in a response to the host.
struct LeavingRunner {
  1: string runner
  2: i64 born
}

// A runner that has started again, whose entry the receiver may not know.
struct RestartedRunner {
  1: string runner
  // Start of the instance before, and of the one that serves.
  2: i64 listed
  3: i64 born
}

// Pool and software version of the runner that began a stream.
struct StreamRecord {
  // Digest of the request id of the caller's attempt that began it.
  1: binary stream
  2: string pool
  // Empty in an answer if the host does not know the stream.
  3: string version
  // Number of the attempt within that request; the highest one counts.
  4: i32 attempt
  5: i32 ttl_ms
  // Whether the attempt has brought the stream's first event, so that no later one can
  // replace it. Hosts of earlier releases tell of attempts before that.
  6: bool begun
}

// Software versions that a pool has had lately, as far as the host has seen.
struct PoolVersions {
  1: string pool
  2: list<string> versions
  // Revision of the platform's store up to which the host has seen all changes.
  3: i64 followed_to
  // Whether it has seen all changes that can matter up to there.
  4: bool whole
}

// A runner that tolerates few requests a second, since it has started lately.
struct ColdRunner {
  1: string runner
  2: i64 born
  3: i32 left_ms
}

// Responses of a runner to the host since the host's start, by what they say of its load.
struct RunnerAnswers {
  1: string runner
  2: i64 born
  3: i64 in_time
  4: i64 slow
  // Failures and refusals.
  5: i64 failed
}

// Requests that a runner may have in flight from all hosts together, as its owner sets it.
struct RunnerPace {
  1: string runner
  2: i64 born
  3: double limit
  4: i32 age_ms
}

// Speed of a runner as the host has measured it, in hundredths of the usual one.
struct RunnerSpeed {
  1: string runner
  2: i64 born
  3: i32 speed
  // Number of responses behind it.
  4: i32 responses
  // Time that work takes there at the moment, in hundredths of the usual one; 0 if the
  // runner has not told it.
  5: i32 slowness
  6: i32 slowness_age_ms
}

struct Heartbeat {
  1: string host
  2: string incarnation
  3: string address
  4: string failure_domain
  5: i64 sequence
  6: bool leaving
  7: i64 configuration
  8: i32 waiting
  9: list<RunnerLoad> loads
  10: list<Spending> spending
  11: list<JobProgress> jobs
  12: bool reaches_store
  13: i64 runner_list
  14: list<string> ended_jobs
  // Age of the platform's last confirmation that this configuration is the newest one.
  // The default stands for hosts of a software version without this field.
  15: i32 confirmed_ms_ago = 2147483647
  // Waiting batch items that can still meet their deadline, and the others.
  16: i32 ready_items = 0
  17: i32 late_items = 0
  // Capacity of the host's network link in bytes per second.
  18: i64 link_bytes = 0
  // Whether the host uses no relay, so that the others send to it directly.
  19: bool direct = 0
  // What the host knows of prompts that crash runners.
  20: list<RunnerCrash> crashes = []
  21: list<ServedPart> served = []
  22: list<QuarantinedPart> quarantined = []
  23: list<RunnerLimit> limits = []
  // Whether the host grants tokens; hosts of a software version without this field do
  // not.
  24: bool owns_request_tokens = 0
  25: list<TokenUse> token_uses = []
  26: list<LeavingRunner> leaving_runners = []
  // Whether the host has started so lately that it does not know which tokens it has used.
  27: bool has_just_started = 0
  // Whether the host cannot run jobs, so that it takes none over: its job service stands
  // still, or it has no configuration. Hosts of a software version without this field do
  // not tell.
  28: bool jobs_stalled = 0
  // Age of the newest complete scan of all stored jobs by this host, unless it knows of a
  // newer one by another host.
  29: i32 job_scan_age_ms = 2147483647
  // Quarantined prompt parts of the host's waiting batch items.
  30: list<string> held_parts = []
  31: list<RestartedRunner> restarted_runners = []
  // Failure domains that get no new work, and the revision of the store at which the
  // operator's list was so; 0 if the host does not know it.
  32: list<string> evacuated_domains = []
  33: i64 evacuations_revision = 0
  34: list<ColdRunner> cold_runners = []
  35: list<RunnerAnswers> runner_answers = []
  36: list<RunnerPace> paces = []
  37: list<RunnerSpeed> speeds = []
  // Age of the last complete scan of the stored cancellations by this host; ended_jobs
  // has what it found. Hosts of a software version without this field do not tell.
  38: i32 cancellation_scan_age_ms = 2147483647
}

// Heartbeats that the relay of a failure domain forwards, encoded by their senders.
struct Bundle {
  1: string relay
  2: list<binary> heartbeats
  // Runner of which the receiver should preempt a batch item for an online request of
  // the sender. Such a message has no heartbeats.
  3: string wanted = ""
  // Messages to and from the token owner of a runner, likewise without heartbeats.
  4: list<TokenMessage> token_asks = []
  5: list<TokenMessage> token_grants = []
  6: list<TokenMessage> token_returns = []
  // Streams that the sender begins, which the receiver remembers for it; streams that the
  // sender asks for, by their digests; and what it knows of those that the receiver asked
  // for. Such messages have no heartbeats either.
  7: list<StreamRecord> stream_records = []
  8: list<binary> stream_asks = []
  9: list<StreamRecord> stream_answers = []
  // Pools of which the sender asks for the versions that they have had lately, and what
  // it knows of those that the receiver asked for.
  10: list<string> version_asks = []
  11: list<PoolVersions> version_answers = []
}
