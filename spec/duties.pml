/* Duties that one gateway at a time has for the whole site: calls to the platform's operations under the
 * fence of one claim, among them the report of each window of usage.
 *
 * What stands for what:
 *   the claim's key, its lease and the key of the first claim     gateway::authority_claim
 *   keep: the lease and its clock                                 gateway::lease, authority::lease
 *   look, create: the claim as it is read and made                gateway::authority, authority::claim
 *   MAY_CALL, check: what is asked before each call               gateway::authority, gateway::duty_calls
 *   decide, learn: what is reported, as it stands in the store    gateway::usage::reporter, usage::report
 *   send, take_call: the call, and the platform's side of it      gateway::duties, gateway::worker_orders,
 *                                                                 the adapter's duties
 *
 * Two or three gateways compete. Any of them may stand still between any two steps and go on (frozen, or
 * slow), may take no step of the store for any time (cut from it) and may be killed and start anew with
 * nothing kept. A step that reads the copy of the store may be left out for any time, so that what
 * was read before is old. A write and a call may be carried out at once with or without an answer, or at
 * any later moment, or never.
 *
 * Time is modelled by what it orders only. A lease lapses at any moment, and the holder's clock never
 * counts it for longer (WRONG_CLOCK: it counts it for any time). A call of a gateway counts as recent
 * for one lease; the pause of a later holder is as long, so that it ends only when every call that was
 * made before the claim is no longer recent.
 *
 * The platform compares fences, and calls may be late for any time. With UNCHECKED it does not, and no
 * call is late for longer than the pause.
 *
 * WINDOWS: 0 for calls without content, as orders of workers are; otherwise windows of usage.
 * NO_<RULE> drops a rule, and spec/check demands a counterexample for each.
 */

#ifndef GATEWAYS
#define GATEWAYS 2
#endif
#ifndef CLAIMS
#define CLAIMS 3        /* claims that are ever made */
#endif
#ifndef LEASES
#define LEASES 3        /* leases that are ever granted */
#endif
#ifndef WINDOWS
#define WINDOWS 2
#endif
#ifndef LATE_CALLS
#define LATE_CALLS 1    /* calls on their way at once */
#endif
#ifndef LATE_WRITES
#define LATE_WRITES 1   /* decisions on their way at once */
#endif
#if WINDOWS > 0
#define LAST_WINDOW WINDOWS
#else
#define LAST_WINDOW 1
#endif
#ifndef LATE_CLAIMS
#define LATE_CLAIMS 1   /* claims on their way at once */
#endif
#if WINDOWS == 0 && !defined(WRONG_CLOCK)
#define TURNS           /* whether pauses, and who calls in turns, are modelled */
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
byte decided[LAST_WINDOW + 1];  /* 0: nothing is decided of the window */
byte closed = 0;
byte closed_revision = 0;

/* Writes without an answer: claims, by their lease, and decisions. */
byte late_claim = 0, late_claim_owner = 0;
/* epoch, window, counts, closed, revision of the closed key that is expected */
chan late_writes = [LATE_WRITES] of { byte, byte, byte, byte, byte };

/* The operations. */
byte seen = 0;              /* the highest fence */
/* holder, fence, window, counts */
chan late_calls = [LATE_CALLS] of { byte, byte, byte, byte };

/* What only the properties read. */
byte newest = 0;            /* the highest fence that took effect */
byte told[LAST_WINDOW + 1];     /* the counts that were told of each window */
byte recent[GATEWAYS + 1];  /* 1: called within a lease; 2: and another called after it */
bool before[(GATEWAYS + 1) * (GATEWAYS + 1)];   /* calls that must be over before a holder's pause is */
byte asked[GATEWAYS + 1];   /* the fence of a call that is about to be sent */

#define BEFORE(holder, other) before[(holder) * (GATEWAYS + 1) + (other)]

/* Holders do not call in turns (one, another, the first again) within a lease.
 * Where this is not modelled no holder waits, which allows more than the code does. */
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

