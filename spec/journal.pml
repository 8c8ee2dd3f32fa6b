/* The at-most-once record of one key, on a quorum of three replicas with changing views.
 *
 * A view consists of a number and three members. A member is a node in one incarnation. The store determines,
 * by compare-and-swap, which view is active and which one is being prepared. Nodes have no persistent
 * storage: a node that restarts has a new incarnation and is therefore not a member of any earlier view. It
 * votes only after a later view contains it and it has received the records of the preceding view.
 *
 * Two nodes each make one attempt with the same key. Messages are lost in either direction, and a request for
 * a vote may arrive late and more than once. Either node may pause at any point (interleaving) or crash (it
 * makes no further steps).
 *
 * Each safety rule is guarded by a macro. Defining NO_<RULE> disables the rule, and spec/check requires a
 * counterexample for each.
 */

#ifndef VIEWS
#define VIEWS 2         /* number of views, including the first */
#endif
#ifndef RESTARTS
#define RESTARTS 1      /* number of restarts of replicas */
#endif
#ifndef PASSES
#define PASSES 1        /* number of attempts at a view change, including abandoned ones */
#endif
#ifndef LATE
#define LATE 0          /* number of delayed requests for a vote, per attempt */
#endif
#define NODES 4         /* three members and one more */
#define CLOSED 3        /* a record from an earlier view: the key is granted to no attempt */

mtype = { vote_none, vote_granted, vote_taken };

/* Replicas. */
byte incarnation[NODES];
byte voting[NODES];     /* view in which a replica votes, or 0 */
byte sealed[NODES];     /* highest view for which a replica was sealed */
byte record[NODES];     /* 0, an attempt, or CLOSED */

/* The store: the incarnations of the members of each view, 0 for a node that is not a member. */
typedef Members { byte member[NODES] };
Members view[VIEWS + 1];
byte active_view = 1;
byte prepared_view = 1; /* active_view, or the next view */

/* Variables that only the assertions and the condition that ends the search read. */
byte running = 0;       /* number of attempts that were permitted to run */
byte undecided = 2;     /* undecided attempts; at 0 no assertion can fail any more, and the search ends */

#define IS_MEMBER(v, n) (view[v].member[n] != 0 && view[v].member[n] == incarnation[n])

#ifdef NO_RESTART_RULE
#define MAY_VOTE(v, n) (view[v].member[n] != 0 && (voting[n] == v || voting[n] == 0))
#define MAY_SEAL(v, n) (view[v].member[n] != 0)
#else
#define MAY_VOTE(v, n) (IS_MEMBER(v, n) && voting[n] == v)
#define MAY_SEAL(v, n) (IS_MEMBER(v, n) && voting[n] >= v)
#endif

#ifdef NO_SEAL
#define IS_SEALED(v, n) false
#else
#define IS_SEALED(v, n) (sealed[n] > v)
#endif

#ifdef NO_RECORD_CHECK
#define IS_FREE(n, try) true
#else
#define IS_FREE(n, try) (record[n] == 0 || record[n] == try)
#endif

#ifdef NO_QUORUM
#define QUORUM 1
#else
#define QUORUM 2
#endif

#ifdef NO_MAJORITY_SYNC
#define SEALED_QUORUM 1
#else
#define SEALED_QUORUM 2
#endif

/* A replica answers a request for its vote in view v. */
inline vote(v, n, try, answer) {
    if
    :: MAY_VOTE(v, n) && !IS_SEALED(v, n) && IS_FREE(n, try) -> record[n] = try; answer = vote_granted
    :: MAY_VOTE(v, n) && !IS_SEALED(v, n) && !IS_FREE(n, try) -> answer = vote_taken
    :: else -> answer = vote_none
    fi
}

/* One attempt with the key, at one node. If a node has generated the key itself, no other attempt with that
 * key can exist. Here, both attempts use the caller's key. */
