/*
 * The lease of the duties: three nodes, a store whose writes may be answered, done without an answer, or done late, and
 * a platform that refuses a fencing number lower than one it has seen.
 *
 * A node may act on what it last knew at any time, as a suspended host does. No two nodes ever act with one number, and
 * no act is accepted after one with a higher number.
 */
// mutation: MUTATE_GUESSED_NUMBER
// mutation: MUTATE_KEPT_NUMBER
// mutation: MUTATE_UNCHECKED
#define NODES 3
#define NOBODY NODES
#define LAST_VERSION 3

byte version = 0;
byte rowVersion = 0;
byte rowHolder = NOBODY;
byte rowFence = 0;

byte actedBy[LAST_VERSION + 2];
byte highest = 0;

typedef Write {
    bool open;
    byte expected;
    byte fence;
};

Write late[NODES];

/* Writes the row if it has the expected version. */
inline apply(node, wanted, given, done) {
    done = false;
    if
    :: rowVersion == wanted && version < LAST_VERSION ->
        version++;
        rowVersion = version;
        rowHolder = node;
        rowFence = given;
        done = true
    :: else
    fi
}

inline learn(node, known, fence) {
    known = rowVersion;
    if
    :: rowHolder == node && rowFence == 0 -> fence = rowVersion
    :: rowHolder == node && rowFence != 0 -> fence = rowFence
    :: else -> fence = 0
    fi
}

inline act(node, fence) {
#ifndef MUTATE_UNCHECKED
    if
    :: fence >= highest ->
#endif
        assert(fence >= highest);
        assert(actedBy[fence] == NOBODY || actedBy[fence] == node);
        actedBy[fence] = node;
        highest = fence
#ifndef MUTATE_UNCHECKED
    :: else
    fi
#endif
}

proctype Node(byte me) {
    byte known = 0;
    byte fence = 0;
    byte number = 0;
    bool done = false;

    do
    :: atomic { learn(me, known, fence) }
    :: atomic { fence != 0 -> act(me, fence) }
    :: atomic {
        /* Takes the lease over, or renews it. */
        number = fence;
#ifdef MUTATE_KEPT_NUMBER
        if
        :: fence == 0 -> number = rowFence
        :: else
        fi;
#endif
        if
        :: apply(me, known, number, done);
            if
            :: done ->
                known = version;
                if
                :: number == 0 -> fence = version
                :: else -> fence = number
                fi
            :: else -> learn(me, known, fence)
            fi
        :: apply(me, known, number, done);
            /* The answer is lost. */
#ifdef MUTATE_GUESSED_NUMBER
            if
            :: fence == 0 -> fence = known + 1
            :: else
            fi
#else
            skip
#endif
        :: !late[me].open ->
            late[me].open = true;
            late[me].expected = known;
            late[me].fence = number
        fi;
        number = 0;
        done = false
    }
    :: atomic {
        late[me].open ->
        late[me].open = false;
        apply(me, late[me].expected, late[me].fence, done);
        late[me].expected = 0;
        late[me].fence = 0;
        done = false
    }
    :: version == LAST_VERSION -> break
    od
}

init {
    byte i;
    atomic {
        for (i : 0 .. LAST_VERSION + 1) {
            actedBy[i] = NOBODY
        }
        for (i : 0 .. NODES - 1) {
            run Node(i)
        }
    }
}
