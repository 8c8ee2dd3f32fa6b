/* Authority over one pool, and orders to one of its engines.
 *
 * Two nodes compete for the key of the pool in the store. Leases lapse, answers to writes are lost, nodes
 * restart without any state, and every process may pause at any point (interleaving). Orders are sent over
 * a link that delays, reorders, loses and duplicates them. The engine may crash at any point, including
 * during a change. It restarts as a new incarnation with an empty fence register. Time is not modelled: a
 * lease may lapse at any moment, and a node may pause for any time between the check of its lease and the
 * sending of the order.
 *
 * Each safety rule is guarded by a macro. Defining NO_<RULE> disables the rule, and spec/check requires a
 * counterexample for each.
 */

#ifndef CLAIMS
#define CLAIMS 2        /* claims (epochs) that the store grants */
#endif
#ifndef CRASHES
#define CRASHES 1       /* crashes of the engine */
#endif
#ifndef LINK
#define LINK 2          /* maximum number of orders in transit */
#endif
#define LEASES (CLAIMS + 1)
#define SEQUENCES 8     /* bound on the sequence numbers of an epoch; also the factor of the epoch in the fence register */

mtype = { none, drain, change, resume };

/* The store: leases, and one key that is deleted when its lease lapses. */
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
byte last_fence = 0;    /* identifier of the last order that took effect */

/* Variables that only the assertions read. */
byte in_force = 0;      /* number of changes in progress */
byte newest_epoch = 0;  /* highest epoch that any incarnation of the engine has received */
byte newest_effect = 0; /* highest identifier of an order that took effect */

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

/* Control::order: refuses stale orders, ignores repeated ones, and executes one order at a time. */
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
            /* An order from a process that has lost its authority has no effect. */
            assert(o_epoch >= newest_epoch);
            /* Each order takes effect at most once, and orders take effect in the sequence of their identifiers. */
            assert(IDENTIFIER(o_epoch, o_sequence) > newest_effect);
            newest_effect = IDENTIFIER(o_epoch, o_sequence);
            learn_epoch(o_epoch);
            if
            :: o_action == change ->
                /* An engine never executes two conflicting orders. */
                assert(in_force == 0);
                /* A planned change interrupts no request. */
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
    /* An order is overtaken by the next one. */
    :: atomic { len(link) > 1 -> link?epoch, sequence, meant_for, action, target;
        link!epoch, sequence, meant_for, action, target;
        epoch = 0; sequence = 0; meant_for = 0; target = 0; action = none }
    /* An order arrives and may be delivered again. */
    :: atomic { link?epoch, sequence, meant_for, action, target ->
        take_order(epoch, sequence, meant_for, action, target);
        epoch = 0; sequence = 0; meant_for = 0; target = 0; action = none }
    :: atomic { link?<epoch, sequence, meant_for, action, target> ->
        take_order(epoch, sequence, meant_for, action, target);
        epoch = 0; sequence = 0; meant_for = 0; target = 0; action = none }
    /* An order is lost. */
    :: atomic { link?epoch, sequence, meant_for, action, target ->
        epoch = 0; sequence = 0; meant_for = 0; target = 0; action = none }
    /* A change ends. */
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
    /* The engine crashes, possibly during a change. */
    :: atomic { crashes < CRASHES ->
        crashes++; incarnation++;
        fence = 0; draining = false; role = 0; requests = 0;
        running = none; running_fence = 0; running_target = 0; last_fence = 0;
        newest_effect = 0; in_force = 0 }
    od
}

#define LAPSE(lease) atomic { live[lease] -> live[lease] = false; if :: key_lease == lease -> key_lease = 0; key_owner = 0; key_epoch = 0 :: else -> skip fi }

/* A lease lapses, and the key attached to it is deleted. */
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
    byte sealed = 0;            /* engine incarnation that was sealed */
    byte seen = 0;              /* engine incarnation that was read */
    mtype action = none, sent = none;
    byte sent_to = 0;

restart:
    /* No state survives a restart. */
    atomic { lease = 0; epoch = 0; sequence = 0; sealed = 0; seen = 0;
        action = none; sent = none; sent_to = 0 };
    /* A grant whose answer is lost leaves an unused lease, which lapses. */
    if
    :: atomic { leases < LEASES -> leases++; lease = leases; live[lease] = true }
    :: goto end_idle
    fi;

claim:
    /* Creates the key, which must be absent. No step reads the answer, because it may be lost. */
    atomic {
        if
        :: live[lease] && revision < CLAIMS && CLAIM_ALLOWED -> revision++; key_lease = lease; key_owner = me; key_epoch = revision
        :: else -> skip
        fi };

    /* Reads the key back. The claim is held if the key contains this node's lease. */
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
    /* Seals the engine before any decision is based on its state. */
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
                /* The goal is reached: from now on, no older order may take effect. */
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
            /* The lease is checked after the state is read and before the order is sent. The node considers
             * its lease lapsed before the store does, so that the lease is never valid for longer at the
             * node. */
#ifndef NO_SELF_FENCE
            if
            :: atomic { live[lease] -> assert(key_lease == lease) }
            :: atomic { !live[lease] -> goto restart }
            fi;
#endif
            /* The node may pause here for any time. A repeated order keeps its identifier. */
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
