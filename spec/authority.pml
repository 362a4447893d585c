/*
 * Model of the authority to send requests to one upstream: section 4 of docs/query-path.md, as implemented in
 * libs/membership. Checks that the requests in flight from all daemons never exceed the limit of the upstream.
 *
 * There are three VMs (0, 1, 2) in one availability zone; a VM that restarts runs its second incarnation. A run
 * is one incarnation of a daemon: run r is on VM r % 3. INITIAL gives the members of view 1, by default VMs 0
 * and 1. The rendezvous order of the upstream is VM 2, VM 0, VM 1.
 *
 * Each action of a daemon is optional in every state, which covers paused daemons (no action), network
 * partitions and store outages (no exchange) and lost replies (a write that its writer learns of later or
 * never). Events between two ticks occur in any order. Messages have no delay of their own: the holder of a
 * lease or promise counts its duration from the request, so that a delay only shortens it.
 *
 * Bounds, set with -D: VIEWS, RESTARTS, STOPS (VMs that disappear), COLD_STARTS, PROMISES
 * and PRUNES (0 or 1: promises are given; departing members are removed from the view).
 * spec/run lists the variants that have to fail.
 */
#ifndef VIEWS
#define VIEWS 3
#endif
#ifndef RESTARTS
#define RESTARTS 0
#endif
#ifndef STOPS
#define STOPS 0
#endif
#ifndef COLD_STARTS
#define COLD_STARTS 0
#endif
#ifndef PROMISES
#define PROMISES 0
#endif
#ifndef PRUNES
#define PRUNES 0
#endif

/* Bit masks: members of view 1, and VMs of the settled view before it. */
#ifndef INITIAL
#define INITIAL 3
#endif
#ifndef INITIAL_SETTLED
#define INITIAL_SETTLED INITIAL
#endif

#define VMS 3
#if RESTARTS
#define RUNS 6
#else
#define RUNS 3
#endif

/* Durations in ticks. */
#ifndef PROMISE
#define PROMISE 1
#endif
#define DEADLINE 1

#define LIMIT 3
#define COLD_LIMIT 1
#ifdef HALF_ROUNDED_UP
#define HALF ((LIMIT + 1) / 2)
#else
#define HALF (LIMIT / 2)
#endif

/* Waits are stored plus one: 1 means that the wait is over, 0 that it has not started. */
#ifdef NO_LEASE_MARGIN
#define LAPSE_WAIT 1
#else
#define LAPSE_WAIT (DEADLINE + 1)
#endif
#ifdef NO_STOP_MARGIN
#define STOP_WAIT 1
#else
#define STOP_WAIT (DEADLINE + 1)
#endif
#ifdef NO_PROMISE_MARGIN
#define PROMISE_KEPT PROMISE
#else
#define PROMISE_KEPT (PROMISE + DEADLINE)
#endif
#ifdef NO_QUIET_START
#define QUIET 0
#else
#define QUIET (PROMISE + DEADLINE)
#endif

#ifdef KEEP_AFTER_MISSED_REMOVAL
#define MISSED_NO_REMOVAL(newer) true
#else
#define MISSED_NO_REMOVAL(newer) (views[newer].lastRemoval <= knownView[me] + 1)
#endif
#ifdef LEASES_BEFORE_SWAP
#define LAPSE_AFTER_ADOPTION(wait) (wait)
/* Only the successor lists the members, which limits the state space of this variant. */
#define LISTS (ALIVE && me == 1)
#else
#define LAPSE_AFTER_ADOPTION(wait) 0
#define LISTS MAINTAINER
#endif
#ifdef NO_SETTLED_ACKNOWLEDGEMENT
#define SETTLED_ACKNOWLEDGED true
#else
#define SETTLED_ACKNOWLEDGED ((views[knownView[me]].settled & (settledListed[me] | BIT(me))) != 0)
#endif
#ifdef IGNORE_REPORTED_IN_FLIGHT
#define COUNT_REPORTED false
#else
#define COUNT_REPORTED true
#endif
#ifdef PROMISES_OF_MEMBERS_ONLY
#define PROMISE_OF_SETTLED(vm) false
#else
#define PROMISE_OF_SETTLED(vm) HAS(knownSettled[me], vm)
#endif
#ifdef NO_READ_AFTER_ACQUIRE
#define READY_AT_ONCE 1
#else
#define READY_AT_ONCE 0
#endif
#ifdef ONE_PROMISE
#define PROMISES_SUFFICE (sum > 0)
#else
#define PROMISES_SUFFICE (covered > 0)
#endif

