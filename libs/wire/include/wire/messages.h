#pragma once

#include "base/ids.h"
#include "base/outcome.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace banyancroft::wire {

/** Identifies a query or submit within one incarnation of its entry, the daemon that received it. */
using QueryNumber = NumberId<struct QueryNumberTag>;
/** Identifies a sub-request, hedges included, within one traffic thread and incarnation of its entry. */
using SequenceNumber = NumberId<struct SequenceNumberTag>;

/** Identifies the sender; the first message of the daemon that opens a connection. */
struct Hello {
    VmId vm;
    Incarnation incarnation;
    AvailabilityZone zone;
    /** Configuration version in force at the sender. */
    ConfigVersion configVersion;
    /** True for connections of the control thread, false for those of a traffic thread. */
    bool control = false;
};

struct SubrequestItem {
    SequenceNumber sequence;
    UpstreamId upstream;
    std::vector<ShardId> shards;
    /** True for a hedge, the second copy of a sub-request whose reply is late. */
    bool hedge = false;
};

/** Sub-requests of one query at one snapshot, for upstreams of one home (the daemon that drives them). */
struct SubrequestBatch {
    QueryNumber query;
    /** Time left until the deadline when the message was written, in microseconds. */
    std::uint64_t remainingMicros = 0;
    /** W3C traceparent of the entry's span. */
    std::string traceparent;
    std::string collection;
    LayoutVersion layout;
    IndexVersion index;
    /** Condition in the query language; empty for all rows. */
    std::string where;
    /** Maximum number of rows; zero for no limit. */
    std::uint64_t limit = 0;
    std::vector<SubrequestItem> items;
};

struct SubreplyItem {
    SequenceNumber sequence;
    UpstreamId upstream;
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    LayoutVersion layout;
    IndexVersion index;
    /** Result rows as newline-delimited JSON; for a submit, the JSON result. */
    std::string rows;
    /** Requests queued and running at the upstream's home. */
    std::uint32_t load = 0;
    bool cold = false;
    /** Index versions that the upstream serves according to its home; empty when unknown. */
    std::vector<IndexVersion> servedIndexes;
    std::vector<LayoutVersion> servedLayouts;
    /** Additional text for the trace span; may be empty. */
    std::string detail;
    /** Time that the sub-request spent at the home and the upstream, in microseconds. */
    std::uint64_t elapsedMicros = 0;
};

struct SubreplyBatch {
    QueryNumber query;
    std::vector<SubreplyItem> items;
};

/** Cancels sub-requests whose result the entry no longer needs. Those not yet started get no reply. */
struct Cancel {
    QueryNumber query;
    std::vector<SequenceNumber> sequences;
};

/** A request other than a search, for one upstream; resent only when the attempt before is known not to have
 * run. */
struct SubmitRequest {
    QueryNumber query;
    SequenceNumber sequence;
    std::uint64_t remainingMicros = 0;
    std::string traceparent;
    UpstreamId upstream;
    std::string operation;
    IdempotencyKey key;
    /** JSON text. */
    std::string payload;
};

struct ZoneView {
    AvailabilityZone zone;
    ViewNumber view;
};

/** Versions in force at the sender; a peer with an older version requests the state. */
struct Digest {
    ConfigVersion configVersion;
    std::vector<ZoneView> views;
};

/** Requests the configuration and views that are newer than the given versions. */
struct StateRequest {
    ConfigVersion knownConfigVersion;
    std::vector<ZoneView> knownViews;
};

struct EncodedView {
    AvailabilityZone zone;
    ViewNumber view;
    /** JSON text of the view as kept in the store. */
    std::string text;
};

/** The configuration and views that are newer than the versions in the StateRequest. */
struct StateReply {
    /** JSON text of the configuration document; empty when the requester's is up to date. */
    std::string config;
    std::vector<EncodedView> views;
};

/** Requests a promise, which replaces the lease of the requesting home during an outage of the store. */
struct PromiseRequest {
    AvailabilityZone zone;
    ViewNumber view;
    std::uint64_t requestNumber = 0;
};

/** The sender will acknowledge no view newer than `view` for the given duration after it received the
 * request. */
struct Promise {
    AvailabilityZone zone;
    ViewNumber view;
    std::uint64_t requestNumber = 0;
    std::uint64_t durationMicros = 0;
};

using Message = std::variant<Hello, SubrequestBatch, SubreplyBatch, Cancel, SubmitRequest, Digest,
    StateRequest, StateReply, PromiseRequest, Promise>;

} // namespace banyancroft::wire
