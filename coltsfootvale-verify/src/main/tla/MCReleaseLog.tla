----------------------------- MODULE MCReleaseLog -----------------------------
(* Model values for checking ReleaseLog: three submissions of two notes.         *)
EXTENDS ReleaseLog

MCNoteOf == [s1 |-> "n1", s2 |-> "n1", s3 |-> "n2"]
MCRouterOf == [s1 |-> "a", s2 |-> "b", s3 |-> "b"]
MCSubmissions == DOMAIN MCNoteOf
MCRouters == {"a", "b"}
MCConflicts == {<<"n1", "n2">>}
===============================================================================
