----------------------------- MODULE MCReleaseLog -----------------------------
(* The bounds of the release log's check: four submissions of three notes.       *)
EXTENDS ReleaseLog

MCNoteOf == [s1 |-> "n1", s2 |-> "n1", s3 |-> "n2"]
MCRouterOf == [s1 |-> "a", s2 |-> "b", s3 |-> "b"]
MCSubmissions == DOMAIN MCNoteOf
MCRouters == {"a", "b"}
MCConflicts == {<<"n1", "n2">>}
===============================================================================