/* CHANGE2 to CHANGE4 fix the changes of the view, which splits a large state space into several spec/run runs. */
#ifdef CHANGE2
#ifndef CHANGE3
#define CHANGE3 0
#endif
#ifndef CHANGE4
#define CHANGE4 0
#endif
#define CHOOSE_RUN r = (number == 1 -> CHANGE2 : (number == 2 -> CHANGE3 : CHANGE4))
#elif RESTARTS
#define CHOOSE_RUN if :: r = 0 :: r = 1 :: r = 2 :: r = 3 :: r = 4 :: r = 5 fi
#else
#define CHOOSE_RUN if :: r = 0 :: r = 1 :: r = 2 fi
#endif

#define BIT(x) (1 << (x))
#define HAS(mask, x) (((mask) >> (x)) & 1)
#define VM(r) ((r) % VMS)
#define SELF (me + VMS * incarnation[me])
#define NO_HOME 7
#define RANK(vm) ((vm) == 2 -> 2 : ((vm) == 0 -> 1 : 0))
#define HOME_OF(m) (HAS(m, 5) -> 5 : (HAS(m, 2) -> 2 : (HAS(m, 3) -> 3 : (HAS(m, 0) -> 0 : \
    (HAS(m, 4) -> 4 : (HAS(m, 1) -> 1 : NO_HOME))))))

typedef View {
    byte members;   /* bits of runs */
    byte departing; /* bits of runs */
    byte settled;   /* bits of VMs */
    byte lastRemoval;
    byte joined[RUNS]
}

/* State of the store. */
View views[VIEWS + 1];
byte number = 1;
/* 2: valid, while it is renewed; 1: expired at the store in this tick, in which the holder may still send;
   0: expired. The member record exists as long as the lease; it contains `acknowledgement` and the number of
   requests in flight. */
byte lease[VMS];

/* State of the platform and the upstream. */
bit stopped[VMS];
bit cold;
byte restarts, stops, coldStarts;
byte inFlight[RUNS];
byte inFlightTime[RUNS];

/* State of each daemon, lost in a restart. */
bit incarnation[VMS];
byte knownView[VMS];       /* number of view_ */
byte knownSettled[VMS];    /* view_->settled */
bit leaseReady[VMS];
byte acknowledgement[VMS]; /* highest view that the daemon may have acknowledged */
byte quiet[VMS];
bit activated[VMS];
byte since[VMS];
byte earlierHomes[VMS];     /* bits of runs */
byte inherited[VMS];
byte inheritedTime[VMS];
/* From the last listing of the members under the known view. */
byte settledListed[VMS];    /* bits of VMs that acknowledged the known view */
byte inFlightListed[VMS];

typedef PerRun { byte wait[RUNS] }
PerRun lapsedSince[VMS];
PerRun acknowledgedSince[VMS];
PerRun stoppedSince[VMS];
byte settledGoneSince[VMS];

typedef PerView { byte until[VIEWS + 1] }
typedef PerVm { byte until[VMS] }
PerView promisesGiven[VMS];
PerVm promisesReceived[VMS];

hidden byte i, j, sum, share, covered, ok;

#define MEMBERS views[knownView[me]].members
#define DEPARTING views[knownView[me]].departing
#define OTHERS ((MEMBERS | DEPARTING) & ~BIT(SELF))
#define ALIVE (!stopped[me])
#define AT_STORE(vm) (lease[vm] > 1)
#define LEASE_VALID (lease[me] > 0 && leaseReady[me])
/* In this model the home of the upstream maintains the view. */
#define MAINTAINER (ALIVE && knownView[me] > 0 && HOME_OF(MEMBERS) == SELF)
#define VMS_OF(runs) (((runs) | ((runs) >> VMS)) & 7)
#define RECORD_OF(r) (AT_STORE(VM(r)) && incarnation[VM(r)] == (r) / VMS)
#define IN_FLIGHT_OF(vm) (inFlight[(vm) + VMS * incarnation[vm]] + inherited[vm])
#define ACKNOWLEDGED(r) (acknowledgedSince[me].wait[r] > 0)

