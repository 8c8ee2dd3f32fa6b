/* Authority over one pool, and orders to one of its engines.
 *
 * Two nodes compete for the pool's key in the store. Leases lapse, answers to writes are lost,
 * nodes restart and keep nothing, and any process may be paused at any point (interleaving). Orders
 * travel over a link that delays, reorders, loses and duplicates. The engine may crash at any
 * point, also halfway through a change; it comes back as a new incarnation with an empty fence
 * register. Time is not modelled: a lease lapses at any moment, and a node's own check of its lease
 * can be followed by a pause of any length before the order leaves.
 *
 * Each safety rule is a macro-guarded line. Defining NO_<RULE> drops it, and spec/check demands a
 * counterexample for each.
 */

#ifndef CLAIMS
#define CLAIMS 2        /* tokens that the store hands out */
#endif
#ifndef CRASHES
#define CRASHES 1       /* crashes of the engine */
#endif
#ifndef LINK
#define LINK 2          /* orders on their way at once */
#endif
#define LEASES (CLAIMS + 1)
#define SEQUENCES 8     /* orders below one token; also the base of the fence register */

mtype = { none, drain, change, resume };

/* The store: leases, and one key that vanishes with its lease. */
bool live[LEASES + 1];
byte leases = 0;
byte revision = 0;
byte key_lease = 0;     /* 0: the key is absent */
byte key_owner = 0;
byte key_epoch = 0;

/* The engine. */
byte incarnation = 1;
byte fence = 0;
bool draining = false;
byte role = 0;
byte requests = 0;
mtype running = none;
byte running_fence = 0;
byte running_target = 0;
byte last_fence = 0;    /* the identifier of the last order carried out */

/* What only the properties read. */
byte in_force = 0;      /* changes being carried out */
byte newest_epoch = 0;  /* the newest token the engine has learnt of, over all incarnations */
byte newest_effect = 0; /* the newest order that took effect */

/* epoch, sequence, incarnation, action, target */
chan link = [LINK] of { byte, byte, byte, mtype, byte };

#ifdef NO_SEQUENCE
#define REGISTER(epoch, sequence) ((epoch) * SEQUENCES)
#else
#define REGISTER(epoch, sequence) ((epoch) * SEQUENCES + (sequence))
#endif
#ifdef NO_ADMISSION_STOP
#define ACCEPTS_WORK true
#else
#define ACCEPTS_WORK (!draining && running == none)
#endif
#ifdef NO_COMPARE
#define CLAIM_ALLOWED true
#else
#define CLAIM_ALLOWED (key_lease == 0)
#endif
#ifdef NO_IDLE_CHECK
#define MUST_WAIT false
#else
#define MUST_WAIT (requests > 0)
#endif
#define IS_REPEAT(identifier) (identifier == running_fence || identifier == last_fence)
#define IDENTIFIER(epoch, sequence) ((epoch) * SEQUENCES + (sequence))

inline raise_fence(value) {
    if
    :: value > fence -> fence = value
    :: else -> skip
    fi
}

inline learn_epoch(epoch_learnt) {
    if
    :: epoch_learnt > newest_epoch -> newest_epoch = epoch_learnt
    :: else -> skip
    fi
}

/* Control::order: refuses what is stale, ignores repeats, holds one order at a time. */
inline take_order(o_epoch, o_sequence, o_incarnation, o_action, o_target) {
    if
#ifndef NO_FENCE
    :: REGISTER(o_epoch, o_sequence) < fence -> skip
#endif
#ifndef NO_INCARNATION
    :: o_incarnation != incarnation -> skip
#endif
    :: else ->
        raise_fence(REGISTER(o_epoch, o_sequence));
        if
#ifndef NO_IDEMPOTENCE
        :: IS_REPEAT(IDENTIFIER(o_epoch, o_sequence)) -> skip
#endif
#ifndef NO_ONE_ORDER
        :: running != none -> skip
#endif
#ifndef NO_IDLE_CHECK
        :: o_action == change && requests > 0 -> skip
#endif
        :: else ->
            /* An order from a process that lost its authority has no effect. */
            assert(o_epoch >= newest_epoch);
            /* Orders take effect once each, in the order in which they were given. */
            assert(IDENTIFIER(o_epoch, o_sequence) > newest_effect);
            newest_effect = IDENTIFIER(o_epoch, o_sequence);
            learn_epoch(o_epoch);
            if
            :: o_action == change ->
                /* An engine never holds two conflicting orders. */
                assert(in_force == 0);
                /* No request is cut by a planned change. */
                assert(requests == 0);
                in_force++;
                running = change;
                running_fence = IDENTIFIER(o_epoch, o_sequence);
                running_target = o_target
            :: o_action == drain ->
                draining = true; last_fence = IDENTIFIER(o_epoch, o_sequence)
            :: o_action == resume ->
                draining = false; last_fence = IDENTIFIER(o_epoch, o_sequence)
            fi
        fi
    fi
}

