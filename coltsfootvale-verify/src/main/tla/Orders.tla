-------------------------------- MODULE Orders --------------------------------
(* Two routers send orders to one engine under a lease in the key-value service. *)
(* The creation revision of the lease is the fencing token. Routers pause for    *)
(* any time. With Fencing the engine refuses orders with an old token; without   *)
(* it, only the margin, the wait after acquiring the lease and the repair limit  *)
(* the effect of old orders.                                                     *)
EXTENDS Naturals, FiniteSets

CONSTANTS
  Routers, Pausable, None,
  TimeMax, VersionMax,
  TimeToLive, Margin, InFlight, RepairInterval,
  Fencing,          \* the engine refuses an order with an old fencing token
  PauseAnywhere,    \* a router may pause between the last check of its lease and the send
  CheckMargin,      \* a sender stops a margin before the lease expires on its own clock
  WriteIntent,      \* an intent is written by compare-and-swap before an order is sent
  Repair            \* the engine's state is read back and repaired

VARIABLES
  now,
  paused,
  lease,      \* None, or owner, fencing and end
  fencing,    \* the last fencing token issued
  intent,     \* fencing and version
  version,    \* the newest target version in the release notes
  sender,     \* router -> its view of its lease and orders
  flights,    \* orders in flight: fencing, version, time sent
  engine,     \* the order last applied, and the highest fencing and version received
  exposed     \* None, or how long an old version has been in force while a sender was running

vars == <<now, paused, lease, fencing, intent, version, sender, flights, engine, exposed>>

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
  /\ engine = [fencing |-> 0, version |-> 0, highest |-> 0, newest |-> 0]
  /\ exposed = None

NewVersion ==
  /\ version < VersionMax
  /\ version' = version + 1
  /\ UNCHANGED <<now, paused, lease, fencing, intent, sender, flights, engine, exposed>>

Acquire(r) ==
  /\ r \notin paused
  /\ lease = None
  /\ fencing' = fencing + 1
  /\ lease' = [owner |-> r, fencing |-> fencing + 1, end |-> now + TimeToLive]
  /\ sender' = [sender EXCEPT ![r] = [Idle EXCEPT
       !.st = "holds", !.fencing = fencing + 1, !.end = now + TimeToLive,
       !.ready = now + InFlight]]
  /\ UNCHANGED <<now, paused, intent, version, flights, engine, exposed>>

Renew(r) ==
  /\ r \notin paused
  /\ lease # None
  /\ lease.owner = r
  /\ sender[r].fencing = lease.fencing
  /\ lease' = [lease EXCEPT !.end = now + TimeToLive]
  /\ sender' = [sender EXCEPT ![r].end = now + TimeToLive]
  /\ UNCHANGED <<now, paused, fencing, intent, version, flights, engine, exposed>>

MaySend(r) ==
  /\ sender[r].st = "holds"
  /\ now >= sender[r].ready
  /\ ~CheckMargin \/ now + Margin < sender[r].end

\* A router may hold an old release state. The intent is replaced only by the same
\* sender or one with a higher token, and its version never decreases.
Write(r, known) ==
  /\ r \notin paused
  /\ MaySend(r)
  /\ known \in sender[r].written + 1..version
  /\ ~WriteIntent \/ (intent.fencing <= sender[r].fencing /\ intent.version <= known)
  /\ intent' = IF WriteIntent THEN [fencing |-> sender[r].fencing, version |-> known] ELSE intent
  /\ sender' = [sender EXCEPT ![r].written = known, ![r].due = now]
  /\ UNCHANGED <<now, paused, lease, fencing, version, flights, engine, exposed>>

\* The engine has applied this sender's order.
InForce(r) ==
  /\ engine.version = sender[r].written
  /\ ~Fencing \/ engine.fencing = sender[r].fencing

Due(r) ==
  /\ MaySend(r)
  /\ sender[r].written > 0
  /\ now >= sender[r].due
  /\ ~\E f \in flights : f.fencing = sender[r].fencing