inline clearListing()
{
    for (i : 0 .. RUNS - 1) {
        lapsedSince[me].wait[i] = LAPSE_AFTER_ADOPTION(lapsedSince[me].wait[i]);
        acknowledgedSince[me].wait[i] = 0
    }
    settledListed[me] = 0; inFlightListed[me] = 0; settledGoneSince[me] = 0
}

#define LISTING_NEEDED (!activated[me] || earlierHomes[me] != 0 || DEPARTING != 0 || views[knownView[me]].settled != VMS_OF(MEMBERS))

/* Clears the data of a listing when it has no effect any more, to reduce the number of states. */
inline clearUnneededListing()
{
    if
    :: !LISTING_NEEDED -> clearListing()
    :: else
    fi
}

/* adopt and deactivateLostUpstreams */
inline adopt(newer, itsSettled)
{
    if
    :: newer > knownView[me] ->
        if
        :: activated[me] && HOME_OF(views[newer].members) == SELF && MISSED_NO_REMOVAL(newer) -> skip
        :: else ->
            activated[me] = 0; earlierHomes[me] = 0; since[me] = 0;
            for (i : 0 .. VMS - 1) {
                promisesReceived[me].until[i] = 0
            }
        fi;
        knownView[me] = newer;
        clearListing()
    :: else
    fi;
    knownSettled[me] = (PROMISES -> itsSettled : 0)
}

inline refreshEarlierHomes()
{
    for (i : 0 .. RUNS - 1) {
        if
        :: HAS(earlierHomes[me], i) ->
            ok = RECORD_OF(i) && acknowledgement[VM(i)] >= since[me];
            if
            :: ok && IN_FLIGHT_OF(VM(i)) > 0 && COUNT_REPORTED ->
                inherited[me] = inherited[me] + IN_FLIGHT_OF(VM(i));
                inheritedTime[me] = DEADLINE
            :: else
            fi;
            if
            :: ok || !HAS(OTHERS, i) || stoppedSince[me].wait[i] == 1 ->
                earlierHomes[me] = earlierHomes[me] & ~BIT(i)
            :: else
            fi
        :: else
        fi
    }
    since[me] = (earlierHomes[me] -> since[me] : 0)
}

/* membersListed and updateRecordTimes */
inline membersListed()
{
    settledListed[me] = 0; inFlightListed[me] = 0;
    for (i : 0 .. RUNS - 1) {
        if
        :: HAS(OTHERS, i) ->
            ok = RECORD_OF(i);
            if
            :: ok ->
                lapsedSince[me].wait[i] = 0;
                if
                :: acknowledgement[VM(i)] >= knownView[me] && acknowledgedSince[me].wait[i] == 0 ->
                    acknowledgedSince[me].wait[i] = (PRUNES -> DEADLINE + 1 : 1)
                :: else
                fi
            :: else ->
                acknowledgedSince[me].wait[i] = 0;
                if
                :: lapsedSince[me].wait[i] == 0 -> lapsedSince[me].wait[i] = LAPSE_WAIT
                :: else
                fi
            fi;
            if
            :: (stopped[VM(i)] || (AT_STORE(VM(i)) && !ok)) && stoppedSince[me].wait[i] == 0 ->
                stoppedSince[me].wait[i] = STOP_WAIT
            :: else
            fi
        :: else
        fi
    }
    for (i : 0 .. VMS - 1) {
        if
        :: AT_STORE(i) ->
            if
            :: acknowledgement[i] >= knownView[me] -> settledListed[me] = settledListed[me] | BIT(i)
            :: else
            fi;
            if
            :: i != me -> inFlightListed[me] = inFlightListed[me] + IN_FLIGHT_OF(i)
            :: else
            fi
        :: else
        fi
    }
    ok = 1;
    for (i : 0 .. VMS - 1) {
        if
        :: HAS(views[knownView[me]].settled, i) && !stopped[i] -> ok = 0
        :: else
        fi
    }
    if
    :: ok && settledGoneSince[me] == 0 -> settledGoneSince[me] = PROMISE + DEADLINE + 1
    :: !ok -> settledGoneSince[me] = 0
    :: else
    fi;
    refreshEarlierHomes()
}

