/*
 * Models a roll-out: a row of stages that two holders write under a condition on its version, two nodes that send calls
 * to the old or to the new version by the row that they know, and a write that may be applied late. The holder can change
 * at any time, also without its knowledge, as happens after its host was suspended.
 *
 * A node that has no call in progress on the old version seals it when it knows the row as committed, and reports that.
 * Either node may condemn the new version. The old back ends stop as soon as the row is complete.
 *
 * The assertions state that no call is in progress on the old version when the roll-out is complete and none follows,
 * that a stage never goes back except by a roll-back, that none follows a final one, and that a node that has condemned
 * the version sends nothing to it unless it has sealed the old one.
 */
// mutation: MUTATE_UNSEALED
// mutation: MUTATE_UNCONDITIONAL
// mutation: MUTATE_BREAKABLE_SEAL
// mutation: MUTATE_SEAL_WITH_CALLS
// mutation: MUTATE_DEAF
#define NODES 2
#define HOLDERS 2
#define MAX_VERSION 4

#define WATCHED 1
#define COMMITTED 2
#define COMPLETE 3
#define ROLLED_BACK 4

byte rowVersion = 1;
byte rowStage = WATCHED;

typedef NodeState {
    byte knownStage;
    bool sealed;
    bool condemned;
    byte oldCalls;
};

NodeState nodes[NODES];

/* A write that the store has not applied yet, of whichever holder. */
bool delayedPending = false;
byte delayedVersion = 0;
byte delayedStage = 0;

inline applyWrite(requiredVersion, newStage) {
    if
#ifdef MUTATE_UNCONDITIONAL
    :: rowVersion < MAX_VERSION ->
#else
    :: rowVersion == requiredVersion && rowVersion < MAX_VERSION ->
#endif
        assert(rowStage != COMPLETE && rowStage != ROLLED_BACK);
        assert(newStage >= rowStage);
        rowVersion++;
        rowStage = newStage;
        assert(rowStage != COMPLETE || (nodes[0].oldCalls == 0 && nodes[1].oldCalls == 0))
    :: else
    fi
}

proctype Node(byte self) {
    do
    :: atomic {
        /* Learns of the row, by any path; what it knows already is never replaced by something older. */
        nodes[self].knownStage < rowStage ->
        nodes[self].knownStage = rowStage;
        if
        :: rowStage != COMMITTED -> nodes[self].sealed = false
        :: else
        fi
    }
    :: atomic {
        /* Seals the old version and reports it; a condemned version's node keeps the old one. */
#ifdef MUTATE_SEAL_WITH_CALLS
        nodes[self].knownStage == COMMITTED && !nodes[self].condemned && !nodes[self].sealed ->
#else
        nodes[self].knownStage == COMMITTED && !nodes[self].condemned && !nodes[self].sealed &&
            nodes[self].oldCalls == 0 ->
#endif
        nodes[self].sealed = true
    }
    :: atomic {
        /* Starts a call to the old version: by share, as its view is stale, or as the new one is condemned. */
#ifdef MUTATE_BREAKABLE_SEAL
        nodes[self].oldCalls == 0 && (!nodes[self].sealed || nodes[self].condemned) &&
#else
        nodes[self].oldCalls == 0 && !nodes[self].sealed &&
#endif
            nodes[self].knownStage != COMPLETE ->
        assert(rowStage != COMPLETE);
        nodes[self].oldCalls = 1
    }
    :: atomic { nodes[self].oldCalls == 1 -> nodes[self].oldCalls = 0 }
    :: atomic {
        /* Sends a call to the new version, where the rules let it. */
        (nodes[self].knownStage == WATCHED || nodes[self].knownStage == COMMITTED) &&
#ifdef MUTATE_DEAF
            true ->
#else
            (!nodes[self].condemned || nodes[self].sealed) ->
#endif
        assert(!nodes[self].condemned || nodes[self].sealed)
    }
    :: atomic {
        /* Condemns the version on its own evidence or on what it hears. */
        !nodes[self].condemned && nodes[self].knownStage < COMPLETE ->
        nodes[self].condemned = true
    }
    :: rowVersion == MAX_VERSION -> break
    od
}

proctype Holder(byte self) {
    byte version = 1;
    byte stage = WATCHED;
    byte next = 0;

    do
    :: atomic { version = rowVersion; stage = rowStage }
    :: atomic {
        /* Decides on the row that it knows, and writes; with the same stage to fence off what an earlier holder sent. */
        stage < COMPLETE ->
        if
        :: true -> next = stage
        /* The holder may not have heard of a node that has condemned the version. */
        :: nodes[0].condemned || nodes[1].condemned -> next = ROLLED_BACK
        :: stage == WATCHED -> next = COMMITTED
#ifdef MUTATE_UNSEALED
        :: stage == COMMITTED && (nodes[0].sealed || nodes[1].sealed) -> next = COMPLETE
#else
        :: stage == COMMITTED && nodes[0].sealed && nodes[1].sealed -> next = COMPLETE
#endif
        fi;
        if
        :: applyWrite(version, next);
            if
            :: true -> version = rowVersion; stage = rowStage
            /* The answer is lost. */
            :: true
            fi
        :: !delayedPending ->
            delayedPending = true;
            delayedVersion = version;
            delayedStage = next
        fi;
        next = 0
    }
    :: atomic {
        delayedPending ->
        delayedPending = false;
        applyWrite(delayedVersion, delayedStage);
        delayedVersion = 0;
        delayedStage = 0
    }
    :: rowVersion == MAX_VERSION -> break
    od
}

init {
    byte i;
    atomic {
        for (i : 0 .. NODES - 1) {
            nodes[i].knownStage = WATCHED
        }
        for (i : 0 .. NODES - 1) {
            run Node(i)
        }
        for (i : 0 .. HOLDERS - 1) {
            run Holder(i)
        }
    }
}
