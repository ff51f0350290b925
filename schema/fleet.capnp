@0xd6a1c3f0b7e2948d;
# Messages between routers and agents, and between routers.

struct Member {
  name @0 :Text;          # VM name
  incarnation @1 :UInt64; # differs for each start of a process
  address @2 :Text;       # IP:port of the member's fleet listener
  region @3 :Text;
  zone @4 :Text;
}

struct Versions {
  config @0 :UInt64;      # newest configuration version seen
  fences @1 :UInt64;      # newest fence list revision applied
}

struct Load {
  running @0 :UInt32;
  queued @1 :UInt32;
  slots @2 :UInt32;       # requests that the engine batches at once
  draining @3 :Bool;
  down @4 :Bool;          # the backend server does not answer
}

struct Receipt {
  number @0 :UInt64;      # grows by one per holder at this agent
  request @1 :Text;
  budget @2 :Text;
  tokens @3 :UInt64;      # charged, prompt and completion together
  ran @4 :Bool;           # false: the attempt certainly did not run
}

struct RunRequest {
  id @0 :Text;            # request id, the same over attempts
  attempt @1 :UInt32;
  holder @2 :UInt64;      # incarnation of the router that pays
  agent @3 :UInt64;       # incarnation of the agent that is meant
  config @4 :UInt64;
  workspace @5 :Text;
  budget @6 :Text;
  route @7 :Text;
  service @8 :Text;
  bound @9 :UInt64;       # tokens reserved
  deadlineMs @10 :UInt64; # time left to the caller's deadline, milliseconds
  priority @11 :UInt8;    # 0 runs first
  acked @12 :UInt64;      # receipts up to this number are durable at the holder
  key @13 :Text;          # idempotency key, empty when none was given
  fingerprint @14 :UInt64;
  body @15 :Data;
  path @16 :Text;         # path of a plain service call, empty for a model call
  method @17 :Text;
  stream @18 :Bool;
  solo @19 :Bool;         # run with no neighbours, after a crash
  prefix @20 :UInt64;     # hash of the prompt's prefix, 0 when unknown
  idempotent @21 :Bool;
}

struct RunOutcome {
  code @0 :UInt16;        # 0: complete, else a result code
  ran @1 :Bool;           # the attempt may have run
  receipt @2 :Receipt;
  message @3 :Text;
  config @4 :UInt64;      # newest version the agent has seen
  retryAfterMs @5 :UInt64;
  status @6 :UInt16;      # HTTP status of the backend server
  length @7 :UInt64;      # bytes of the whole answer
}

interface Sink {
  chunk @0 (offset :UInt64, data :Data) -> ();
}

interface Agent {
  run @0 (req :RunRequest, sink :Sink) -> (outcome :RunOutcome);
  resume @1 (agent :UInt64, id :Text, offset :UInt64, holder :UInt64, sink :Sink) -> (outcome :RunOutcome);
  cancel @2 (agent :UInt64, id :Text, attempt :UInt32) -> ();
  receipts @3 (agent :UInt64, holder :UInt64, after :UInt64) -> (list :List(Receipt));
  fence @4 (agent :UInt64, revision :UInt64, holders :List(UInt64)) -> (revision :UInt64);
  ping @5 (versions :Versions) -> (member :Member, load :Load, versions :Versions);
  order @6 (order :Order) -> (result :OrderResult);
  drain @7 (on :Bool) -> ();
}

struct Order {
  pool @0 :Text;
  fencing @1 :UInt64;
  action @2 :Text;        # load, unload, role
  subject @3 :Text;       # model, adapter or role name
  version @4 :Text;
  checked @5 :Bool;       # the engine checks fencing numbers itself
}

struct OrderResult {
  code @0 :UInt16;
  newest @1 :UInt64;      # newest fencing number seen for the pool
  message @2 :Text;
}

struct AgentBeat {
  member @0 :Member;
  service @1 :Text;
  load @2 :Load;
  versions @3 :Versions;
  models @4 :List(Text);
  crashes @5 :List(Crash);
  prefixes @6 :List(UInt64); # prompt prefixes that the engine has cached of late
}

struct Crash {
  fingerprint @0 :UInt64;
  count @1 :UInt32;
  ageMs @2 :UInt64;
}

struct Seen {
  beat @0 :AgentBeat;
  ageMs @1 :UInt64;
}

struct Gossip {
  member @0 :Member;
  versions @1 :Versions;
  seen @2 :List(Seen);
  crashes @3 :List(Crash);
  fenced @4 :List(UInt64);
}

interface Router {
  beat @0 (beat :AgentBeat) -> (versions :Versions, fenced :List(UInt64));
  draw @1 (giver :UInt64, asker :UInt64, budget :Text, received :UInt64, wanted :UInt64) -> (given :UInt64, free :UInt64);
  gossip @2 (gossip :Gossip) -> (gossip :Gossip);
  config @3 (after :UInt64) -> (version :UInt64, set :Data);
  flows @4 (router :UInt64, revision :UInt64, closing :List(UInt64)) -> (record :Data);
  status @5 () -> (json :Text);
}
