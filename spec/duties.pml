/* Duties that one gateway at a time performs for the whole site: calls to the platform's operations with the
 * fence of one claim, including the report of each usage window.
 *
 * Parts of the model, and the code that implements them:
 *   key of the claim, its lease and the key of the first claim    gateway::authority_claim
 *   keep: the lease and its clock                                 gateway::lease, authority::lease
 *   look, create: reading and creating the claim                  gateway::authority, authority::claim
 *   MAY_CALL, check: the conditions checked before each call      gateway::authority, gateway::duty_calls
 *   decide, learn: the reports as recorded in the store           gateway::usage::reporter, usage::report
 *   send, take_call: the call, and the platform's side of it      gateway::duties, gateway::worker_orders,
 *                                                                 the adapter's duties
 *
 * Two or three gateways compete. Each of them may pause between any two steps and continue (because it is
 * frozen or slow), may execute no step on the store for any time (because it is partitioned from the store),
 * and may be killed and restarted without any of its state. A step that reads the mirror of the store may be
 * omitted for any time, so that the state read earlier is outdated. A write or a call may be executed at once,
 * with or without an answer, or at any later moment, or never.
 *
 * Time is modelled only by the sequence of events that it implies. A lease may lapse at any moment, and the
 * holder's clock never considers it valid for longer (with WRONG_CLOCK, it considers the lease valid for any
 * time). A call of a gateway counts as recent for the duration of one lease. The pause of a later holder has
 * the same duration, so that it ends only when no call that was made before the claim is recent any more.
 *
 * The platform compares fences, and calls may be delayed for any time. With UNCHECKED, the platform does not
 * compare fences, and no call is delayed for longer than the pause.
 *
 * WINDOWS: 0 models calls without content, such as orders to workers; otherwise the number of usage windows.
 * NO_<RULE> disables a rule, and spec/check requires a counterexample for each.
 */

#ifndef GATEWAYS
#define GATEWAYS 2
#endif
#ifndef CLAIMS
#define CLAIMS 3        /* total number of claims */
#endif
#ifndef LEASES
#define LEASES 3        /* total number of leases */
#endif
#ifndef WINDOWS
#define WINDOWS 2
#endif
#ifndef LATE_CALLS
#define LATE_CALLS 1    /* maximum number of calls in transit */
#endif
#ifndef LATE_WRITES
#define LATE_WRITES 1   /* maximum number of decisions in transit */
#endif
#if WINDOWS > 0
#define LAST_WINDOW WINDOWS
#else
#define LAST_WINDOW 1
#endif
#ifndef LATE_CLAIMS
#define LATE_CLAIMS 1   /* maximum number of claims in transit */
#endif
#if WINDOWS == 0 && !defined(WRONG_CLOCK)
#define TURNS           /* whether pauses and the alternation of calls between holders are modelled */
#endif
#define NOTHING 255

/* The store. */
bool live[LEASES + 1];
byte leases = 0;
byte claims = 0;
byte key_lease = 0;         /* 0: the key is absent */
byte key_owner = 0;
byte key_epoch = 0;
byte first_epoch = 0;       /* 0: the key of the first claim is absent */
byte decided[LAST_WINDOW + 1];  /* 0: the counts of the window are not decided */
byte closed = 0;
byte closed_revision = 0;

/* Writes that are not executed yet and will not be answered: claims, by their lease, and decisions. */
byte late_claim = 0, late_claim_owner = 0;
/* epoch, window, counts, closed, expected revision of the closed key */
chan late_writes = [LATE_WRITES] of { byte, byte, byte, byte, byte };

/* The platform's operations. */
byte seen = 0;              /* highest fence received */
/* holder, fence, window, counts */
chan late_calls = [LATE_CALLS] of { byte, byte, byte, byte };

/* Variables for the assertions and for the end of a holder's pause; `asked` is also the fence that is sent. */
byte newest = 0;            /* highest fence of a call that took effect */
byte told[LAST_WINDOW + 1];     /* counts reported for each window */
byte recent[GATEWAYS + 1];  /* 1: has called within the duration of a lease; 2: and another holder has called since */
bool before[(GATEWAYS + 1) * (GATEWAYS + 1)];   /* holders whose recent calls must have ended before a holder's pause ends */
byte asked[GATEWAYS + 1];   /* fence of the call that is about to be sent, or 0 */

#define BEFORE(holder, other) before[(holder) * (GATEWAYS + 1) + (other)]

/* Holders do not alternate in calling (one, another, the first again) within the duration of a lease.
 * If this is not modelled, no holder waits, which permits more behaviours than the code has. */