\* Reads the engine's state and decides to send an order if it differs.
Decide(r) ==
  /\ r \notin paused
  /\ Due(r)
  /\ sender' = [sender EXCEPT
       ![r].st = IF InForce(r) THEN "holds" ELSE "sending",
       ![r].due = IF ~InForce(r) THEN now
                  ELSE IF Repair THEN now + RepairInterval ELSE TimeMax + 1]
  /\ UNCHANGED <<now, paused, lease, fencing, intent, version, flights, engine, exposed>>

Send(r) ==
  /\ r \notin paused
  /\ sender[r].st = "sending"
  /\ flights' = flights \cup
       {[fencing |-> sender[r].fencing, version |-> sender[r].written, at |-> now]}
  /\ sender' = [sender EXCEPT ![r].st = "holds"]
  /\ UNCHANGED <<now, paused, lease, fencing, intent, version, engine, exposed>>

\* An order takes effect within InFlight, or never.
Deliver(f) ==
  LET refused == Fencing /\ f.fencing < engine.highest
      Max(i, j) == IF i > j THEN i ELSE j
  IN
  /\ f \in flights
  /\ flights' = flights \ {f}
  /\ engine' = IF refused THEN engine
       ELSE [fencing |-> f.fencing, version |-> f.version,
             highest |-> Max(engine.highest, f.fencing), newest |-> Max(engine.newest, f.version)]
  /\ exposed' = IF refused THEN exposed
       ELSE IF f.version >= engine.newest THEN None
       ELSE IF exposed = None THEN 0 ELSE exposed
  /\ UNCHANGED <<now, paused, lease, fencing, intent, version, sender>>

\* Orders are lost only while nothing is exposed: the bound assumes that the repairing order arrives.
Lose(f) ==
  /\ f \in flights
  /\ exposed = None
  /\ flights' = flights \ {f}
  /\ UNCHANGED <<now, paused, lease, fencing, intent, version, sender, engine, exposed>>

Pause(r) ==
  /\ r \in Pausable \ paused
  /\ PauseAnywhere \/ sender[r].st # "sending"
  /\ paused' = paused \cup {r}
  /\ UNCHANGED <<now, lease, fencing, intent, version, sender, flights, engine, exposed>>

Wake(r) ==
  /\ r \in paused
  /\ paused' = paused \ {r}
  /\ UNCHANGED <<now, lease, fencing, intent, version, sender, flights, engine, exposed>>

\* Time advances only if running routers have renewed, decided and sent, and orders in flight have ended.
Tick ==
  /\ now < TimeMax
  /\ \A f \in flights : now < f.at + InFlight
  /\ \A r \in Routers \ paused :
       /\ sender[r].st # "sending"
       /\ ~(Due(r) /\ ENABLED Decide(r))
       /\ lease # None /\ lease.owner = r => lease.end > now + Margin + 1
  /\ now' = now + 1
  /\ lease' = IF lease # None /\ lease.end <= now + 1 THEN None ELSE lease
  /\ exposed' = IF exposed # None /\ \E r \in Routers \ paused : MaySend(r) /\ lease # None /\ lease.owner = r
       THEN exposed + 1 ELSE exposed
  /\ UNCHANGED <<paused, fencing, intent, version, sender, flights, engine>>

Next ==
  \/ NewVersion \/ Tick
  \/ \E r \in Routers :
       \/ Acquire(r) \/ Renew(r) \/ Decide(r) \/ Send(r) \/ Pause(r) \/ Wake(r)
  \/ \E r \in Routers, known \in 1..VersionMax : Write(r, known)
  \/ \E f \in flights : Deliver(f) \/ Lose(f)

Spec == Init /\ [][Next]_vars

\* No engine reverts to an old version.
NoRegress == exposed = None

\* While a sender runs, an old version is in force at most for the repair interval and the time in flight.
ExposureBounded == exposed = None \/ exposed <= RepairInterval + InFlight
===============================================================================
