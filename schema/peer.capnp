@0xb7c1f0a95d3e4a61;

# Calls between entry instances. Every call carries a deadline at the caller.

struct WorkerLoad {
  worker @0 :Text;
  slots @1 :UInt32;
  # Streams that the worker runs at most at once.
  online @2 :UInt32;
  # Online streams in flight, as far as the owner knows.
  batch @3 :UInt32;
  # Batch streams in flight from the owner.
  waiting @4 :UInt32;
  # Requests that the engine has admitted and not started.
  leaving @5 :Bool;
  model @6 :Text;
  # Model that is loaded; empty when there is none.
  version @7 :Text;
  # Version of the model.
}

struct Heard {
  run @0 :UInt32;
  # Hash of an instance and its session.
  ageMs @1 :UInt32;
  # Time since its last heartbeat.
}

struct KindVersion {
  kind @0 :Text;
  version @1 :UInt64;
}

struct Digest {
  instance @0 :Text;
  session @1 :UInt64;
  zone @2 :Text;
  leaving @3 :Bool;
  views @4 :List(KindVersion);
  loads @5 :List(WorkerLoad);
  address @6 :Text;
  # Address of the sender for other entry instances.
  heard @7 :List(Heard);
  # Heartbeats that the sender knows of other instances in its zone.
}

struct Change {
  name @0 :Text;
  version @1 :UInt64;
  value @2 :Data;
  # JSON text of the object; empty for a removed object.
  removed @3 :Bool;
}

interface Peer {
  exchange @0 (digest :Digest) -> (digest :Digest);
  # Swaps digests. Both sides learn views and loads of the other.

  changes @1 (kind :Text, since :UInt64)
      -> (version :UInt64, changes :List(Change), full :Bool);
  # Objects of a watched kind newer than a version, and the version that they lead to. A full
  # answer has all objects; others do not exist.

  online @2 (instance :Text, session :UInt64, worker :Text, level :UInt32) -> ();
  # Online requests that the sender has in flight on a worker which the receiver owns.
}