active proctype Engine() {
    byte epoch, sequence, meant_for, target;
    byte crashes = 0;
    mtype action;
end:
    do
    /* An order is overtaken by the next. */
    :: atomic { len(link) > 1 -> link?epoch, sequence, meant_for, action, target;
        link!epoch, sequence, meant_for, action, target;
        epoch = 0; sequence = 0; meant_for = 0; target = 0; action = none }
    /* An order arrives, and may arrive again. */
    :: atomic { link?epoch, sequence, meant_for, action, target ->
        take_order(epoch, sequence, meant_for, action, target);
        epoch = 0; sequence = 0; meant_for = 0; target = 0; action = none }
    :: atomic { link?<epoch, sequence, meant_for, action, target> ->
        take_order(epoch, sequence, meant_for, action, target);
        epoch = 0; sequence = 0; meant_for = 0; target = 0; action = none }
    /* An order is lost. */
    :: atomic { link?epoch, sequence, meant_for, action, target ->
        epoch = 0; sequence = 0; meant_for = 0; target = 0; action = none }
    /* The change ends. */
    :: atomic { running != none ->
        assert(requests == 0);
        role = running_target;
        last_fence = running_fence;
        running = none; running_fence = 0; running_target = 0;
        in_force-- }
    /* A request begins. */
    :: atomic { requests == 0 && ACCEPTS_WORK -> requests++ }
    /* A request ends. */
    :: atomic { requests > 0 -> requests-- }
    /* The engine crashes, perhaps halfway through a change. */
    :: atomic { crashes < CRASHES ->
        crashes++; incarnation++;
        fence = 0; draining = false; role = 0; requests = 0;
        running = none; running_fence = 0; running_target = 0; last_fence = 0;
        newest_effect = 0; in_force = 0 }
    od
}

#define LAPSE(lease) atomic { live[lease] -> live[lease] = false; if :: key_lease == lease -> key_lease = 0; key_owner = 0; key_epoch = 0 :: else -> skip fi }

/* A lease lapses; the key attached to it goes with it. */
active proctype Lapse() {
end:
    do
    :: LAPSE(1)
    :: LAPSE(2)
    :: LAPSE(3)
#if LEASES > 3
    :: LAPSE(4)
#endif
    od
}

proctype Holder(byte me) {
    byte lease = 0, epoch = 0, sequence = 0;
    byte sealed = 0;            /* the incarnation that was sealed */
    byte seen = 0;              /* the incarnation that was read */
    mtype action = none, sent = none;
    byte sent_to = 0;

restart:
    /* Nothing is kept over a restart. */
    atomic { lease = 0; epoch = 0; sequence = 0; sealed = 0; seen = 0;
        action = none; sent = none; sent_to = 0 };
    /* A grant whose answer is lost leaves an orphan lease, which lapses. */
    if
    :: atomic { leases < LEASES -> leases++; lease = leases; live[lease] = true }
    :: goto end_idle
    fi;

claim:
    /* The claim: the key must be absent. Its answer may be lost; nothing reads it. */
    atomic {
        if
        :: live[lease] && revision < CLAIMS && CLAIM_ALLOWED -> revision++; key_lease = lease; key_owner = me; key_epoch = revision
        :: else -> skip
        fi };

    /* The key is read back: it is ours if it carries our lease. */
    if
#ifdef NO_LEASE_IN_VALUE
    :: atomic { key_lease != 0 && key_owner == me -> epoch = key_epoch }
#else
    :: atomic { key_lease != 0 && key_lease == lease -> epoch = key_epoch }
#endif
    :: atomic { key_lease == 0 && live[lease] && revision < CLAIMS -> goto claim }
    :: atomic { !live[lease] -> goto restart }
    :: goto end_idle
    fi;

seal:
#ifndef NO_SEAL
    /* The engine is sealed before any decision rests on its state. */
    atomic { raise_fence(REGISTER(epoch, 0)); learn_epoch(epoch); sealed = incarnation };
#else
    atomic { sealed = incarnation };
#endif

    do
    :: atomic {
        seen = incarnation;
        if
        :: fence / SEQUENCES > epoch -> goto restart
        :: seen != sealed -> goto seal
#ifndef NO_ONE_ORDER
        :: running != none && fence / SEQUENCES <= epoch && seen == sealed -> action = none
#endif
        :: else ->
            if
            :: role == me && !draining ->
                /* Done: from here on no older order may have an effect. */
                learn_epoch(epoch); goto end_done
            :: role == me && draining -> action = resume
            :: role != me && !draining -> action = drain
            :: role != me && draining && MUST_WAIT -> action = none
            :: role != me && draining && !MUST_WAIT -> action = change
            fi
        fi };
        if
        :: action == none -> skip
        :: else ->
            /* The lease is checked after the state is read and before the order is sent. The node's
             * own clock runs out before the store's, so that it is never valid for longer. */
#ifndef NO_SELF_FENCE
            if
            :: atomic { live[lease] -> assert(key_lease == lease) }
            :: atomic { !live[lease] -> goto restart }
            fi;
#endif
            /* Paused here, perhaps for long. A repeated order keeps its identifier. */
            atomic {
                if
                :: sent == action && sent_to == seen -> skip
                :: else -> sequence++; sent = action; sent_to = seen
                fi;
                assert(sequence < SEQUENCES);
                if
                :: nfull(link) -> link!epoch, sequence, seen, action, me
                :: full(link) -> skip
                fi;
                action = none; seen = 0 }
        fi
    :: goto restart
    od;

end_done:
end_idle:
    atomic { lease = 0; epoch = 0; sequence = 0; sealed = 0; seen = 0;
        action = none; sent = none; sent_to = 0 }
}

init {
    atomic { run Holder(1); run Holder(2) }
}
