/*
 * Claims of non-idempotent work: section 5 of docs/query-path.md, as libs/claims implements it.
 *
 * Two daemons are asked to run the request with the same idempotency key. The claim is created if absent
 * with a nonce; a reply of the store may be lost after the write took effect, and is resolved by reading
 * back. What the upstream runs is counted. A caller may ask each daemon up to ATTEMPTS times.
 */
#define ATTEMPTS 2

mtype = { Absent, Claimed, Done, Unknown };
mtype claim = Absent;
byte claimNonce;

byte runs;       /* times that the upstream ran the request */
byte nextNonce;

proctype daemon()
{
    byte nonce;
    byte attempts;
    bit ran;
    bit mine;
end:
    do
    :: attempts < ATTEMPTS ->
        atomic { attempts++; nextNonce++; nonce = nextNonce; ran = 0; mine = 0 };
        /* Create if absent. */
        if
        :: atomic { claim == Absent -> claim = Claimed; claimNonce = nonce };
            if
            :: mine = 1
            :: goto lostReply
            fi
        :: atomic { claim != Absent -> mine = 0 };
            if
            :: goto refused
            :: goto lostReply
            fi
        :: goto lostReply /* the write did not arrive */
        fi;
        goto submit;
lostReply:
#ifdef LOST_REPLY_MEANS_FREE
        /* The lost reply is taken for "not held" and the claim removed for the next attempt. */
        atomic { claim = Absent; goto refused };
#else
        if
        :: atomic { claim == Claimed && claimNonce == nonce -> mine = 1 }
        :: atomic { claim != Claimed || claimNonce != nonce -> goto refused }
        :: goto refused /* the read fails too: not run, and the claim stays */
        fi;
#endif
submit:
        assert(mine);
        if
        :: atomic { runs++; ran = 1; assert(runs <= 1) };
            if
            :: goto done
            :: goto unknown /* the reply of the upstream is lost */
            fi
        :: goto unknown     /* lost on the way to the upstream */
        :: goto notRun      /* the upstream refused before running it */
        fi;
done:
        if
        :: atomic { claimNonce == nonce && claim == Claimed -> claim = Done }
        :: skip /* the write of the outcome is lost; the claim stays */
        fi;
        goto next;
unknown:
#ifdef RELEASE_AFTER_UNKNOWN
        atomic { claimNonce == nonce && claim == Claimed -> claim = Absent };
#else
        if
        :: atomic { claimNonce == nonce && claim == Claimed -> claim = Unknown }
        :: skip
        fi;
#endif
        goto next;
notRun:
        assert(!ran);
        if
        :: atomic { claimNonce == nonce && claim == Claimed -> claim = Absent }
        :: skip
        fi;
        goto next;
refused:
        assert(!ran); /* the caller is told "not run" for this attempt */
next:
        atomic { nonce = 0; ran = 0; mine = 0 }
    :: attempts == ATTEMPTS -> break
    od
}

init { atomic { run daemon(); run daemon() } }