/* barrierMet; the result is in ok. */
inline barrierMet()
{
    ok = acknowledgement[me] >= knownView[me];
    ok = ok && (views[knownView[me]].settled == 0 || SETTLED_ACKNOWLEDGED);
    for (i : 0 .. RUNS - 1) {
        if
        :: HAS(OTHERS, i) && !ACKNOWLEDGED(i) && lapsedSince[me].wait[i] != 1 -> ok = 0
        :: else
        fi
    }
}

inline activate()
{
    activated[me] = 1;
    since[me] = knownView[me];
    earlierHomes[me] = 0;
    for (i : 0 .. RUNS - 1) {
        if
        :: HAS(OTHERS, i) && !ACKNOWLEDGED(i) ->
            ok = 1; /* mayHaveBeenHome */
            for (j : 0 .. RUNS - 1) {
                if
                :: HAS(MEMBERS, j) && VM(j) != VM(i) && RANK(VM(j)) > RANK(VM(i)) &&
                    views[knownView[me]].joined[j] <= views[knownView[me]].joined[i] -> ok = 0
                :: else
                fi
            }
            if
            :: ok -> earlierHomes[me] = earlierHomes[me] | BIT(i)
            :: else
            fi
        :: else
        fi
    }
    since[me] = (earlierHomes[me] -> since[me] : 0);
    if
    :: inFlightListed[me] > 0 && COUNT_REPORTED ->
        inherited[me] = inherited[me] + inFlightListed[me];
        inheritedTime[me] = DEADLINE
    :: else
    fi
}

/* Whether promises replace the lease; the result is in covered. */
inline promisesHeld()
{
    covered = 1;
    sum = 0;
    for (i : 0 .. VMS - 1) {
        if
        :: i != me && ((MEMBERS & (BIT(i) | BIT((i + VMS) % RUNS))) != 0 || PROMISE_OF_SETTLED(i)) ->
            if
            :: promisesReceived[me].until[i] > 0 -> sum++
            :: else -> covered = 0
            fi
        :: else
        fi
    }
    covered = PROMISES_SUFFICE && PROMISES && knownSettled[me] != 0
}

/* computeAuthority; the number of requests that may be in flight is in share. */
inline computeAuthority()
{
    promisesHeld();
    covered = covered || (LEASE_VALID);
    sum = 0;
    for (i : 0 .. RUNS - 1) {
        sum = sum + HAS(earlierHomes[me], i)
    }
    if
    :: !activated[me] || sum > 1 -> share = 0
    :: else ->
        if
        :: covered && sum == 0 -> share = (cold -> COLD_LIMIT : LIMIT)
        :: covered && sum > 0 -> share = (cold -> COLD_LIMIT : LIMIT - LIMIT / 2)
        :: else -> share = (cold -> 0 : HALF)
        fi
    fi;
    share = (share > inherited[me] -> share - inherited[me] : 0)
}

inline mayAcknowledge()
{
    ok = quiet[me] == 0;
    for (i : 0 .. VIEWS) {
        if
        :: i < knownView[me] && promisesGiven[me].until[i] > 0 -> ok = 0
        :: else
        fi
    }
}

inline nextView()
{
    views[number + 1].members = views[number].members;
    views[number + 1].departing = views[number].departing;
    views[number + 1].settled = views[number].settled;
    views[number + 1].lastRemoval = views[number].lastRemoval;
    for (i : 0 .. RUNS - 1) {
        views[number + 1].joined[i] = views[number].joined[i]
    }
    number++
}