inline note_call(caller) {
#ifdef TURNS
    assert(recent[caller] != 2);
    recent[caller] = 1;
    for (other : 1 .. GATEWAYS) {
        BEFORE(other, caller) = false;
        if
        :: other != caller && recent[other] == 1 -> recent[other] = 2
        :: else -> skip
        fi
    };
    other = 0
#else
    skip
#endif
}

/* The platform's side of a call. `refused` is the answer. */
inline take_call(holder, fence, window, counts, refused) {
    if
#if !defined(NO_FENCE_COMPARE) && !defined(UNCHECKED)
    :: fence < seen -> refused = true
#endif
    :: else ->
        refused = false;
        seen = fence;
        /* No call with a lower fence takes effect after a call with a higher one. */
        assert(fence >= newest);
        newest = fence;
        /* No window is reported twice with different counts. */
        assert(window == 0 || told[window] == 0 || told[window] == counts);
        if
        :: window > 0 -> told[window] = counts
        :: else -> skip
        fi;
#ifdef UNCHECKED
        note_call(holder)
#endif
    fi
}

inline make_claim(claim_lease, owner) {
    if
#ifdef NO_CLAIM_COMPARE
    :: live[claim_lease] && claims < CLAIMS ->
#else
    :: live[claim_lease] && claims < CLAIMS && key_lease == 0 ->
#endif
        claims++; key_lease = claim_lease; key_owner = owner; key_epoch = claims;
        if
        :: first_epoch == 0 -> first_epoch = claims
        :: else -> skip
        fi
    :: else -> skip
    fi
}

#ifdef NO_CLAIM_IN_DECISION
#define CLAIM_STANDS(fence) true
#else
#define CLAIM_STANDS(fence) (key_epoch == (fence))
#endif
#ifdef NO_DECIDE_ONCE
#define IS_UNDECIDED(window) true
#else
#define IS_UNDECIDED(window) (decided[window] == 0)
#endif
/* Each decision writes the closed key, so that its expected revision also shows that nothing has been decided since
 * it was read. */
#if defined(NO_CLOSED_COMPARE) || defined(NO_DECIDE_ONCE)
#define IS_EXPECTED(expected) true
#else
#define IS_EXPECTED(expected) (closed_revision == (expected))
#endif

/* The store's execution of a decision. */
inline write_decision(fence, window, counts, closes, expected, succeeded) {
    if
    :: CLAIM_STANDS(fence) && IS_UNDECIDED(window) && IS_EXPECTED(expected) ->
        succeeded = true;
        /* A gateway that has lost the claim decides nothing. */
        assert(key_epoch == fence);
        decided[window] = counts;
        closed = closes;
#ifdef NO_DECIDE_ONCE
        closed_revision = 1;    /* constant, because no rule compares it */
#else
        closed_revision++;
#endif
        for (over : 1 .. LAST_WINDOW) {
            if
            :: over <= closes -> decided[over] = 0
            :: else -> skip
            fi
        };
        over = 0
    :: else -> succeeded = false
    fi
}

/* Events that no gateway causes: leases lapse, calls cease to be recent, and delayed writes and calls are executed. */
active proctype World() {
    byte number, other, over;
    byte holder, fence, window, counts, closes, expected;
    bool outcome;
end:
    do
    /* A lease lapses, and the key attached to it is deleted. */
    :: atomic {
        select (number : 1 .. LEASES);
        if
        :: live[number] ->
            live[number] = false;
            if
            :: key_lease == number -> key_lease = 0; key_owner = 0; key_epoch = 0;
#ifdef NO_FIRST_KEPT
                first_epoch = 0
#endif
            :: else -> skip
            fi
        :: else -> skip
        fi;
        number = 0 }
#ifdef TURNS
    /* The duration of a lease has passed since a gateway's last call. */
    :: atomic {
        select (number : 1 .. GATEWAYS);
        recent[number] = 0;
        for (other : 1 .. GATEWAYS) { BEFORE(other, number) = false };
        number = 0; other = 0 }
#endif
    /* A delayed claim without an answer is executed. */
    :: atomic { late_claim != 0 ->
        make_claim(late_claim, late_claim_owner);
        late_claim = 0; late_claim_owner = 0 }
#if WINDOWS > 0
    :: atomic { late_writes?fence, window, counts, closes, expected ->
        write_decision(fence, window, counts, closes, expected, outcome);
        fence = 0; window = 0; counts = 0; closes = 0; expected = 0; outcome = false }
#if LATE_WRITES > 1
    :: atomic { len(late_writes) > 1 -> late_writes?fence, window, counts, closes, expected;
        late_writes!fence, window, counts, closes, expected;
        fence = 0; window = 0; counts = 0; closes = 0; expected = 0 }
#endif
#endif
    /* A delayed call without an answer is lost or executed. */
    :: atomic { late_calls?holder, fence, window, counts ->
        holder = 0; fence = 0; window = 0; counts = 0 }
    :: atomic { late_calls?holder, fence, window, counts ->
        take_call(holder, fence, window, counts, outcome);
        holder = 0; fence = 0; window = 0; counts = 0; outcome = false }
#if LATE_CALLS > 1
    :: atomic { len(late_calls) > 1 -> late_calls?holder, fence, window, counts;
        late_calls!holder, fence, window, counts;
        holder = 0; fence = 0; window = 0; counts = 0 }
#endif
    od
}

