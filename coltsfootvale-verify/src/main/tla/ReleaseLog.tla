------------------------------ MODULE ReleaseLog ------------------------------
(* The release log in a key-value service. A commit creates the key of revision  *)
(* r+1 if it is absent. Responses may be lost, writes may be delayed, routers    *)
(* may hold an old state, and keys up to the horizon of a snapshot are deleted.  *)
EXTENDS Naturals, Sequences, FiniteSets

CONSTANTS
  Submissions,     \* NoteOf and RouterOf map a submission to its note and router
  NoteOf, RouterOf,
  Routers,
  Conflicts,       \* pairs of notes of which at most one may be accepted
  RevisionMax,
  None,
  CreateIfAbsent,  \* a commit never replaces an existing key
  ReadBack,        \* after a missing response the log is read before the next attempt
  RecheckLoser,    \* a submission that lost a race is validated against the new state
  CheckHorizon     \* readers and writers check the horizon after reading or writing keys

VARIABLES
  log,       \* revision -> note, or None if the key is absent
  horizon,   \* the revision of the snapshot; keys up to it may be deleted
  chain,     \* the committed history
  applied,   \* router -> sequence of notes
  page,      \* router -> keys read but not yet applied, or None
  sub,       \* submission -> state
  flights    \* create calls in flight to the service

vars == <<log, horizon, chain, applied, page, sub, flights>>

Revisions == 1..RevisionMax
Notes == {NoteOf[s] : s \in Submissions}
Range(q) == {q[i] : i \in 1..Len(q)}
Clash(n, q) == \E m \in Range(q) : <<n, m>> \in Conflicts \/ <<m, n>> \in Conflicts

Init ==
  /\ log = [r \in Revisions |-> None]
  /\ horizon = 0
  /\ chain = <<>>
  /\ applied = [r \in Routers |-> <<>>]
  /\ page = [r \in Routers |-> None]
  /\ sub = [s \in Submissions |-> [st |-> "stale", rev |-> 0]]
  /\ flights = {}

\* The notes from a revision on, up to the first absent key.
RECURSIVE From(_)
From(r) == IF r > RevisionMax \/ log[r] = None THEN <<>> ELSE <<log[r]>> \o From(r + 1)

ReadKeys(r) ==
  /\ page[r] = None
  /\ page' = [page EXCEPT ![r] = From(Len(applied[r]) + 1)]
  /\ UNCHANGED <<log, horizon, chain, applied, sub, flights>>

\* Completes a read; submissions waiting for it may be checked.
ReadHorizon(r) ==
  /\ page[r] # None
  /\ applied' = [applied EXCEPT ![r] =
       IF CheckHorizon /\ horizon > Len(@) THEN SubSeq(chain, 1, horizon) ELSE @ \o page[r]]
  /\ page' = [page EXCEPT ![r] = None]
  /\ sub' = [s \in Submissions |->
       IF RouterOf[s] = r /\ sub[s].st = "stale" THEN [sub[s] EXCEPT !.st = "ready"] ELSE sub[s]]
  /\ UNCHANGED <<log, horizon, chain, flights>>

Check(s) ==
  LET q == applied[RouterOf[s]]
      n == NoteOf[s]
      next == Len(q) + 1
      loser == sub[s].rev # 0
      decide(st, rev) == sub' = [sub EXCEPT ![s] = [st |-> st, rev |-> rev]]
  IN
  /\ sub[s].st = "ready"
  /\ IF ReadBack /\ n \in Range(q)
     THEN decide("accepted", 0) /\ UNCHANGED flights
     ELSE IF Clash(n, q) /\ (RecheckLoser \/ ~loser)
     THEN decide("refused", 0) /\ UNCHANGED flights
     ELSE /\ next <= RevisionMax
          /\ decide("waiting", next)
          /\ flights' = flights \cup {<<s, next>>}
  /\ UNCHANGED <<log, horizon, chain, applied, page>>

\* A create takes effect; its response arrives or is lost.
Land(f) ==
  LET s == f[1]
      rev == f[2]
      free == log[rev] = None \/ ~CreateIfAbsent
      reply == IF free THEN "created" ELSE "stale"
  IN
  /\ f \in flights
  /\ flights' = flights \ {f}
  /\ log' = IF free THEN [log EXCEPT ![rev] = NoteOf[s]] ELSE log
  /\ chain' = IF free /\ rev > horizon
       THEN (IF rev <= Len(chain) THEN [chain EXCEPT ![rev] = NoteOf[s]]
             ELSE Append(chain, NoteOf[s]))
       ELSE chain
  /\ \/ /\ sub[s].st = "waiting" /\ sub[s].rev = rev
        /\ sub' = [sub EXCEPT ![s].st = reply]
     \/ UNCHANGED sub
  /\ UNCHANGED <<horizon, applied, page>>

\* The response is missing: the router reads before it retries.
Timeout(s) ==
  /\ sub[s].st = "waiting"
  /\ sub' = [sub EXCEPT ![s].st = "stale"]
  /\ UNCHANGED <<log, horizon, chain, applied, page, flights>>

\* After a create the writer checks that the key was not at or below the horizon.
Confirm(s) ==
  LET rev == sub[s].rev
      stray == CheckHorizon /\ horizon >= rev
  IN
  /\ sub[s].st = "created"
  /\ sub' = [sub EXCEPT ![s].st = IF stray THEN "stale" ELSE "accepted"]
  /\ UNCHANGED <<log, horizon, chain, applied, page, flights>>

Snapshot ==
  /\ \E r \in Routers :
       /\ Len(applied[r]) > horizon
       /\ horizon' = Len(applied[r])
  /\ UNCHANGED <<log, chain, applied, page, sub, flights>>

Delete(rev) ==
  /\ rev <= horizon
  /\ log[rev] # None
  /\ log' = [log EXCEPT ![rev] = None]
  /\ UNCHANGED <<horizon, chain, applied, page, sub, flights>>

Next ==
  \/ \E r \in Routers : ReadKeys(r) \/ ReadHorizon(r)
  \/ \E s \in Submissions : Check(s) \/ Timeout(s) \/ Confirm(s)
  \/ \E f \in flights : Land(f)
  \/ Snapshot
  \/ \E rev \in Revisions : Delete(rev)

Spec == Init /\ [][Next]_vars

\* Every router has applied a prefix of the committed history.
Agreement ==
  \A r \in Routers :
    Len(applied[r]) <= Len(chain) /\ applied[r] = SubSeq(chain, 1, Len(applied[r]))

AcceptedStands == \A s \in Submissions : sub[s].st = "accepted" => NoteOf[s] \in Range(chain)

\* A refused note is not in the history, unless it was accepted in another submission.
RefusedNoTrace ==
  \A s \in Submissions :
    (sub[s].st = "refused"
      /\ ~\E t \in Submissions : NoteOf[t] = NoteOf[s] /\ sub[t].st = "accepted")
        => NoteOf[s] \notin Range(chain)

AcceptedOnce == \A i, j \in 1..Len(chain) : chain[i] = chain[j] => i = j

NoConflict == \A i \in 1..Len(chain) : ~Clash(chain[i], SubSeq(chain, 1, i - 1))
===============================================================================
