-------------------------------- MODULE Orders --------------------------------
(* Two routers give orders to one engine under a lease of the key-value service. *)
(* The lease's creation revision is the fencing number. Routers pause for any    *)
(* time. With Fencing the engine refuses an old number; without it the margin,   *)
(* the wait and the repair are all there is.                                     *)
EXTENDS Naturals, FiniteSets

CONSTANTS
  Routers, Pausable, None,
  TimeMax, VersionMax,
  TimeToLive, Margin, InFlight, RepairInterval,
  Fencing,          \* the engine refuses an order with an old fencing number
  PauseAnywhere,    \* a router may pause between its last check and the send
  CheckMargin,      \* a sender stops a margin before its own clock ends the lease
  WriteIntent,      \* an intent is written by compare-and-swap before an order
  Repair            \* the engine's state is read back and repaired

VARIABLES
  now,
  paused,
  lease,      \* None, or owner, fencing and end
  fencing,    \* the last fencing number given out
  intent,     \* fencing and version
  version,    \* the newest target of the release notes
  sender,     \* router -> what it believes
  flights,    \* orders on their way: fencing, version, time sent
  engine,     \* fencing and version last taken over, highest fencing seen
  wrongSince  \* the time since which an overtaken order is in force, or None

vars == <<now, paused, lease, fencing, intent, version, sender, flights, engine, wrongSince>>

Idle == [st |-> "idle", fencing |-> 0, end |-> 0, ready |-> 0, written |-> 0, due |-> 0]

Init ==
  /\ now = 0
  /\ paused = {}
  /\ lease = None
  /\ fencing = 0
  /\ intent = [fencing |-> 0, version |-> 0]
  /\ version = 1
  /\ sender = [r \in Routers |-> Idle]
  /\ flights = {}
  /\ engine = [fencing |-> 0, version |-> 0, highest |-> 0]
  /\ wrongSince = None

NewVersion ==
  /\ version < VersionMax
  /\ version' = version + 1
  /\ UNCHANGED <<now, paused, lease, fencing, intent, sender, flights, engine, wrongSince>>

Acquire(r) ==
  /\ r \notin paused
  /\ lease = None
  /\ fencing' = fencing + 1
  /\ lease' = [owner |-> r, fencing |-> fencing + 1, end |-> now + TimeToLive]
  /\ sender' = [sender EXCEPT ![r] = [Idle EXCEPT
       !.st = "holds", !.fencing = fencing + 1, !.end = now + TimeToLive,
       !.ready = now + InFlight]]
  /\ UNCHANGED <<now, paused, intent, version, flights, engine, wrongSince>>

Renew(r) ==
  /\ r \notin paused
  /\ lease # None
  /\ lease.owner = r
  /\ sender[r].fencing = lease.fencing
  /\ lease' = [lease EXCEPT !.end = now + TimeToLive]
  /\ sender' = [sender EXCEPT ![r].end = now + TimeToLive]
  /\ UNCHANGED <<now, paused, fencing, intent, version, flights, engine, wrongSince>>

MaySend(r) ==
  /\ sender[r].st = "holds"
  /\ now >= sender[r].ready
  /\ ~CheckMargin \/ now + Margin < sender[r].end

\* The intent is replaced only by the same sender or one with a higher number.
Write(r) ==
  /\ r \notin paused
  /\ MaySend(r)
  /\ sender[r].written < version
  /\ ~WriteIntent \/ intent.fencing <= sender[r].fencing
  /\ intent' = IF WriteIntent THEN [fencing |-> sender[r].fencing, version |-> version] ELSE intent
  /\ sender' = [sender EXCEPT ![r].written = version, ![r].due = now]
  /\ UNCHANGED <<now, paused, lease, fencing, version, flights, engine, wrongSince>>

\* The engine has taken over this sender's order.
InForce(r) ==
  /\ engine.version = sender[r].written
  /\ ~Fencing \/ engine.fencing = sender[r].fencing

Due(r) ==
  /\ MaySend(r)
  /\ sender[r].written > 0
  /\ now >= sender[r].due
  /\ ~\E f \in flights : f.fencing = sender[r].fencing

\* Reads the engine back; decides to order if it differs.
Decide(r) ==
  /\ r \notin paused
  /\ Due(r)
  /\ Repair \/ engine.highest < sender[r].fencing \/ engine.version < sender[r].written
  /\ sender' = [sender EXCEPT
       ![r].st = IF InForce(r) THEN "holds" ELSE "sending",
       ![r].due = IF InForce(r) THEN now + RepairInterval ELSE now]
  /\ UNCHANGED <<now, paused, lease, fencing, intent, version, flights, engine, wrongSince>>

Send(r) ==
  /\ r \notin paused
  /\ sender[r].st = "sending"
  /\ flights' = flights \cup
       {[fencing |-> sender[r].fencing, version |-> sender[r].written, at |-> now]}
  /\ sender' = [sender EXCEPT ![r].st = "holds"]
  /\ UNCHANGED <<now, paused, lease, fencing, intent, version, engine, wrongSince>>

\* An order takes effect within its time in flight, or never.
Deliver(f) ==
  LET stale == f.fencing < engine.highest
      refused == Fencing /\ stale
      wrong == stale /\ f.version # engine.version
  IN
  /\ f \in flights
  /\ flights' = flights \ {f}
  /\ engine' = IF refused THEN engine
       ELSE [fencing |-> f.fencing, version |-> f.version,
             highest |-> IF stale THEN engine.highest ELSE f.fencing]
  /\ wrongSince' = IF refused THEN wrongSince
       ELSE IF ~stale THEN None
       ELSE IF wrong /\ wrongSince = None THEN now ELSE wrongSince
  /\ UNCHANGED <<now, paused, lease, fencing, intent, version, sender>>

Lose(f) ==
  /\ f \in flights
  /\ flights' = flights \ {f}
  /\ UNCHANGED <<now, paused, lease, fencing, intent, version, sender, engine, wrongSince>>

Pause(r) ==
  /\ r \in Pausable \ paused
  /\ PauseAnywhere \/ sender[r].st # "sending"
  /\ paused' = paused \cup {r}
  /\ UNCHANGED <<now, lease, fencing, intent, version, sender, flights, engine, wrongSince>>

Wake(r) ==
  /\ r \in paused
  /\ paused' = paused \ {r}
  /\ UNCHANGED <<now, lease, fencing, intent, version, sender, flights, engine, wrongSince>>

\* A running router renews, decides and sends in time; orders in flight end in time.
Tick ==
  /\ now < TimeMax
  /\ \A f \in flights : now < f.at + InFlight
  /\ \A r \in Routers \ paused :
       /\ sender[r].st # "sending"
       /\ ~(Due(r) /\ ENABLED Decide(r))
       /\ lease # None /\ lease.owner = r => lease.end > now + Margin + 1
  /\ now' = now + 1
  /\ lease' = IF lease # None /\ lease.end <= now + 1 THEN None ELSE lease
  /\ UNCHANGED <<paused, fencing, intent, version, sender, flights, engine, wrongSince>>

Next ==
  \/ NewVersion \/ Tick
  \/ \E r \in Routers :
       \/ Acquire(r) \/ Renew(r) \/ Write(r) \/ Decide(r) \/ Send(r) \/ Pause(r) \/ Wake(r)
  \/ \E f \in flights : Deliver(f) \/ Lose(f)

Spec == Init /\ [][Next]_vars

\* No overtaken order is ever in force.
NoRegress == wrongSince = None

\* An overtaken order is in force at most until the next read-back.
ExposureBounded == wrongSince = None \/ now - wrongSince <= RepairInterval + InFlight
===============================================================================
