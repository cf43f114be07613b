/*
 * Models the lease: three nodes, a store, and a platform that rejects a fencing token lower than one it has seen. A
 * write to the store may be applied at once, with its response received or lost, or it may be applied late.
 *
 * A node may execute a command at any time with the token that it last knew to be its own, as happens after its host
 * was suspended. The assertions state that no two nodes ever execute commands with the same token, and that no command
 * is accepted after one with a higher token.
 */
// mutation: MUTATE_GUESSED_TOKEN
// mutation: MUTATE_REUSED_TOKEN
// mutation: MUTATE_UNCHECKED_TOKEN
#define NODES 3
#define NO_NODE NODES
#define MAX_VERSION 3

byte storeVersion = 0;
byte rowVersion = 0;
byte rowHolder = NO_NODE;
/* 0 in a row whose write acquired the lease: the token is then the version of the row. */
byte storedToken = 0;

/* The node that executed a command with each token. */
byte tokenUser[MAX_VERSION + 2];
byte highestToken = 0;

typedef DelayedWrite {
    bool pending;
    byte expected;
    byte newToken;
};

DelayedWrite delayed[NODES];

/* Writes the row if the stored row has the expected version. */
inline applyWrite(node, expectedVersion, tokenToStore, applied) {
    applied = false;
    if
    :: rowVersion == expectedVersion && storeVersion < MAX_VERSION ->
        storeVersion++;
        rowVersion = storeVersion;
        rowHolder = node;
        storedToken = tokenToStore;
        applied = true
    :: else
    fi
}

/* Reads the row; the token is 0 if the node does not hold the lease. */
inline readRow(node, knownVersion, token) {
    knownVersion = rowVersion;
    if
    :: rowHolder == node && storedToken == 0 -> token = rowVersion
    :: rowHolder == node && storedToken != 0 -> token = storedToken
    :: else -> token = 0
    fi
}

/* Executes a command, which the platform accepts only if it has seen no higher token. */
inline execute(node, token) {
#ifndef MUTATE_UNCHECKED_TOKEN
    if
    :: token >= highestToken ->
#endif
        assert(token >= highestToken);
        assert(tokenUser[token] == NO_NODE || tokenUser[token] == node);
        tokenUser[token] = node;
        highestToken = token
#ifndef MUTATE_UNCHECKED_TOKEN
    :: else
    fi
#endif
}

proctype Node(byte self) {
    byte knownVersion = 0;
    byte token = 0;
    byte tokenToWrite = 0;
    bool applied = false;

    do
    :: atomic { readRow(self, knownVersion, token) }
    :: atomic { token != 0 -> execute(self, token) }
    :: atomic {
        /* Acquires, takes over or renews the lease. */
        tokenToWrite = token;
#ifdef MUTATE_REUSED_TOKEN
        if
        :: token == 0 -> tokenToWrite = storedToken
        :: else
        fi;
#endif
        if
        :: applyWrite(self, knownVersion, tokenToWrite, applied);
            if
            :: applied ->
                knownVersion = storeVersion;
                if
                :: tokenToWrite == 0 -> token = storeVersion
                :: else -> token = tokenToWrite
                fi
            :: else -> readRow(self, knownVersion, token)
            fi
        :: applyWrite(self, knownVersion, tokenToWrite, applied);
            /* No response arrives, so the node does not know whether the write was applied. */
#ifdef MUTATE_GUESSED_TOKEN
            if
            :: token == 0 -> token = knownVersion + 1
            :: else
            fi
#else
            skip
#endif
        :: !delayed[self].pending ->
            delayed[self].pending = true;
            delayed[self].expected = knownVersion;
            delayed[self].newToken = tokenToWrite
        fi;
        tokenToWrite = 0;
        applied = false
    }
    :: atomic {
        /* The store applies a delayed write. */
        delayed[self].pending ->
        delayed[self].pending = false;
        applyWrite(self, delayed[self].expected, delayed[self].newToken, applied);
        delayed[self].expected = 0;
        delayed[self].newToken = 0;
        applied = false
    }
    :: storeVersion == MAX_VERSION -> break
    od
}

init {
    byte i;
    atomic {
        for (i : 0 .. MAX_VERSION + 1) {
            tokenUser[i] = NO_NODE
        }
        for (i : 0 .. NODES - 1) {
            run Node(i)
        }
    }
}
