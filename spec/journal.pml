/* The at-most-once record of one key, on a quorum of three replicas with changing views.
 *
 * A view is a number and three members; a member is a node in one incarnation. The store decides,
 * by compare-and-swap, which view is active and which one is being prepared. Nodes keep nothing: a
 * node that restarts is a new incarnation, hence no member of any earlier view, and it votes only
 * once a later view names it and it has been given the records of the view before.
 *
 * Two nodes each hold one try of the same key. Messages are lost in either direction, and a
 * request for a vote may arrive late and again. Either node may pause anywhere (interleaving) or
 * die (it stops taking steps).
 *
 * Each safety rule is a macro-guarded line. Defining NO_<RULE> drops it, and spec/check demands a
 * counterexample for each.
 */

#ifndef VIEWS
#define VIEWS 2         /* views in all, the first included */
#endif
#ifndef RESTARTS
#define RESTARTS 1      /* restarts of replicas */
#endif
#ifndef PASSES
#define PASSES 1        /* tries of a change of view, abandoned ones included */
#endif
#ifndef LATE
#define LATE 0          /* late requests for a vote, for each try */
#endif
#define NODES 4         /* three members and one more */
#define CLOSED 3        /* a record taken over from an earlier view: nobody may be granted it */

mtype = { vote_none, vote_granted, vote_taken };

/* Replicas. */
byte incarnation[NODES];
byte voting[NODES];     /* the view a replica votes in; 0 when in none */
byte sealed[NODES];     /* the highest view that sealed it */
byte record[NODES];     /* 0, a try, or CLOSED */

/* The store: for each view the members' incarnations, 0 for a node that is no member. */
typedef Members { byte member[NODES] };
Members view[VIEWS + 1];
byte active_view = 1;
byte prepared_view = 1; /* active_view, or the one after it */

/* What only the properties read. */
byte running = 0;       /* tries that were permitted to run */
byte undecided = 2;     /* once every try is decided, nothing more can go wrong: the search ends */

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

/* One try of the key, at one node. A fresh key was made up by the node itself, so that no other
 * try of it can exist; here both tries carry the caller's key. */
proctype Try(byte me) {
    byte v = 0, granted = 0, n = 0, late_votes = 0;
    mtype answer = vote_none;

    v = active_view;
    do
    :: atomic { n < NODES && view[v].member[n] == 0 -> n++ }
    :: atomic { n < NODES && view[v].member[n] != 0 ->
        answer = vote_none;
        if
        :: true -> vote(v, n, me, answer)           /* asked and answered */
        :: true -> vote(v, n, me, answer); answer = vote_none   /* the answer is lost */
        :: skip                             /* the question is lost */
        fi;
        if
        :: answer == vote_granted -> granted++
        :: else -> skip
        fi;
        answer = vote_none;
        n++ }
#ifdef NO_VIEW_CHECK
    /* Votes of several views are added up. */
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
            /* Two tries of one key never run; none runs after the caller was told otherwise. */
            running++;
            assert(running <= 1);
            undecided-- };
#ifdef NO_RELEASE_RULE
            goto release
#endif
        :: atomic { true ->
            /* Granted, but no back end took it: it will not run. The quorum shows that no other try
             * had permission. */
            assert(running == 0);
            undecided--;
            granted = 0 };
            goto release
        fi
    :: else ->
#ifdef NO_VERDICT_RULE
        /* Told `not-run` without a quorum, on a key that another try may have run under. */
        atomic { assert(running == 0); undecided-- }
#else
        /* Without a quorum the verdict on a caller's key is may-have-run. */
        undecided--
#endif
    fi;
    if
    :: granted >= QUORUM -> goto late
    :: else -> skip
    fi;

release:
    /* The try will never run: its records are taken back, each message perhaps lost. */
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
    /* Requests for a vote that were delayed arrive now, or again. */
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

/* Changes the view. It may be abandoned halfway; the next pass carries on with what the store
 * holds. */
active proctype Reconfigure() {
    byte n = 0, count = 0, left_out = 0, merged = 0, next = 0, installed = 0, passes = 0;

again:
    atomic { n = 0; count = 0; merged = 0; next = 0; installed = 0; passes++ };
end:
    if
    /* Prepare a view: every node but one, in its present incarnation. */
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

    /* Seal a majority of the active view, and take over what it has recorded. */
    do
    :: atomic { undecided > 0 && n < NODES ->
        /* Any of those still to come; the ones passed over did not answer. */
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
    /* Give it to the members of the next view, which vote from then on. */
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

    /* Make it the active view, once a majority of it votes. */
    atomic { undecided > 0;
        if
        :: active_view < next -> active_view = next
        :: else -> skip
        fi };
    goto again
}

/* Replicas restart and forget. */
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