/* Whether the pause of a later holder has ended. */
#if GATEWAYS > 2
#define NONE_BEFORE(holder) (!BEFORE(holder, 1) && !BEFORE(holder, 2) && !BEFORE(holder, 3))
#define IS_OLDER(gateway, fence) (asked[gateway] != 0 && asked[gateway] < (fence))
#define NONE_ASKED(fence) (!IS_OLDER(1, fence) && !IS_OLDER(2, fence) && !IS_OLDER(3, fence))
#else
#define NONE_BEFORE(holder) (!BEFORE(holder, 1) && !BEFORE(holder, 2))
#define IS_OLDER(gateway, fence) (asked[gateway] != 0 && asked[gateway] < (fence))
#define NONE_ASKED(fence) (!IS_OLDER(1, fence) && !IS_OLDER(2, fence))
#endif
#if defined(NO_TAKEOVER_PAUSE) || !defined(TURNS)
#define SETTLED true
#elif defined(UNCHECKED)
/* If fences are not compared, no call may be delayed for longer than the pause. */
#define SETTLED (is_first || (NONE_BEFORE(me) && NONE_ASKED(epoch) && empty(late_calls)))
#else
#define SETTLED (is_first || NONE_BEFORE(me))
#endif
#if defined(NO_SELF_FENCE) || defined(WRONG_CLOCK)
#define CLOCK_VALID true
#else
#define CLOCK_VALID (live[lease])
#endif
#ifdef NO_LEASE_OF_CLAIM
#define IS_LEASE_OF_CLAIM true
#else
#define IS_LEASE_OF_CLAIM (lease == claim_lease)
#endif
#ifdef NO_STOP_AFTER_REFUSAL
#define NOT_REFUSED true
#else
#define NOT_REFUSED (refused != epoch)
#endif
#define MAY_CALL (epoch != 0 && lease != 0 && IS_LEASE_OF_CLAIM && CLOCK_VALID && SETTLED && NOT_REFUSED)
#ifdef NO_LEASE_IN_VALUE
#define IS_OWN_KEY (key_lease != 0 && key_owner == me)
#else
#define IS_OWN_KEY (key_lease != 0 && key_lease == lease)
#endif

/* Reads the mirror of the store. The last known closed window never decreases. */
inline learn() {
    known_closed = (closed > known_closed -> closed : known_closed);
    known_revision = closed_revision;
    for (over : 1 .. LAST_WINDOW) {
        if
        :: known[over] == 0 -> known[over] = decided[over]
        :: else -> skip
        fi
    };
    over = 0;
    forget_closed()
}

inline forget_closed() {
    for (over : 1 .. LAST_WINDOW) {
        if
        :: over <= known_closed -> known[over] = 0; done[over] = false
        :: else -> skip
        fi
    };
    over = 0
}

/* Closes earlier windows that are not decided, whose reports were accepted, or that are overdue by this gateway's
 * clock. The model does not limit when a window is overdue, so that any of them may be closed. */
inline closed_before() {
    closes = window - 1;
    over = 1;
    do
    :: over <= closes ->
        if
        :: true -> over++
        :: over > known_closed && known[over] != 0 && !done[over] -> closes = over - 1
        fi
    :: else -> break
    od;
    over = 0;
    closes = (closes > known_closed -> closes : known_closed)
}

/* The call is about to be sent. If calls may be delayed for any time, the alternation of holders is checked at this
 * moment. */
inline act() {
#ifndef UNCHECKED
    note_call(me);
#endif
    asked[me] = epoch
}

inline give_up() {
    epoch = 0; claim_lease = 0; is_first = false;
#ifdef TURNS
    for (other : 1 .. GATEWAYS) { BEFORE(me, other) = false };
    other = 0
#endif
}

/* A write without an answer is not considered executed before it is read back. */
inline take_for_done() {
#ifdef NO_READ_BACK
    known[window] = said
#else
    skip
#endif
}

