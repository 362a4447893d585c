/*
 * Acceptance of a configuration: section 5 of docs/query-path.md.
 *
 * Two operators change the configuration through two daemons by compare-and-swap against the version that
 * they saw; a reply may be lost and is resolved by reading back. Daemons learn documents from the store and
 * from each other in any order, old messages included. The store may return to an older version once, from a
 * backup; the fleet then brings it forward. A document is identified by version and writer.
 */
#define DAEMONS 3
#define VERSIONS 4

byte storeVersion = 1;
byte storeWriter;
byte revision = 1;          /* revision of the key at the store; rises with each write, also in a restore */
byte inForceVersion[DAEMONS];
byte inForceWriter[DAEMONS];
byte accepted = 1;          /* highest version reported as accepted to an operator */
byte acceptedWriter[VERSIONS + 1];
bit restored;

#ifdef ADOPT_ANY_VERSION
#define NEWER(version, daemon) true
#else
#define NEWER(version, daemon) ((version) > inForceVersion[daemon])
#endif

/* A change goes through a daemon that knows the newest accepted version; see spec/README.md. */
#ifdef CHANGE_BEFORE_BROUGHT_FORWARD
#define KNOWS_NEWEST true
#else
#define KNOWS_NEWEST (seen >= accepted)
#endif

inline adopt(daemon, version, writer)
{
    if
    :: NEWER(version, daemon) ->
        /* What is in force never reverts. */
        assert(version >= inForceVersion[daemon]);
        inForceVersion[daemon] = version;
        inForceWriter[daemon] = writer
    :: else
    fi
}

proctype daemon(byte me)
{
    byte version, writer, expected, from;
end:
    do
    /* A watch or a read of the store; the answer may be old when it arrives. */
    :: atomic { version == 0 -> version = storeVersion; writer = storeWriter }
    /* A peer's document; the message may be old when it arrives. */
    :: atomic { version == 0 ->
        if
        :: from = (me + 1) % DAEMONS
        :: from = (me + 2) % DAEMONS
        fi;
        version = inForceVersion[from]; writer = inForceWriter[from]; from = 0 }
    :: atomic { version != 0 -> adopt(me, version, writer); version = 0; writer = 0 }
    /* The store returned an older version: bring it forward, never follow it. */
    :: d_step { storeVersion < inForceVersion[me] ->
#ifdef FOLLOW_THE_STORE
        assert(storeVersion >= inForceVersion[me]);
        inForceVersion[me] = storeVersion; inForceWriter[me] = storeWriter
#else
        storeVersion = inForceVersion[me]; storeWriter = inForceWriter[me]; revision++
#endif
        }
    od
}

/* An operator's change through daemon `me`. */
proctype change(byte me)
{
    byte seen, seenRevision;
    atomic { seen = inForceVersion[me]; seenRevision = (storeVersion == seen -> revision : 0) };
    if
    :: atomic { seenRevision != 0 && KNOWS_NEWEST && revision == seenRevision && seen < VERSIONS ->
        storeVersion = seen + 1; storeWriter = me + 1; revision++ };
        if
        :: skip /* answered */
        :: skip /* reply lost, and read back */
        fi;
        atomic {
            if
            :: storeVersion == seen + 1 && storeWriter == me + 1 ->
                /* The daemon adopts it before it reports "accepted". */
                adopt(me, storeVersion, storeWriter);
                assert(acceptedWriter[seen + 1] == 0); /* one document per version */
                acceptedWriter[seen + 1] = me + 1;
                accepted = (seen + 1 > accepted -> seen + 1 : accepted)
            :: else /* overwritten since: not reported as accepted */
            fi
        }
    :: true /* conflict or not written: refused */
    fi
}

proctype restore()
{
    atomic { storeVersion > 1 && !restored ->
        restored = 1; storeVersion = 1; storeWriter = 0; revision++ }
}

init {
    atomic {
        inForceVersion[0] = 1; inForceVersion[1] = 1; inForceVersion[2] = 1;
        run daemon(0); run daemon(1); run daemon(2);
        run change(0); run change(1); run restore()
    }
}
