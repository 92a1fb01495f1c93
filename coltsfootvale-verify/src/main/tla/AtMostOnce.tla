------------------------------ MODULE AtMostOnce ------------------------------
(* One request with one idempotency key, submitted several times through several *)
(* routers. The key names a home router, or is claimed in the key-value service  *)
(* under a lease. Routers pause for any time, restart with empty memory, and may *)
(* consider each other dead at any time; requests and responses may be lost.     *)
EXTENDS Naturals, FiniteSets

CONSTANTS
  Routers, Submissions, None,
  Home,              \* the key's home, or None: the key is claimed
  TimeMax, RestartsMax,
  Window,            \* last time at which callers submit
  Expiry,            \* time up to which the home accepts and remembers the key
  ClaimLifetime,     \* lifetime of a claim
  PauseMax,          \* longest pause that a router does not detect
  OnlyHomeRuns,      \* no other router runs a key whose home appears dead
  NewIncarnation,    \* a restarted router is not the home of its earlier keys
  RefuseExpired,     \* the home refuses a key whose record may have been removed
  UnknownIsFinal,    \* a key whose outcome is unknown never runs again
  ClaimBeforeRun,    \* a key without a home runs only while it is claimed
  NoticePause        \* after a long pause, requests received before it are not run

VARIABLES
  now,
  paused,     \* the paused routers
  beat,       \* router -> the last time at which it ran
  inc,        \* router -> incarnation
  mem,        \* router -> its state of the key
  claim,      \* None, or owner, incarnation and end
  sub,        \* submission -> state and router
  flights,    \* submissions whose request is in flight to the backend server
  ran         \* submission -> how often its request has run there

vars == <<now, paused, beat, inc, mem, claim, sub, flights, ran>>

Claimed == Home = None
Final == {"attached", "unknown", "not_run", "answered"}
QueuedAt(r) == {s \in Submissions : sub[s].st = "queued" /\ sub[s].at = r}
Set(s, st, r) == sub' = [sub EXCEPT ![s] = [st |-> st, at |-> r]]

Init ==
  /\ now = 0
  /\ paused = {}
  /\ beat = [r \in Routers |-> 0]
  /\ inc = [r \in Routers |-> 1]
  /\ mem = [r \in Routers |-> "none"]
  /\ claim = None
  /\ sub = [s \in Submissions |-> [st |-> "idle", at |-> None]]
  /\ flights = {}
  /\ ran = [s \in Submissions |-> 0]

Submit(s, r) ==
  /\ sub[s].st = "idle"
  /\ now <= Window
  /\ Set(s, "queued", r)
  /\ UNCHANGED <<now, paused, beat, inc, mem, claim, flights, ran>>

Begin(s, r) ==
  /\ mem' = [mem EXCEPT ![r] = "running"]
  /\ Set(s, "running", r)

AtHome(s, r) ==
  /\ r = Home
  /\ inc[r] = 1 \/ ~NewIncarnation
  /\ IF mem[r] \in {"running", "sent", "done"}
     THEN Set(s, "attached", r) /\ UNCHANGED mem
     ELSE IF RefuseExpired /\ now >= Expiry
     THEN Set(s, "unknown", r) /\ UNCHANGED mem
     ELSE Begin(s, r)
  /\ UNCHANGED claim

\* The request is forwarded, or its home is considered dead.
AwayFromHome(s, r) ==
  /\ ~Claimed
  /\ r # Home \/ (inc[r] # 1 /\ NewIncarnation)
  /\ \/ r # Home /\ Set(s, "queued", Home) /\ UNCHANGED mem
     \/ OnlyHomeRuns /\ Set(s, "unknown", r) /\ UNCHANGED mem
     \/ ~OnlyHomeRuns /\ mem[r] = "none" /\ Begin(s, r)
  /\ UNCHANGED claim

ClaimedBy(r) == claim # None /\ claim.owner = r /\ claim.inc = inc[r]

\* Creating the claim is atomic; after a lost response the claim is read back.
WithClaim(s, r) ==
  /\ Claimed
  /\ IF NoticePause /\ now - beat[r] > PauseMax
     THEN Set(s, "unknown", r) /\ UNCHANGED <<mem, claim>>
     ELSE IF mem[r] \in {"running", "sent", "done"}
     THEN Set(s, "attached", r) /\ UNCHANGED <<mem, claim>>
     ELSE IF ~ClaimBeforeRun \/ (mem[r] = "idle" /\ ClaimedBy(r))
     THEN Begin(s, r) /\ UNCHANGED claim
     ELSE IF claim = None
     THEN /\ Begin(s, r)
          /\ claim' = [owner |-> r, inc |-> inc[r], end |-> now + ClaimLifetime]
     ELSE Set(s, "unknown", r) /\ UNCHANGED <<mem, claim>>

Process(s, r) ==
  /\ r \notin paused
  /\ sub[s] = [st |-> "queued", at |-> r]
  /\ AtHome(s, r) \/ AwayFromHome(s, r) \/ WithClaim(s, r)
  /\ UNCHANGED <<now, paused, beat, inc, flights, ran>>