proctype Gateway(byte me) {
    byte lease = 0;             /* as the lease holder knows it; 0: none */
    byte epoch = 0;             /* 0: the claim is not held */
    byte claim_lease = 0;       /* lease to which the held claim is attached */
    bool is_first = false;
    byte refused = 0;           /* fence with which a call was refused */
    byte told_refused = 0;      /* the same, for the assertion only */
    byte known[LAST_WINDOW + 1];    /* decisions known to the gateway */
    bool done[LAST_WINDOW + 1];     /* reports that the platform has accepted */
    byte known_closed = 0, known_revision = 0;
    byte sending = NOTHING;     /* window of the checked call, or NOTHING */
    byte counts = 0;            /* counts in that call */
    byte window, said, closes, other, over;
    bool outcome;
end:
    do
    /* keep: requests a lease while the key is absent or the claim is held. */
    :: atomic { lease == 0 && leases < LEASES && (epoch != 0 || key_lease == 0) ->
        leases++; lease = leases; live[lease] = true }
    :: atomic { lease != 0 && !live[lease] -> lease = 0 }

    /* look: the claim is held if the key contains this gateway's lease. */
    :: atomic { epoch == 0 && lease != 0 && IS_OWN_KEY ->
        epoch = key_epoch; claim_lease = lease;
        is_first = (first_epoch == key_epoch);
#ifdef TURNS
        for (other : 1 .. GATEWAYS) { BEFORE(me, other) = (recent[other] != 0) };
        other = 0;
#endif
        /* A mirror that contains the claim also contains everything that was written before it. */
        learn() }
    :: atomic { epoch != 0 && !IS_OWN_KEY -> give_up() }

    /* create */
    :: atomic { epoch == 0 && lease != 0 && claims < CLAIMS ->
        if
        :: true -> make_claim(lease, me)
        :: late_claim == 0 && LATE_CLAIMS > 0 -> late_claim = lease; late_claim_owner = me
        fi }

#if WINDOWS > 0
    :: atomic { epoch != 0 && known_revision != closed_revision -> learn() }

    /* decide: the sum may or may not include what other gateways have counted meanwhile. The claim may have been
     * lost. */
    :: atomic { epoch != 0 && sending == NOTHING ->
        select (window : 1 .. LAST_WINDOW);
        if
        :: known[window] == 0 && window > known_closed ->
            /* The counts of the last window do not matter unless it is the only one. */
            if
            :: window < WINDOWS || WINDOWS == 1 -> said = 2
            :: true -> said = 1
            fi;
            closed_before();
            if
#ifdef NO_DECIDE_FIRST
            :: known[window] = said
#else
            /* Executed with an answer, without an answer, or later. */
            :: true -> write_decision(epoch, window, said, closes, known_revision, outcome);
                if
                :: outcome -> known[window] = said; known_closed = closes; known_revision = closed_revision;
                    forget_closed()
                :: else -> skip
                fi
            :: true -> write_decision(epoch, window, said, closes, known_revision, outcome); take_for_done()
            :: nfull(late_writes) -> late_writes!epoch, window, said, closes, known_revision; take_for_done()
#endif
            fi
        :: else -> skip
        fi;
        window = 0; said = 0; closes = 0; outcome = false }
#endif

    /* check: immediately before a call. */
    :: atomic { sending == NOTHING && MAY_CALL ->
#ifndef WRONG_CLOCK
        /* A gateway that may call still holds the claim. */
        assert(key_epoch == epoch);
#endif
#if WINDOWS > 0
        select (window : 1 .. LAST_WINDOW);
        if
        :: known[window] != 0 && !done[window] && window > known_closed ->
            sending = window; counts = known[window]; act()
        :: else -> skip
        fi;
        window = 0
#else
        sending = 0; act()
#endif
        }

    /* send: the gateway may have paused since the check. */
    :: atomic { sending != NOTHING ->
        /* A fence that was refused is not used again. */
        assert(asked[me] != told_refused);
        if
        /* Executed with an answer, without an answer, or later. */
        :: true -> take_call(me, asked[me], sending, counts, outcome);
            if
            :: outcome -> refused = asked[me]; told_refused = asked[me]
            :: !outcome && sending > 0 -> done[sending] = true
            :: else -> skip
            fi
        :: true -> take_call(me, asked[me], sending, counts, outcome)
        :: nfull(late_calls) -> late_calls!me, asked[me], sending, counts
        fi;
        sending = NOTHING; asked[me] = 0; counts = 0; outcome = false }

    /* The process is killed and restarted. */
    :: atomic { lease != 0 || epoch != 0 ->
        give_up();
        lease = 0; refused = 0; told_refused = 0; sending = NOTHING; asked[me] = 0; counts = 0;
        for (over : 1 .. LAST_WINDOW) { known[over] = 0; done[over] = false };
        over = 0; known_closed = 0; known_revision = 0 }
    od
}

init {
    atomic {
        run Gateway(1); run Gateway(2);
#if GATEWAYS > 2
        run Gateway(3)
#endif
    }
}
