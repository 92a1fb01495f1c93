----------------------------- MODULE RestoredStore -----------------------------
(* Routers follow a key-value store that is restored from a backup, so that its   *)
(* revisions decrease and are reused. Responses may be delayed, including those   *)
(* from before a restore. One replica announces its departure, disappears, or     *)
(* restarts; the operator writes desired states. A starting router reads the      *)
(* state of a running peer.                                                       *)
EXTENDS Naturals, FiniteSets

CONSTANTS
  Routers,
  VersionMax, BornMax, EraMax, RevisionMax,
  CompareEras,       \* eras are compared first, then revisions
  KeepDepartures,    \* an announced departure is final
  HoldVanished,      \* an expired entry that a restore brings back is unused until its server proves alive
  CompareStarts,     \* an entry of an earlier start never replaces one of a later start
  CompareVersions,   \* a desired state is replaced only by a newer version
  AskPeers           \* a starting router merges the state of a running peer

VARIABLES
  store,     \* era, revision, version and the replica's entry
  copy,      \* the latest backup, or the initial state
  history,   \* all states that the store has ever returned
  server,    \* the replica itself
  written,   \* the newest version written by the operator
  router     \* router -> its view, and the history that the invariants compare it with

vars == <<store, copy, history, server, written, router>>

Max(i, j) == IF i > j THEN i ELSE j

Entry(born, st) == [born |-> born, st |-> st]

Empty ==
  [up |-> FALSE, era |-> 0, rev |-> 0, version |-> 0, use |-> 0, born |-> 0,
   left |-> {}, vanished |-> {}, vanishedEra |-> 0, held |-> 0, owed |-> 0, seen |-> 0, latest |-> 0]

First == [era |-> 1, rev |-> 1, version |-> 1, entry |-> Entry(1, "ready")]

Init ==
  /\ store = First
  /\ copy = First
  /\ history = {First}
  /\ server = Entry(1, "ready")
  /\ written = 1
  /\ router = [r \in Routers |-> Empty]

Put(version, entry) ==
  /\ store.rev < RevisionMax
  /\ store' = [store EXCEPT !.rev = store.rev + 1, !.version = version, !.entry = entry]
  /\ history' = history \cup {store'}

\* The operator also rewrites a version that a restore has lost.
OperatorWrites ==
  /\ \/ written < VersionMax /\ written' = written + 1
     \/ store.version < written /\ written' = written
  /\ Put(written', store.entry)
  /\ UNCHANGED <<copy, server, router>>

ServerAnnounces ==
  /\ server.st = "ready"
  /\ server' = Entry(server.born, "draining")
  /\ Put(store.version, server')
  /\ UNCHANGED <<copy, written, router>>

ServerVanishes ==
  /\ server.st # "gone"
  /\ server' = Entry(server.born, "gone")
  /\ UNCHANGED <<store, copy, history, written, router>>

ServerStarts ==
  /\ server.st = "gone"
  /\ server.born < BornMax
  /\ server' = Entry(server.born + 1, "ready")
  /\ Put(store.version, server')
  /\ UNCHANGED <<copy, written, router>>

ServerWritesAgain ==
  /\ server.st # "gone"
  /\ store.entry # server
  /\ Put(store.version, server)
  /\ UNCHANGED <<copy, server, written, router>>

EntryLapses ==
  /\ server.st = "gone"
  /\ store.entry.st # "none"
  /\ Put(store.version, Entry(store.entry.born, "none"))
  /\ UNCHANGED <<copy, server, written, router>>

TakeCopy ==
  /\ copy # store
  /\ copy' = store
  /\ UNCHANGED <<store, history, server, written, router>>

Restore ==
  /\ store.era < EraMax
  /\ store' = [copy EXCEPT !.era = store.era + 1]
  /\ history' = history \cup {store'}
  /\ UNCHANGED <<copy, server, written, router>>

Later(known, h) ==
  IF CompareEras
  THEN h.era > known.era \/ (h.era = known.era /\ h.rev >= known.rev)
  ELSE h.rev >= known.rev

\* Applies an entry to a router's view. The first read after a start has no earlier state to compare with.
TakeEntry(known, h) ==
  LET e == h.entry
      restored == known.era > 0 /\ h.era > known.era
      earlier == CompareStarts /\ e.born < known.born
      suspect == HoldVanished /\ e.born \in known.vanished /\ known.vanishedEra < h.era
  IN
  IF earlier THEN [known EXCEPT !.era = h.era, !.rev = h.rev]
  ELSE IF e.st = "draining" THEN
    [known EXCEPT !.era = h.era, !.rev = h.rev, !.use = 0, !.held = 0, !.born = e.born,
       !.left = known.left \cup {e.born}]
  ELSE IF e.st = "none" THEN
    [known EXCEPT !.era = h.era, !.rev = h.rev, !.use = 0, !.held = 0, !.born = e.born,
       !.vanished = IF known.born > 0 THEN known.vanished \cup {e.born} ELSE known.vanished,
       !.vanishedEra = h.era]
  ELSE IF KeepDepartures /\ e.born \in known.left THEN
    [known EXCEPT !.era = h.era, !.rev = h.rev, !.use = 0, !.born = e.born]
  ELSE IF suspect THEN
    [known EXCEPT !.era = h.era, !.rev = h.rev, !.use = 0, !.held = e.born, !.born = e.born]
  ELSE
    [known EXCEPT !.era = h.era, !.rev = h.rev, !.use = e.born, !.born = e.born,
       !.vanished = IF restored THEN known.vanished ELSE known.vanished \ {e.born}]

\* Any state that the store has ever returned may arrive now, since responses may be delayed.
Read(r, h) ==
  /\ router[r].up
  /\ Later(router[r], h)
  /\ LET known == TakeEntry(router[r], h)
         version == IF CompareVersions THEN Max(known.version, h.version) ELSE h.version
     IN router' = [router EXCEPT ![r] =
          [known EXCEPT !.version = version, !.owed = Max(known.owed, version),
             !.seen = Max(known.seen, h.era), !.latest = Max(known.latest, h.entry.born)]]
  /\ UNCHANGED <<store, copy, history, server, written>>

\* An entry that persists longer than a dead server's entry would proves that its server is alive.
Prove(r) ==
  /\ router[r].up
  /\ router[r].held > 0
  /\ server = Entry(router[r].held, "ready")
  /\ router' = [router EXCEPT ![r] =
       [router[r] EXCEPT !.use = router[r].held, !.vanished = router[r].vanished \ {router[r].held},
          !.held = 0]]
  /\ UNCHANGED <<store, copy, history, server, written>>