\* No byte has been sent: the caller receives not_run, and the key may run again.
GiveUpUnsent(s, r) ==
  /\ r \notin paused
  /\ sub[s] = [st |-> "running", at |-> r]
  /\ Set(s, "not_run", r)
  /\ mem' = [mem EXCEPT ![r] = "idle"]
  /\ UNCHANGED <<now, paused, beat, inc, claim, flights, ran>>

Send(s, r) ==
  /\ r \notin paused
  /\ sub[s] = [st |-> "running", at |-> r]
  /\ Set(s, "sent", r)
  /\ mem' = [mem EXCEPT ![r] = "sent"]
  /\ flights' = flights \cup {s}
  /\ UNCHANGED <<now, paused, beat, inc, claim, ran>>

Run(s) ==
  /\ s \in flights
  /\ flights' = flights \ {s}
  /\ ran' = [ran EXCEPT ![s] = @ + 1]
  /\ UNCHANGED <<now, paused, beat, inc, mem, claim, sub>>

Lose(s) ==
  /\ s \in flights
  /\ flights' = flights \ {s}
  /\ UNCHANGED <<now, paused, beat, inc, mem, claim, sub, ran>>

\* The backend server refuses the request without running it.
Refuse(s, r) ==
  /\ s \in flights
  /\ r \notin paused
  /\ sub[s] = [st |-> "sent", at |-> r]
  /\ flights' = flights \ {s}
  /\ Set(s, "not_run", r)
  /\ mem' = [mem EXCEPT ![r] = "idle"]
  /\ UNCHANGED <<now, paused, beat, inc, claim, ran>>

\* A response has arrived, or none: the outcome is known, or stays unknown.
End(s, r) ==
  /\ r \notin paused
  /\ sub[s] = [st |-> "sent", at |-> r]
  /\ \/ ran[s] = 1 /\ Set(s, "answered", r) /\ mem' = [mem EXCEPT ![r] = "done"]
     \/ /\ Set(s, "unknown", r)
        /\ mem' = [mem EXCEPT ![r] = IF UnknownIsFinal THEN "done" ELSE "idle"]
  /\ UNCHANGED <<now, paused, beat, inc, claim, flights, ran>>

Forget(r) ==
  /\ now >= Expiry
  /\ mem[r] = "done"
  /\ mem' = [mem EXCEPT ![r] = "none"]
  /\ UNCHANGED <<now, paused, beat, inc, claim, sub, flights, ran>>

Pause(r) ==
  /\ r \notin paused
  /\ paused' = paused \cup {r}
  /\ UNCHANGED <<now, beat, inc, mem, claim, sub, flights, ran>>

Wake(r) ==
  /\ r \in paused
  /\ paused' = paused \ {r}
  /\ UNCHANGED <<now, beat, inc, mem, claim, sub, flights, ran>>

\* The process loses its memory; its callers receive no outcome.
Restart(r) ==
  /\ inc[r] <= RestartsMax
  /\ inc' = [inc EXCEPT ![r] = @ + 1]
  /\ mem' = [mem EXCEPT ![r] = "none"]
  /\ paused' = paused \ {r}
  /\ beat' = [beat EXCEPT ![r] = now]
  /\ sub' = [s \in Submissions |->
       IF sub[s].at = r /\ sub[s].st \notin Final THEN [sub[s] EXCEPT !.st = "unknown"]
       ELSE sub[s]]
  /\ UNCHANGED <<now, claim, flights, ran>>

\* A running router processes all received requests before time advances.
Tick ==
  /\ now < TimeMax
  /\ \A r \in Routers \ paused : QueuedAt(r) = {}
  /\ now' = now + 1
  /\ beat' = [r \in Routers |-> IF r \in paused THEN beat[r] ELSE now + 1]
  /\ claim' = IF claim # None /\ claim.end <= now + 1 THEN None ELSE claim
  /\ UNCHANGED <<paused, inc, mem, sub, flights, ran>>

Next ==
  \/ \E s \in Submissions :
       \/ Run(s) \/ Lose(s)
       \/ \E r \in Routers :
            \/ Submit(s, r) \/ Process(s, r) \/ GiveUpUnsent(s, r)
            \/ Send(s, r) \/ Refuse(s, r) \/ End(s, r)
  \/ \E r \in Routers : Forget(r) \/ Pause(r) \/ Wake(r) \/ Restart(r)
  \/ Tick

Spec == Init /\ [][Next]_vars

Runs(s) == ran[s] + IF s \in flights THEN 1 ELSE 0

\* The request runs at most once over all its submissions.
AtMostOnce ==
  \A s, t \in Submissions : ran[s] <= 1 /\ (s # t => ~(ran[s] = 1 /\ ran[t] = 1))

\* A submission that ended as not_run has not run and will not run.
NotRunIsTrue == \A s \in Submissions : sub[s].st = "not_run" => Runs(s) = 0
===============================================================================