/* The platform's side of a call; `refused` is what the answer says. */
inline take_call(holder, fence, window, counts, refused) {
    if
#if !defined(NO_FENCE_COMPARE) && !defined(UNCHECKED)
    :: fence < seen -> refused = true
#endif
    :: else ->
        refused = false;
        seen = fence;
        /* No call of a lower fence takes effect after one of a higher. */
        assert(fence >= newest);
        newest = fence;
        /* No window is told twice with different counts. */
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
/* Each decision writes the closed key, so that it also says that nothing was decided since. */
#if defined(NO_CLOSED_COMPARE) || defined(NO_DECIDE_ONCE)
#define IS_EXPECTED(expected) true
#else
#define IS_EXPECTED(expected) (closed_revision == (expected))
#endif

/* A decision as the store carries it out. */
inline write_decision(fence, window, counts, closes, expected, succeeded) {
    if
    :: CLAIM_STANDS(fence) && IS_UNDECIDED(window) && IS_EXPECTED(expected) ->
        succeeded = true;
        /* Nothing is decided by a gateway that has lost the claim. */
        assert(key_epoch == fence);
        decided[window] = counts;
        closed = closes;
#ifdef NO_DECIDE_ONCE
        closed_revision = 1;    /* nothing compares it */
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

/* What happens without any gateway: leases lapse, calls cease to be recent, what was late is done. */
active proctype World() {
    byte number, other, over;
    byte holder, fence, window, counts, closes, expected;
    bool outcome;
end:
    do
    /* A lease lapses, and its key goes with it. */
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
    /* A lease's time has passed since a gateway's last call. */
    :: atomic {
        select (number : 1 .. GATEWAYS);
        recent[number] = 0;
        for (other : 1 .. GATEWAYS) { BEFORE(other, number) = false };
        number = 0; other = 0 }
#endif
    /* A claim without an answer is carried out. */
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
    /* A call without an answer is lost, or carried out. */
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

/* The pause of a later holder is over. */
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
/* Where fences are not compared, no call may be late for longer than the pause. */
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

/* What the copy of the store says; knowledge of closed windows does not go back. */
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

/* Windows before this one are over that are not decided, were taken, or are past due by this gateway's
 * time; nothing says when that is, so that each may be. */
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

/* The call is about to be sent. Where calls may be late at will, who calls in turns is told by this moment. */
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

/* A write without an answer counts for nothing before it is read back. */
inline take_for_done() {
#ifdef NO_READ_BACK
    known[window] = said
#else
    skip
#endif
}

proctype Gateway(byte me) {
    byte lease = 0;             /* as its keeper has it */
    byte epoch = 0;             /* 0: the claim is not held */
    byte claim_lease = 0;       /* the lease that the held claim hangs on */
    bool is_first = false;
    byte refused = 0;           /* the fence with which a call was refused */
    byte told_refused = 0;      /* the same, for the property only */
    byte known[LAST_WINDOW + 1];    /* decisions that it knows */
    bool done[LAST_WINDOW + 1];     /* reports that were taken */
    byte known_closed = 0, known_revision = 0;
    byte sending = NOTHING;     /* the window of a call that was checked */
    byte counts = 0;            /* what it says */
    byte window, said, closes, other, over;
    bool outcome;
end:
    do
    /* keep: a lease is asked for while the key is free, or while the claim is held. */
    :: atomic { lease == 0 && leases < LEASES && (epoch != 0 || key_lease == 0) ->
        leases++; lease = leases; live[lease] = true }
    :: atomic { lease != 0 && !live[lease] -> lease = 0 }

    /* look: the claim is held if the key carries this gateway's lease. */
    :: atomic { epoch == 0 && lease != 0 && IS_OWN_KEY ->
        epoch = key_epoch; claim_lease = lease;
        is_first = (first_epoch == key_epoch);
#ifdef TURNS
        for (other : 1 .. GATEWAYS) { BEFORE(me, other) = (recent[other] != 0) };
        other = 0;
#endif
        /* The copy that shows the claim shows all that was written before it. */
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

    /* decide: what others counted meanwhile may be in the sum or not. The claim may be lost by now. */
    :: atomic { epoch != 0 && sending == NOTHING ->
        select (window : 1 .. LAST_WINDOW);
        if
        :: known[window] == 0 && window > known_closed ->
            /* What the window after the last of interest says does not matter. */
            if
            :: window < WINDOWS || WINDOWS == 1 -> said = 2
            :: true -> said = 1
            fi;
            closed_before();
            if
#ifdef NO_DECIDE_FIRST
            :: known[window] = said
#else
            /* With an answer, without one, and later. */
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

    /* check: right before a call. */
    :: atomic { sending == NOTHING && MAY_CALL ->
#ifndef WRONG_CLOCK
        /* Who may call still has the claim. */
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

    /* send: the gateway may have stood still since the check. */
    :: atomic { sending != NOTHING ->
        /* A fence that was refused is not used again. */
        assert(asked[me] != told_refused);
        if
        /* With an answer, without one, and later. */
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

    /* The process is killed, and another starts. */
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