Crash(r) ==
  /\ router[r].up
  /\ router' = [router EXCEPT ![r] = Empty]
  /\ UNCHANGED <<store, copy, history, server, written>>

\* A starting router reads the store's current state and merges the rest from a running peer.
Start(r) ==
  LET peers == {p \in Routers : router[p].up}
      began == TakeEntry([Empty EXCEPT !.up = TRUE], store)
      own == [began EXCEPT !.version = store.version, !.owed = store.version]
      told(p) ==
        LET left == own.left \cup router[p].left
            vanished == own.vanished \cup router[p].vanished
            held == own.use \in vanished /\ router[p].vanishedEra < store.era
            version == Max(own.version, router[p].version)
        IN [own EXCEPT !.left = left, !.vanished = vanished, !.vanishedEra = router[p].vanishedEra,
              !.use = IF own.use \in left \/ held THEN 0 ELSE own.use,
              !.held = IF held /\ own.use \notin left THEN own.use ELSE 0,
              !.version = version, !.owed = version]
      owing(p, known) ==
        [known EXCEPT !.left = known.left \cup router[p].left,
           !.owed = Max(known.owed, router[p].owed)]
  IN
  /\ ~router[r].up
  /\ IF peers = {} THEN router' = [router EXCEPT ![r] = own]
     ELSE \E p \in peers : router' = [router EXCEPT ![r] =
            owing(p, IF AskPeers THEN told(p) ELSE own)]
  /\ UNCHANGED <<store, copy, history, server, written>>

Next ==
  \/ OperatorWrites \/ ServerAnnounces \/ ServerVanishes \/ ServerStarts \/ ServerWritesAgain
  \/ EntryLapses \/ TakeCopy \/ Restore
  \/ \E r \in Routers : Prove(r) \/ Crash(r) \/ Start(r) \/ \E h \in history : Read(r, h)

Spec == Init /\ [][Next]_vars

\* A replica whose departure was acknowledged receives no requests.
LeaversGetNoWork == \A r \in Routers : router[r].use \notin router[r].left

\* A replica whose entry expired before a restore receives requests only if it is alive.
VanishedGetNoWork == \A r \in Routers : router[r].use \notin router[r].vanished

\* An earlier start of a replica receives no requests once a later start has been observed.
StartsGoUp == \A r \in Routers : router[r].use = 0 \/ router[r].use >= router[r].latest

\* No desired state is replaced by an earlier one, so a revoked key stays revoked.
VersionsGoUp == \A r \in Routers : router[r].up => router[r].version >= router[r].owed

\* No router returns to the history of an earlier era once it has observed a later one.
ErasGoUp == \A r \in Routers : router[r].era >= router[r].seen
===============================================================================