proctype daemon(byte me)
{
    byte r;
end:
    do
    /* LeaseTracker. The record is written under the lease; the view is read after that. */
    :: d_step { ALIVE && !AT_STORE(me) ->
        lease[me] = 2; leaseReady[me] = READY_AT_ONCE }
    :: d_step { lease[me] == 2 -> lease[me] = 1 }

    /* viewRead */
    :: d_step { ALIVE && (knownView[me] < number || !leaseReady[me] ||
            (PROMISES && knownSettled[me] != views[number].settled)) ->
        adopt(number, views[number].settled);
        leaseReady[me] = AT_STORE(me) }

    /* Acknowledgement. Writing it later than it was decided only delays other daemons. */
    :: d_step { ALIVE && acknowledgement[me] < knownView[me] ->
        mayAcknowledge();
        if
        :: ok -> acknowledgement[me] = knownView[me]
        :: else
        fi }

    /* membersListed */
    :: d_step { LISTS && LISTING_NEEDED -> membersListed(); skip }
#ifdef CLAIM_WHILE_CUT_OFF
    :: d_step { ALIVE && knownView[me] > 0 ->
        for (i : 0 .. RUNS - 1) {
            if
            :: HAS(OTHERS, i) && !ACKNOWLEDGED(i) && lapsedSince[me].wait[i] == 0 ->
                lapsedSince[me].wait[i] = LAPSE_WAIT
            :: else
            fi
        }
        skip }
#endif
    :: d_step { MAINTAINER && !activated[me] && LEASE_VALID ->
        barrierMet();
        if
        :: ok -> activate()
        :: else
        fi }

    /* swapped: the writer adopts the new view when it reads it. Members may be removed at any time. */
    :: atomic { ALIVE && knownView[me] == number && number < VIEWS ->
        CHOOSE_RUN;
        if
        :: d_step { HAS(views[number].members, r) ->
            nextView();
            views[number].members = views[number].members & ~BIT(r);
            views[number].departing = views[number].departing | BIT(r);
            views[number].lastRemoval = number }
        :: d_step { !HAS(views[number].members, r) && RECORD_OF(r) && acknowledgement[VM(r)] > 0 &&
                (!HAS(views[number].departing, r) || acknowledgement[VM(r)] >= number) ->
            nextView();
            /* The previous run on the same VM is removed in the same swap. */
            j = views[number].members & BIT((r + VMS) % RUNS);
            views[number].departing = (views[number].departing | j) & ~BIT(r);
            views[number].members = (views[number].members & ~j) | BIT(r);
            views[number].lastRemoval = (j -> number : views[number].lastRemoval);
            views[number].joined[r] = number }
        :: else
        fi;
        r = 0 }
#if PRUNES
    /* pruneDeparting */
    :: d_step { MAINTAINER && knownView[me] == number && views[number].departing != 0 ->
        for (i : 0 .. RUNS - 1) {
            if
            :: HAS(views[number].departing, i) &&
                (acknowledgedSince[me].wait[i] == 1 || stoppedSince[me].wait[i] == 1) ->
                views[number].departing = views[number].departing & ~BIT(i)
            :: else
            fi
        }
        clearUnneededListing() }
    :: d_step { MAINTAINER && knownView[me] == number && views[number].settled != 0 && settledGoneSince[me] == 1 ->
        views[number].settled = 0 }
#endif
    /* settle */
    :: d_step { MAINTAINER && knownView[me] == number && views[number].settled != VMS_OF(MEMBERS) ->
        barrierMet();
        sum = 0;
        for (i : 0 .. RUNS - 1) {
            if
            :: HAS(MEMBERS, i) ->
                sum = sum | BIT(VM(i));
                if
                :: i != SELF && !ACKNOWLEDGED(i) -> ok = 0
                :: else
                fi
            :: else
            fi
        }
        if
        :: ok -> views[number].settled = sum; clearUnneededListing()
        :: else
        fi }

#if PROMISES
    /* promiseRequested and promiseReceived; the reply to the request may be lost. */
    :: atomic { ALIVE && activated[me] ->
        if
        :: r = (me + 1) % VMS
        :: r = (me + 2) % VMS
        fi;
        d_step {
            if
            :: !stopped[r] && knownView[r] <= knownView[me] && acknowledgement[r] <= knownView[me] ->
                /* No view follows the last one, so that a promise for it has no effect. */
                promisesGiven[r].until[knownView[me]] = (knownView[me] < VIEWS -> PROMISE_KEPT : 0);
                promisesReceived[me].until[r] = PROMISE + 1
            :: else
            fi;
            r = 0
        }
        skip }
#endif

    /* Sends a request, directly after evaluating computeAuthority. */
    :: d_step { ALIVE && activated[me] ->
        computeAuthority();
        if
        :: share > inFlight[SELF] ->
            inFlight[SELF] = share;
            inFlightTime[SELF] = DEADLINE;
            sum = 0;
            for (i : 0 .. RUNS - 1) {
                sum = sum + inFlight[i]
            }
            assert(sum <= (cold -> COLD_LIMIT : LIMIT))
        :: share == inFlight[SELF] && share > 0 -> inFlightTime[SELF] = DEADLINE
        :: else
        fi }

    /* Faults. */
    :: d_step { ALIVE && restarts < RESTARTS && incarnation[me] == 0 ->
        restarts++;
        incarnation[me] = 1;
        knownView[me] = 0; knownSettled[me] = 0; leaseReady[me] = 0;
        lease[me] = 0; /* the new run has no lease; the record stays until the old lease expires */
        acknowledgement[me] = 0; quiet[me] = QUIET;
        activated[me] = 0; since[me] = 0; earlierHomes[me] = 0; inherited[me] = 0; inheritedTime[me] = 0;
        clearListing();
        for (i : 0 .. RUNS - 1) {
            lapsedSince[me].wait[i] = 0; stoppedSince[me].wait[i] = 0
        }
        for (i : 0 .. VIEWS) {
            promisesGiven[me].until[i] = 0
        }
        for (i : 0 .. VMS - 1) {
            promisesReceived[me].until[i] = 0
        }
        skip }
    :: d_step { ALIVE && stops < STOPS ->
        stops++;
        stopped[me] = 1; activated[me] = 0 }
    od
}

