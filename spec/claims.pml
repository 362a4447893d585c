/*
 * Model of the claims of non-idempotent requests: section 5 of docs/query-path.md, as implemented in libs/claims.
 * Checks that a request runs at most once and that one refused as not run did not run.
 *
 * Two daemons receive the request with the same idempotency key, each up to ATTEMPTS times. A daemon creates the
 * claim with a nonce if it is absent. The reply of the store may be lost although the write took effect; the
 * daemon then reads the claim back.
 */
#define ATTEMPTS 2

mtype = { Absent, Claimed, Done, Unknown };
mtype claim = Absent;
byte claimNonce;

byte runs;       /* number of times that the upstream ran the request */
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
        :: goto lostReply /* the write was lost */
        fi;
        goto submit;
lostReply:
#ifdef LOST_REPLY_MEANS_FREE
        /* Treats a lost reply as "not claimed" and removes the claim for the next attempt. */
        atomic { claim = Absent; goto refused };
#else
        if
        :: atomic { claim == Claimed && claimNonce == nonce -> mine = 1 }
        :: atomic { claim != Claimed || claimNonce != nonce -> goto refused }
        :: goto refused /* the read fails too: refuses as not run; the claim stays */
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
        :: goto unknown     /* the request to the upstream is lost */
        :: goto notRun      /* the upstream rejected the request before running it */
        fi;
done:
        if
        :: atomic { claimNonce == nonce && claim == Claimed -> claim = Done }
        :: skip /* the write of the outcome is lost; the claim stays in state Claimed */
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
        assert(!ran); /* the caller gets the outcome not_run for this attempt */
next:
        atomic { nonce = 0; ran = 0; mine = 0 }
    :: attempts == ATTEMPTS -> break
    od
}

init { atomic { run daemon(); run daemon() } }