proctype Try(byte me) {
    byte v = 0, granted = 0, n = 0, late_votes = 0;
    mtype answer = vote_none;

    v = active_view;
    do
    :: atomic { n < NODES && view[v].member[n] == 0 -> n++ }
    :: atomic { n < NODES && view[v].member[n] != 0 ->
        answer = vote_none;
        if
        :: true -> vote(v, n, me, answer)           /* the replica answers */
        :: true -> vote(v, n, me, answer); answer = vote_none   /* the answer is lost */
        :: skip                             /* the request is lost */
        fi;
        if
        :: answer == vote_granted -> granted++
        :: else -> skip
        fi;
        answer = vote_none;
        n++ }
#ifdef NO_VIEW_CHECK
    /* Counts the votes of several views together. */
    :: atomic { n > 0 && v < active_view -> v = active_view; n = 0 }
#else
    :: atomic { n > 0 && v < active_view && granted < QUORUM -> v = active_view; n = 0; granted = 0 }
#endif
    :: granted >= QUORUM -> break
    :: atomic { n == NODES && granted < QUORUM -> break }
    od;

    if
    :: granted >= QUORUM ->
        if
        :: atomic { true ->
            /* At most one attempt with a key runs, and none runs after `not-run` was reported to a caller. */
            running++;
            assert(running <= 1);
            undecided-- };
#ifdef NO_RELEASE_RULE
            goto release
#endif
        :: atomic { true ->
            /* The key was granted, but no back end accepted the request, so that it will not run. The quorum
             * shows that no other attempt was permitted to run. */
            assert(running == 0);
            undecided--;
            granted = 0 };
            goto release
        fi
    :: else ->
#ifdef NO_VERDICT_RULE
        /* Reports `not-run` without a quorum, although another attempt with the key may have run. */
        atomic { assert(running == 0); undecided-- }
#else
        /* Without a quorum, `may-have-run` is reported for a caller's key. */
        undecided--
#endif
    fi;
    if
    :: granted >= QUORUM -> goto late
    :: else -> skip
    fi;

release:
    /* The attempt will never run: its records are released. Each of the messages may be lost. */
    n = 0;
    do
    :: atomic { undecided > 0 && n < NODES ->
        do
        :: n < NODES && record[n] != me -> n++
        :: else -> break
        od;
        if
        :: n < NODES -> record[n] = 0; n++
        :: n < NODES -> n++                 /* the message is lost */
        :: else -> skip
        fi }
    :: atomic { undecided == 0 || n == NODES -> break }
    od;

late:
    /* Delayed requests for a vote arrive now, possibly for the second time. */
    atomic { granted = 0; n = 0 };
end:
    do
    :: atomic { undecided > 0 && late_votes < LATE -> late_votes++;
        n = 0;
        do
        :: n < NODES - 1 -> n++
        :: break
        od;
        vote(v, n, me, answer); answer = vote_none; n = 0 }
    od
}

/* Changes the view. A view change may be abandoned at any step. The next pass continues from the state in the
 * store. */
active proctype Reconfigure() {
    byte n = 0, count = 0, left_out = 0, merged = 0, next = 0, installed = 0, passes = 0;

again:
    atomic { n = 0; count = 0; merged = 0; next = 0; installed = 0; passes++ };
end:
    if
    /* Prepares a view: all nodes but one, in their current incarnations. */
    :: atomic { undecided > 0 && passes <= PASSES && prepared_view == active_view && active_view < VIEWS ->
        if
        :: left_out = 0
        :: left_out = 1
        :: left_out = 2
        :: left_out = 3
        fi;
        prepared_view++; next = prepared_view;
        n = 0;
        do
        :: n < NODES ->
            if
            :: n != left_out -> view[prepared_view].member[n] = incarnation[n]
            :: else -> skip
            fi;
            n++
        :: n == NODES -> break
        od;
        n = 0; left_out = 0 }
    :: atomic { undecided > 0 && passes <= PASSES && prepared_view > active_view -> next = prepared_view }
    fi;

    /* Seals a majority of the active view and collects its records. */
    do
    :: atomic { undecided > 0 && n < NODES ->
        /* Continues with any later member. The members that are skipped did not answer. */
        do
        :: n < NODES && MAY_SEAL(next - 1, n) -> break
        :: n < NODES -> n++
        :: n == NODES -> break
        od;
        if
        :: n < NODES ->
            if
            :: sealed[n] < next -> sealed[n] = next
            :: else -> skip
            fi;
            if
            :: record[n] != 0 -> merged = CLOSED
            :: else -> skip
            fi;
            count++; n++
        :: n == NODES -> skip
        fi;
        if
        :: count == SEALED_QUORUM -> n = 0; count = 0; break
        :: count < SEALED_QUORUM && n == NODES -> goto again
        :: count < SEALED_QUORUM && n < NODES -> skip
        fi }
    od;

#ifdef NO_SYNC
    merged = 0;
#endif
    /* Sends the records to the members of the next view, which vote from then on. */
    do
    :: atomic { undecided > 0 && n < NODES ->
        do
        :: n < NODES && IS_MEMBER(next, n) -> break
        :: n < NODES -> n++
        :: n == NODES -> break
        od;
        if
        :: n < NODES ->
            if
            :: voting[n] < next ->
                voting[n] = next;
                if
                :: merged != 0 -> record[n] = CLOSED
                :: else -> record[n] = 0
                fi
            :: else -> skip
            fi;
            installed++; n++
        :: n == NODES -> skip
        fi }
    :: atomic { undecided > 0 && installed >= 2 -> merged = 0; n = 0; installed = 0; break }
    :: atomic { undecided > 0 && n == NODES && installed < 2 -> goto again }
    od;

    /* Makes it the active view once a majority of its members votes. */
    atomic { undecided > 0;
        if
        :: active_view < next -> active_view = next
        :: else -> skip
        fi };
    goto again
}

/* Replicas restart and lose their records. */
active proctype Restart() {
    byte n = 0, restarts = 0;
end:
    do
    :: atomic { undecided > 0 && restarts < RESTARTS ->
        n = 0;
        do
        :: n < NODES - 1 -> n++
        :: break
        od;
        restarts++;
        incarnation[n]++; voting[n] = 0; sealed[n] = 0; record[n] = 0;
        n = 0 }
    od
}

init {
    atomic {
        incarnation[0] = 1; incarnation[1] = 1; incarnation[2] = 1; incarnation[3] = 1;
        view[1].member[0] = 1; view[1].member[1] = 1; view[1].member[2] = 1;
        voting[0] = 1; voting[1] = 1; voting[2] = 1;
        run Try(1); run Try(2)
    }
}