inline countDown(x)
{
    if
    :: x > 0 -> x--
    :: else
    fi
}

inline countDownToOne(x)
{
    if
    :: x > 1 -> x--
    :: else
    fi
}

active proctype environment()
{
    byte v, k;
    d_step {
        views[1].members = INITIAL;
        views[1].settled = INITIAL_SETTLED;
        for (v : 0 .. VMS - 1) {
            acknowledgement[v] = 1; knownView[v] = 1;
            knownSettled[v] = (PROMISES -> views[1].settled : 0);
            if
            :: HAS(INITIAL, v) ->
                views[1].joined[v] = 1; lease[v] = 2; leaseReady[v] = 1;
                activated[v] = (HOME_OF(INITIAL) == v)
            :: else
            fi
        }
        v = 0
    }
    atomic { run daemon(0); run daemon(1); run daemon(2) }
end:
    do
    :: d_step { true ->
        for (v : 0 .. VMS - 1) {
            lease[v] = (lease[v] == 1 -> 0 : lease[v]);
            if
            :: lease[v] == 0 -> leaseReady[v] = 0
            :: else
            fi;
            countDown(quiet[v]);
            countDown(inheritedTime[v]);
            if
            :: inheritedTime[v] == 0 -> inherited[v] = 0
            :: else
            fi;
            countDownToOne(settledGoneSince[v]);
            for (k : 0 .. RUNS - 1) {
                countDownToOne(lapsedSince[v].wait[k]);
                countDownToOne(acknowledgedSince[v].wait[k]);
                countDownToOne(stoppedSince[v].wait[k])
            }
            for (k : 0 .. VIEWS) {
                countDown(promisesGiven[v].until[k])
            }
            for (k : 0 .. VMS - 1) {
                countDown(promisesReceived[v].until[k])
            }
        }
        for (k : 0 .. RUNS - 1) {
            countDown(inFlightTime[k]);
            if
            :: inFlightTime[k] == 0 -> inFlight[k] = 0
            :: else
            fi
        }
        v = 0; k = 0 }
#if COLD_STARTS
    /* The upstream restarts cold; its connections are reset and no requests are in flight. */
    :: d_step { !cold && coldStarts < COLD_STARTS ->
        coldStarts++;
        cold = 1;
        for (k : 0 .. RUNS - 1) {
            inFlight[k] = 0; inFlightTime[k] = 0
        }
        k = 0 }
    :: d_step { cold -> cold = 0 }
#endif
    od
}
