/*
 * Model of the acceptance of configuration changes: section 5 of docs/query-path.md. Checks that a daemon never
 * reverts to an older version and that an accepted version identifies one document.
 *
 * Two operators change the configuration through two daemons by compare-and-swap against the version that they
 * read; if the reply is lost, the daemon reads the document back. Daemons receive documents from the store and
 * from each other in any order, including delayed messages. The store may be restored once from a backup with an
 * older version; a daemon then writes the newer version back. A document is identified by version and writer.
 */
#define DAEMONS 3
#define VERSIONS 4

byte storeVersion = 1;
byte storeWriter;
byte revision = 1;          /* revision of the key at the store; incremented by each write, also by a restore */
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

/* A change is made through a daemon that has the newest accepted version; see spec/README.md. */
#ifdef CHANGE_BEFORE_BROUGHT_FORWARD
#define SEEN_IS_NEWEST true
#else
#define SEEN_IS_NEWEST (seen >= accepted)
#endif

inline adopt(daemon, version, writer)
{
    if
    :: NEWER(version, daemon) ->
        /* The configuration in force never reverts. */
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
    /* Reads the store, by a watch or a get; the response may be outdated when it is adopted. */
    :: atomic { version == 0 -> version = storeVersion; writer = storeWriter }
    /* Receives the document of a peer; it may be outdated when it is adopted. */
    :: atomic { version == 0 ->
        if
        :: from = (me + 1) % DAEMONS
        :: from = (me + 2) % DAEMONS
        fi;
        version = inForceVersion[from]; writer = inForceWriter[from]; from = 0 }
    :: atomic { version != 0 -> adopt(me, version, writer); version = 0; writer = 0 }
    /* The store has an older version: writes the newer one back and never adopts the older one. */
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

/* An operator changes the configuration through daemon `me`. */
proctype change(byte me)
{
    byte seen, seenRevision;
    atomic { seen = inForceVersion[me]; seenRevision = (storeVersion == seen -> revision : 0) };
    if
    :: atomic { seenRevision != 0 && SEEN_IS_NEWEST && revision == seenRevision && seen < VERSIONS ->
        storeVersion = seen + 1; storeWriter = me + 1; revision++ };
        if
        :: skip /* the reply arrives */
        :: skip /* the reply is lost; the daemon reads the document back */
        fi;
        atomic {
            if
            :: storeVersion == seen + 1 && storeWriter == me + 1 ->
                /* The daemon adopts the version before it reports "accepted". */
                adopt(me, storeVersion, storeWriter);
                assert(acceptedWriter[seen + 1] == 0); /* one document per version */
                acceptedWriter[seen + 1] = me + 1;
                accepted = (seen + 1 > accepted -> seen + 1 : accepted)
            :: else /* overwritten in the meantime: not reported as accepted */
            fi
        }
    :: true /* conflict, or the write was lost: refused */
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
